package share

import (
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Request is an instance's request to renew or release a lease. Before it sends the request, the
// instance limits itself to spending no more than Want.
type Request struct {
	Instance ident.InstanceID `cbor:"1,keyasint"`
	Center   ident.CenterID   `cbor:"7,keyasint"`
	Shard    Shard            `cbor:"6,keyasint"`
	Want     Part             `cbor:"2,keyasint"`
	// Held is the part that the instance holds until the request is answered.
	Held    Part   `cbor:"5,keyasint,omitempty"`
	Renewal uint64 `cbor:"3,keyasint"`
	// Release gives up the entry.
	Release bool `cbor:"4,keyasint,omitempty"`
	// Usable is what the instance may spend when it makes the request, and Epoch the epoch of
	// the store that it knows then.
	Usable Part        `cbor:"8,keyasint,omitempty"`
	Epoch  ident.Epoch `cbor:"9,keyasint,omitempty"`
	// Basis is the renewal whose grant the instance holds Usable by.
	Basis uint64 `cbor:"10,keyasint,omitempty"`
}

// Holder tracks the part of a shard that this instance holds; it is not safe for concurrent use.
type Holder struct {
	self   ident.InstanceID
	center ident.CenterID
	shard  Shard
	params LeaseParams
	held   Part
	// requested is when the request for the current lease was made.
	requested    time.Time
	pending      Request
	pendingSince time.Time
	// pendingParams are the conditions of the pending request; the lease that is held keeps those of its own.
	pendingParams LeaseParams
	listing       listing
	// statement is the request that states what was held before the release.
	statement Request
	// tenure numbers the times for which a part was held without interruption; ended is set
	// while the last one is over.
	tenure uint64
	ended  bool
	// basis is the renewal whose grant is in force.
	basis uint64
	// started is when this process started, continued whether it continues an earlier run's tenure.
	started   time.Time
	continued bool
}

//go:generate go tool stringer -type=listing -linecomment -output=listing_string.go

// listing says why the table may list an instance for a shard.
type listing int

const (
	// byEarlierRun: an earlier run of the instance may have been granted a part.
	byEarlierRun listing = iota // by-earlier-run
	// byRequest: a request was made, whether or not it was answered.
	byRequest // by-request
	// untilReleased: a release was made and not answered.
	untilReleased // until-released
	// notListed: the table has confirmed the release.
	notListed // not-listed
)

// NewHolder returns a holder of nothing. Renewal numbers continue from first, which should
// exceed those of earlier runs of the instance, as the time of day does unless it has jumped back.
// The process has started by the given time.
func NewHolder(self ident.InstanceID, center ident.CenterID, shard Shard, first uint64, started time.Time) *Holder {
	return &Holder{self: self, center: center, shard: shard, started: started, ended: true, pending: Request{Instance: self, Center: center, Shard: shard, Renewal: first}}
}

// Usable returns the part that may be spent now.
func (h *Holder) Usable(now time.Time) Part { return h.params.usable(h.held, now.Sub(h.requested)) }

// Holding returns what is held.
func (h *Holder) Holding() Holding {
	held := Holding{
		Part: h.held, Reserve: h.params.reserved(h.held), Tenure: h.tenure, Requested: h.requested,
		LeaseEnd: h.requested.Add(h.params.Lease), GraceEnd: h.requested.Add(h.params.Grace),
	}
	if h.continued {
		held.Since = h.started
	}
	return held
}

// Request limits the held part to want and returns the request to send in an epoch of the store.
func (h *Holder) Request(now time.Time, want Part, params LeaseParams, epoch ident.Epoch) Request {
	if h.Usable(now) == 0 {
		h.held, h.ended, h.basis = 0, true, 0
	}
	h.pendingParams = params
	h.held = min(h.held, want)
	h.pending = Request{
		Instance: h.self, Center: h.center, Shard: h.shard, Want: want, Held: h.held, Renewal: h.pending.Renewal + 1,
		Usable: h.Usable(now), Epoch: epoch, Basis: h.basis,
	}
	h.pendingSince, h.listing = now, byRequest
	return h.pending
}

// ApplyGrant starts the lease that a grant answers, counted from when its request was made.
// Grants for any but the latest request are ignored. It reports whether a new tenure begins.
func (h *Holder) ApplyGrant(g Grant) bool {
	if g.Listed > h.pending.Renewal {
		// An earlier run of the instance had a later time of day.
		h.pending.Renewal = g.Listed
		return false
	}
	if g.Renewal != h.pending.Renewal {
		return false
	}
	begins := false
	h.params = h.pendingParams
	h.held, h.requested = min(g.Part, h.pending.Want), h.pendingSince
	h.continued = false
	switch {
	case h.held == 0:
		h.ended, h.basis = true, 0
	case h.ended:
		h.tenure++
		begins = true
		h.continued = h.tenure == 1 && g.Proven >= h.held
		h.ended, h.basis = false, g.Renewal
	default:
		h.basis = g.Renewal
	}
	if h.pending.Release {
		h.listing = notListed
	}
	return begins
}

// Release gives up the part at once and returns the requests that free it in the table: one that
// states what was held, in case the table has lost that, and the release.
func (h *Holder) Release(now time.Time, params LeaseParams, epoch ident.Epoch) []Request {
	var all []Request
	switch h.listing {
	case byRequest:
		h.statement = h.Request(now, Whole, params, epoch)
		h.listing = untilReleased
		all = append(all, h.statement)
	case untilReleased:
		all = append(all, h.statement)
	}
	h.held, h.ended, h.basis = 0, true, 0
	h.pending = Request{Instance: h.self, Center: h.center, Shard: h.shard, Renewal: h.pending.Renewal + 1, Release: true}
	return append(all, h.pending)
}

// Requested reports whether the table may list this instance because of its own requests.
func (h *Holder) Requested() bool { return h.listing == byRequest || h.listing == untilReleased }

// MayBeListed reports whether the table may list this instance, be it since an earlier run.
func (h *Holder) MayBeListed() bool { return h.listing != notListed }
