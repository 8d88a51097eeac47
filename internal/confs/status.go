package confs

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// CenterStatus reports the configuration version in use in a data centre; one of its relays
// writes it.
type CenterStatus struct {
	Center ident.CenterID `json:"center"`
	// Least is the lowest version in use on any instance that the relay hears from.
	Least     ident.Version    `json:"least"`
	Instances int              `json:"instances"`
	By        ident.InstanceID `json:"by"`
	At        time.Time        `json:"at"`
}

// Statuses reads the latest status of every data centre.
func Statuses(ctx context.Context, s plat.Store) ([]CenterStatus, error) {
	list, err := s.List(ctx, objs.Statuses)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var all []CenterStatus
	for _, o := range list.Items {
		var status CenterStatus
		if json.Unmarshal(o.Spec, &status) == nil {
			all = append(all, status)
		}
	}
	return all, nil
}

// Report writes the status of a data centre, replacing the previous one.
func Report(ctx context.Context, s plat.Store, status CenterStatus) error {
	stored, err := s.Get(ctx, objs.Statuses, string(status.Center))
	if err != nil && !plat.HasCause(err, plat.NotFound) {
		return errors.Trace(err)
	}
	spec, err := json.Marshal(status)
	if err != nil {
		return errors.Trace(err)
	}
	stored.Kind, stored.Metadata.Name, stored.Spec = objs.Statuses, string(status.Center), spec
	_, err = s.Put(ctx, stored)
	return err
}
