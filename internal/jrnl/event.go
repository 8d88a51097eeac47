package jrnl

import (
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of an event.
type Kind uint8

// The kinds of event.
const (
	Started           Kind = iota // instance-started
	Stopping                      // instance-stopping
	Refused                       // request-refused
	Retried                       // request-retried
	OutcomeUnknown                // outcome-unknown
	PrimarySuspected              // primary-suspected
	PrimaryRecovered              // primary-recovered
	TermClaimed                   // term-claimed
	ClaimLost                     // claim-lost
	ClaimUnrecorded               // claim-without-platform
	MajoritySealed                // majority-sealed
	SealFailed                    // seal-failed
	ServerPromoted                // server-promoted
	PrimaryConfirmed              // primary-confirmed
	ServerRepointed               // server-repointed
	TailDiscarded                 // tail-discarded
	ConfigInForce                 // configuration-in-force
	ConfigRefused                 // configuration-refused
	CallersEnded                  // callers-of-withdrawn-key-ended
	PlatformLost                  // platform-lost
	PlatformBack                  // platform-back
	ShareChanged                  // share-changed
	TokensMoved                   // tokens-moved
	PeerJoined                    // peer-joined
	PeerLost                      // peer-lost
	OwnerChanged                  // owner-changed
	ServerLeaving                 // server-leaving
	SurplusAnswer                 // surplus-answer
	SessionMoved                  // session-moved
	ConnectionSilent              // connection-silent
	IncidentUnwritten             // incident-unwritten
	ServersListed                 // servers-listed
	RequestSlow                   // request-slow
	PlatformRestored              // platform-restored
	AnswerLost                    // answer-lost
	ServerSealed                  // server-sealed
	ServerNotSealed               // server-not-sealed
	SealReleased                  // seal-released
	OrderSent                     // order-sent
	SupersededAnswer              // superseded-answer
	MembersChanged                // members-changed
	MalformedAnswer               // malformed-answer
	EvacuationBegun               // evacuation-begun
	EvacuationEnded               // evacuation-ended
	EntryOmitted                  // configuration-entry-omitted
	Other                         // other
	kindCount
)

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name yields the first unused kind.
func (k *Kind) UnmarshalText(text []byte) error {
	for known := Started; known < kindCount; known++ {
		if known.String() == string(text) {
			*k = known
			return nil
		}
	}
	*k = kindCount
	return nil
}

// hasTerm reports whether events of this kind belong to a term, which is 0 before a claim has begun one.
func (k Kind) hasTerm() bool {
	switch k {
	case PrimarySuspected, PrimaryRecovered, TermClaimed, ClaimLost, ClaimUnrecorded, MajoritySealed, SealFailed, ServerPromoted,
		PrimaryConfirmed, ServerRepointed, TailDiscarded, ServerSealed, ServerNotSealed, OrderSent, SupersededAnswer, MembersChanged:
		return true
	}
	return false
}

// Event is a journal entry: something that an instance did or observed.
type Event struct {
	At       time.Time        `json:"at"`
	Instance ident.InstanceID `json:"instance"`
	Center   ident.CenterID   `json:"data-center"`
	Sequence uint64           `json:"sequence"`
	Kind     Kind             `json:"kind"`
	Trace    ident.TraceID    `json:"trace,omitempty"`
	// Incident groups the events of one change of primary.
	Incident string           `json:"incident,omitempty"`
	Customer ident.CustomerID `json:"customer,omitempty"`
	Group    ident.GroupID    `json:"group,omitempty"`
	Server   ident.ServerID   `json:"server,omitempty"`
	Term     ident.Term       `json:"term,omitempty"`
	Version  ident.Version    `json:"version,omitzero"`
	Reason   string           `json:"reason,omitempty"`
	// Outcome is the outcome of a refused or lost request.
	Outcome  string `json:"outcome,omitempty"`
	Evidence string `json:"evidence,omitempty"`
	// Count is the number of similar events that this one stands for; 0 means one.
	Count int64 `json:"count,omitempty"`
	// RetryAfter is after how many milliseconds a refused caller was told to retry; 0 if it was told nothing.
	RetryAfter int64 `json:"retry-after-ms,omitempty"`
}

// RefusalEvent returns the journal event for a fault.
func RefusalEvent(f *fault.Fault, customer ident.CustomerID, group ident.GroupID) Event {
	kind := Refused
	if f.Outcome.Unknown() {
		kind = OutcomeUnknown
	}
	e := Event{Kind: kind, Trace: f.Trace, Customer: customer, Group: group, Reason: f.Reason.String(), Outcome: f.Outcome.String(), Evidence: f.Evidence}
	if f.Outcome.NotRun() {
		e.RetryAfter = f.RetryAfter.Milliseconds()
	}
	return e
}
