package entry

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// handler answers the peers of an instance.
type handler Instance

func (h *handler) instance() *Instance { return (*Instance)(h) }

// Work implements peer.Handler.
func (h *handler) Work(ctx context.Context, _ ident.InstanceID, w *owner.Work, sink proto.Sink) owner.Result {
	return h.instance().runForPeer(ctx, w, sink)
}

// Heartbeat implements peer.Handler.
func (h *handler) Heartbeat(ident.InstanceID) peer.Heartbeat {
	list, hash := h.members.list()
	beat := peer.Heartbeat{
		Version: h.configCache.Current().Version, Checked: h.configCache.SinceConfirmed(),
		Leaving: h.draining.Load(), List: list, ListHash: hash, Servers: h.configCache.Current().Listed,
		Evacuations: h.configCache.Current().Evacuations.Version,
	}
	if epoch, since, known := h.epochs.Current(); known && epoch == beat.Epoch() {
		beat.EpochSeconds = uint8(min(clock.Since(since)/time.Second, peer.MaxEpochSeconds))
	}
	return beat
}

// HeartbeatFactor implements peer.Handler.
func (h *handler) HeartbeatFactor(id ident.InstanceID) time.Duration { return h.members.linkFactor(id) }

// Disconnected implements peer.Handler.
func (h *handler) Disconnected(id ident.InstanceID) { h.members.linkLost(id) }

// WantsLink implements peer.Handler.
func (h *handler) WantsLink(id ident.InstanceID) bool { return h.members.linkWishes()(id) }

// Retired implements peer.Handler.
func (h *handler) Retired(id ident.InstanceID) { h.members.forgetVersion(id) }

// AddressOf implements peer.Handler.
func (h *handler) AddressOf(id ident.InstanceID) (string, bool) { return h.members.addressOf(id) }

// HandleNotification implements peer.Handler.
func (h *handler) HandleNotification(from ident.InstanceID, m peer.Message) {
	switch m := m.(type) {
	case peer.Heartbeat:
		// Epoch 0 may also be that of a peer that has no list yet.
		if epoch := m.Epoch(); epoch > 0 {
			h.epochs.Observe(epoch, time.Duration(m.EpochSeconds)*time.Second)
		}
		h.members.onHeartbeat(from, m.Version, m.Leaving)
		if m.Transit != peer.UnknownTransit {
			h.configCache.Confirm(m.Version, max(m.Checked, 0)+m.Transit)
		}
		if h.configCache.Current().Version.Before(m.Version) && h.members.mayFetch(from, configUpdate) {
			h.fetchConfig(from)
		}
		if h.configCache.Current().Listed.Before(m.Servers) && h.members.mayFetch(from, serversUpdate) {
			h.fetchServers(from)
		}
		if h.conf.Evacuations && h.configCache.Current().Evacuations.Version.Before(m.Evacuations) && h.members.mayFetch(from, evacuationsUpdate) {
			h.fetchEvacuations(from)
		}
		if h.members.listBehind(m.List, m.ListHash) && h.members.mayFetch(from, membersUpdate) {
			h.fetchMembers(from)
		}
	case peer.SuspicionReport:
		h.members.onSuspicion(from, m.Suspicion)
	case peer.ServerReport:
		if g := h.host.Group(m.Group); g != nil {
			g.PeerView(from, m.Server, m.Answers)
		}
	case peer.RemoteCancel:
		h.callers.cancel(m.Process, m.Secret)
	case peer.TxRollback:
		h.host.End(m.Group, m.Tx)
	}
}

