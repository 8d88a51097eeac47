package entry

import (
	"context"
	"sync/atomic"
	"time"

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
	return h.host.Run(ctx, w, sink)
}

// Heartbeat implements peer.Handler.
func (h *handler) Heartbeat(ident.InstanceID) peer.Heartbeat {
	list, hash := h.members.list()
	return peer.Heartbeat{
		Version: h.keeper.Current().Version, Checked: h.keeper.CheckedAgo(),
		Leaving: h.draining.Load(), List: list, ListHash: hash, Servers: h.keeper.Current().Listed,
	}
}

// Pace implements peer.Handler.
func (h *handler) Pace(id ident.InstanceID) time.Duration { return h.members.linkFactor(id) }

// Gone implements peer.Handler.
func (h *handler) Gone(id ident.InstanceID) { h.members.linkLost(id) }

// AddressOf implements peer.Handler.
func (h *handler) AddressOf(id ident.InstanceID) (string, bool) { return h.members.addressOf(id) }

// News implements peer.Handler.
func (h *handler) News(from ident.InstanceID, m peer.Message) {
	switch m := m.(type) {
	case peer.Heartbeat:
		h.members.onHeartbeat(from, m.Version, m.Leaving)
		h.keeper.Confirm(m.Version, m.Checked)
		if m.Version > h.keeper.Current().Version && h.members.mayFetch(from, configUpdate) {
			h.fetchConfig(from)
		}
		if m.Servers > h.keeper.Current().Listed && h.members.mayFetch(from, serversUpdate) {
			h.fetchServers(from)
		}
		if h.members.listBehind(m.List, m.ListHash) && h.members.mayFetch(from, membersUpdate) {
			h.fetchMembers(from)
		}
	case peer.Suspect:
		h.members.onSuspicion(from, m.Suspicion)
	case peer.Opinion:
		if g := h.host.Group(m.Group); g != nil {
			g.PeerView(from, m.Server, m.Answers)
		}
	case peer.CancelAsk:
		h.callers.cancel(m.Process, m.Secret)
	case peer.TxEnd:
		h.host.End(m.Group, m.Tx)
	}
}

// Answer implements peer.Handler.
func (h *handler) Answer(ctx context.Context, _ ident.InstanceID, m peer.Message) peer.Message {
	switch m := m.(type) {
	case peer.TokensAsk:
		return peer.TokensGive{Given: h.quota.Lend(ctx, m.Want)}
	case peer.ConfigAsk:
		return h.stateMessage(m)
	case peer.ServersAsk:
		return peer.ServersGive{Listing: h.keeper.Listing()}
	case peer.ShareAsk:
		grants, err := h.quota.Serve(ctx, m.Asks)
		if err != nil {
			return nil
		}
		return peer.ShareGive{Grants: grants}
	case peer.Bequest:
		if h.quota.Inherit(ctx, m.Estate) != nil {
			return nil
		}
		return peer.Accepted{}
	case peer.MembersAsk:
		return h.members.stateMessage()
	case peer.JournalAsk:
		return peer.JournalGive{Events: h.journal.Since(m.Since)}
	}
	return nil
}

// stateMessage returns the configuration in force: its head and the requested pages.
func (h *handler) stateMessage(m peer.ConfigAsk) peer.Message {
	b := h.keeper.Bundle()
	reply := peer.ConfigGive{Version: b.Version, Head: b.Head, Pages: map[conf.PageName][]byte{}}
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
			h.keeper.Offer(b, "instance "+string(from))
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
		reply, err := peer.AskFor[peer.MembersGive](ctx, h.hub, from, peer.MembersAsk{})
		if err == nil {
			h.members.applyList(reply.Version, reply.Members)
		}
	})
}

// fetchServers fetches a newer list of backend servers from a peer.
func (h *handler) fetchServers(from ident.InstanceID) {
	h.fetchOnce(&h.fetchingServers, func(ctx context.Context) {
		reply, err := peer.AskFor[peer.ServersGive](ctx, h.hub, from, peer.ServersAsk{})
		if err == nil {
			h.keeper.OfferServers(reply.Listing, "instance "+string(from))
		}
	})
}

// fetch reads the configuration of a peer in two requests: the head, then the missing
// pages. It gives up if the configuration of the peer changed in between.
func (i *Instance) fetch(ctx context.Context, from ident.InstanceID) (confs.Bundle, bool) {
	reply, err := peer.AskFor[peer.ConfigGive](ctx, i.hub, from, peer.ConfigAsk{Have: i.keeper.Current().Version})
	if err != nil {
		return confs.Bundle{}, false
	}
	b := confs.Bundle{Version: reply.Version, Head: reply.Head, Pages: map[conf.PageName][]byte{}}
	var missing []conf.PageName
	for _, name := range reply.Head.Pages {
		if content, have := i.keeper.Page(name); have {
			b.Pages[name] = content
			continue
		}
		missing = append(missing, name)
	}
	if len(missing) == 0 {
		return b, true
	}
	reply, err = peer.AskFor[peer.ConfigGive](ctx, i.hub, from, peer.ConfigAsk{Pages: missing})
	if err != nil || reply.Version != b.Version {
		return confs.Bundle{}, false
	}
	for name, content := range reply.Pages {
		b.Pages[name] = content
	}
	return b, true
}
