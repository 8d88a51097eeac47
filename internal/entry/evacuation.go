package entry

import (
	"context"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// evacuationsWait is how long an instance that has all other state waits for the list of evacuated data centres
// before it admits callers; a store that answers the other calls may fail just this one.
const evacuationsWait = 2 * time.Second

// lacksEvacuations reports whether the instance still waits for the list of evacuated data centres.
func (i *Instance) lacksEvacuations(s *conf.Snapshot) bool {
	if !i.conf.Evacuations || !s.Evacuations.Version.IsZero() {
		return false
	}
	now := clock.Now()
	i.awaitingEvacuations.CompareAndSwap(0, now.UnixNano())
	return now.Sub(time.Unix(0, i.awaitingEvacuations.Load())) < evacuationsWait
}

// mayOwn reports whether the instance may own groups: without the list of evacuated data centres, it would run the
// work of its peers at their servers.
func (i *Instance) mayOwn(s *conf.Snapshot) bool {
	return s.Version.IsZero() || i.conf.Listed && s.Listed.IsZero() || !i.lacksEvacuations(s)
}

// relayEvacuations keeps the list of evacuated data centres up to date with the platform.
func (i *Instance) relayEvacuations() error {
	w := &confs.EvacuationWatcher{Store: i.conf.Store, Cache: i.configCache}
	known := func() bool { return !i.configCache.Current().Evacuations.Version.IsZero() }
	return i.follow(known, w.Step)
}

// fetchEvacuations fetches a newer list of evacuated data centres from a peer.
func (h *handler) fetchEvacuations(from ident.InstanceID) {
	h.fetchOnce(&h.fetchingEvacuations, func(ctx context.Context) {
		reply, err := peer.QueryFor[peer.EvacuationsResponse](ctx, h.hub, from, peer.EvacuationsRequest{})
		if err == nil {
			h.configCache.OfferEvacuations(reply.Evacuations, "instance "+string(from))
		}
	})
}
