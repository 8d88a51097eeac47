package fleet

import (
	"fmt"
	"net/http"
	"time"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/stand/netem"
)

// transport reaches the platform over the emulated net.
func transport(d *netem.Dialer) http.RoundTripper {
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
}

// URL returns what a caller connects to: a customer at a service through an instance.
func (f *Fleet) URL(m *Member, customer ident.CustomerID, database string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", customer, f.keys[customer], m.Instance.Addr(), database)
}
