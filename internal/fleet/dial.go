package fleet

import (
	"fmt"
	"net/http"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/netem"
)

// transport returns an HTTP transport that dials over the emulated network.
func transport(d *netem.Dialer) http.RoundTripper {
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
}

// URL returns the connection string for a customer to a service or route, through the given instance.
func (f *Fleet) URL(m *Member, customer ident.CustomerID, database string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", customer, f.keys[customer], m.Instance.Addr(), database)
}