// HandleQuery implements peer.Handler.
func (h *handler) HandleQuery(ctx context.Context, _ ident.InstanceID, m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.TokensRequest:
		return peer.TokensResponse{TokenResponse: h.quota.Lend(ctx, m.TokenRequest)}
	case peer.ConfigRequest:
		return h.stateMessage(m)
	case peer.ServersRequest:
		return peer.ServersResponse{Listing: h.configCache.Listing()}
	case peer.EvacuationsRequest:
		return peer.EvacuationsResponse{Evacuations: h.configCache.Current().Evacuations}
	case peer.ShareRequest:
		grants, err := h.quota.SubmitFor(ctx, m.Requests)
		if err != nil {
			return nil
		}
		return peer.ShareResponse{Grants: grants}
	case peer.ShareHandover:
		if h.quota.TakeOver(ctx, m.Handover) != nil {
			return nil
		}
		return peer.HandoverAck{}
	case peer.MembersRequest:
		return h.members.stateMessage()
	case peer.RecordRequest:
		arrival := clock.Now()
		if c, ok := h.host.ReadRecord(ctx, m.Group, m.MaxAge); ok {
			return peer.RecordResponse{Record: c.Record, Version: c.Version, Age: c.AgeOn(arrival)}
		}
		return nil
	case peer.JournalRequest:
		return peer.JournalResponse{Events: h.journal.Since(m.Since)}
	}
	return nil
}

// stateMessage returns the configuration in force: its head and the requested pages.
func (h *handler) stateMessage(m peer.ConfigRequest) peer.Message {
	b := h.configCache.Bundle()
	reply := peer.ConfigResponse{Version: b.Version, Head: b.Head, Pages: map[conf.PageName][]byte{}}
	for _, name := range m.Pages {
		if content, ok := b.Pages[name]; ok {
			reply.Pages[name] = content
		}
	}
	return reply
}

// fetchTimeout bounds each fetch of state from a peer.
const fetchTimeout = 2 * time.Second

// fetchConfig fetches a newer configuration from a peer, except the pages that this instance has.
func (h *handler) fetchConfig(from ident.InstanceID) {
	h.fetchOnce(&h.fetchingConfig, func(ctx context.Context) {
		if b, ok := h.instance().fetch(ctx, from); ok {
			h.configCache.Offer(b, "instance "+string(from))
		}
	})
}

// fetchOnce runs fetch in the background unless a fetch of the same kind is running.
func (h *handler) fetchOnce(busy *atomic.Bool, fetch func(context.Context)) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer busy.Store(false)
		ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), fetchTimeout)
		defer cancel()
		fetch(ctx)
	}()
}

// fetchMembers fetches a newer list of instances from a peer.
func (h *handler) fetchMembers(from ident.InstanceID) {
	h.fetchOnce(&h.fetchingMembers, func(ctx context.Context) {
		reply, err := peer.QueryFor[peer.MembersResponse](ctx, h.hub, from, peer.MembersRequest{})
		if err == nil {
			h.members.applyList(reply.Version, reply.Members)
		}
	})
}

// fetchServers fetches a newer list of backend servers from a peer.
func (h *handler) fetchServers(from ident.InstanceID) {
	h.fetchOnce(&h.fetchingServers, func(ctx context.Context) {
		reply, err := peer.QueryFor[peer.ServersResponse](ctx, h.hub, from, peer.ServersRequest{})
		if err == nil {
			h.configCache.OfferServers(reply.Listing, "instance "+string(from))
		}
	})
}

// fetch reads the configuration of a peer in two requests: the head, then the missing
// pages. It gives up if the configuration of the peer changed in between.
func (i *Instance) fetch(ctx context.Context, from ident.InstanceID) (confs.Bundle, bool) {
	reply, err := peer.QueryFor[peer.ConfigResponse](ctx, i.hub, from, peer.ConfigRequest{Have: i.configCache.Current().Version})
	if err != nil {
		return confs.Bundle{}, false
	}
	b := confs.Bundle{Version: reply.Version, Head: reply.Head, Pages: map[conf.PageName][]byte{}}
	var missing []conf.PageName
	for _, name := range reply.Head.Pages {
		if content, have := i.configCache.Page(name); have {
			b.Pages[name] = content
			continue
		}
		missing = append(missing, name)
	}
	if len(missing) == 0 {
		return b, true
	}
	reply, err = peer.QueryFor[peer.ConfigResponse](ctx, i.hub, from, peer.ConfigRequest{Pages: missing})
	if err != nil || reply.Version != b.Version {
		return confs.Bundle{}, false
	}
	for name, content := range reply.Pages {
		b.Pages[name] = content
	}
	return b, true
}
