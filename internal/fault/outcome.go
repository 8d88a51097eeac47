package fault

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the outcome of a request. That a request has not run takes a proof: there is one
// outcome for each fact that proves it, and none for a request that is merely believed not to have run.
type Outcome uint8

// The outcomes.
const (
	// Done means that the server answered.
	Done Outcome = iota // done
	// unproven is "not run" without a proof, as earlier releases send it; it counts as unknown.
	unproven // unproven
	// Unknown means that the request may or may not have taken effect.
	Unknown // unknown
	// NotSent means that no byte of the request was sent to a server.
	NotSent // not-sent
	// ServerRefused means that the server said that nothing of the request took effect.
	ServerRefused // server-refused
	// RolledBack means that all of the request ran in a transaction that has ended without being
	// asked to commit.
	RolledBack // rolled-back
	// NoEffect means that the protocol rules out that the request had an effect.
	NoEffect // no-effect
)

// NotRun reports whether no part of the request took effect or ever will.
func (o Outcome) NotRun() bool { return o >= NotSent && o <= NoEffect }

// Unknown reports whether the request may or may not have taken effect.
func (o Outcome) Unknown() bool { return o != Done && !o.NotRun() }

// The labels of outcomes towards callers and in metrics, which don't name the proof.
const (
	NotRunLabel  = "not-run"
	UnknownLabel = "unknown"
)

// Label returns the outcome as callers and metrics see it.
func (o Outcome) Label() string {
	switch {
	case o.NotRun():
		return NotRunLabel
	case o.Unknown():
		return UnknownLabel
	}
	return o.String()
}
