package owner

import (
	"time"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// TxID identifies an open transaction, or a session's pinned connection, at its owner; 0 is none.
type TxID uint64

// LastRead describes a session's last read, so that its next one does not read an earlier state.
type LastRead struct {
	// Owner and Server are the owner and the server that ran the read.
	Owner  ident.InstanceID `cbor:"1,keyasint,omitempty"`
	Server ident.ServerID   `cbor:"2,keyasint,omitempty"`
	// EndedAt is when the read ended by the owner's clock, in Unix nanoseconds.
	EndedAt int64 `cbor:"3,keyasint,omitempty"`
}

// Work is one request to be run on a server of its group.
type Work struct {
	Trace    ident.TraceID    `cbor:"1,keyasint"`
	Customer ident.CustomerID `cbor:"2,keyasint"`
	Route    ident.ServiceID  `cbor:"3,keyasint"`
	Group    ident.GroupID    `cbor:"4,keyasint"`
	Kind     stmt.Kind        `cbor:"5,keyasint"`
	// ReadOnly marks a transaction that was declared read-only.
	ReadOnly bool        `cbor:"6,keyasint,omitempty"`
	Weight   float64     `cbor:"7,keyasint"`
	Floor    ident.Floor `cbor:"8,keyasint"`
	// FloorKnown is set if Floor is known; otherwise the owner takes the confirmed primary's
	// position.
	FloorKnown bool          `cbor:"9,keyasint,omitempty"`
	MaxAge     time.Duration `cbor:"10,keyasint,omitempty"`
	LastRead   LastRead      `cbor:"11,keyasint"`
	Limits     Limits        `cbor:"12,keyasint"`
	Tx         TxID          `cbor:"13,keyasint,omitempty"`
	// Pin keeps the connection for the session after the request, because it holds session state.
	Pin     bool          `cbor:"14,keyasint,omitempty"`
	Request proto.Request `cbor:"15,keyasint"`
	// ReadConsistency is the consistency of reads.
	ReadConsistency conf.Consistency `cbor:"16,keyasint,omitempty"`
	// Target is the caller's target latency; 0 means none.
	Target time.Duration `cbor:"17,keyasint,omitempty"`
	// Redirected is set if the work was sent to this owner on purpose and must not be redirected.
	Redirected bool `cbor:"18,keyasint,omitempty"`
	// Home are the regions in which the work may run.
	Home conf.HomeRegions `cbor:"19,keyasint,omitzero"`
}

// Limits bound one request: its total time, its wait in the queue, for the
// acknowledgement by a majority and for a replica to catch up, and the extra cost of
// reading from the primary.
type Limits struct {
	Run         time.Duration `cbor:"1,keyasint"`
	QueueWait   time.Duration `cbor:"2,keyasint"`
	AckWait     time.Duration `cbor:"3,keyasint"`
	ReadWait    time.Duration `cbor:"4,keyasint"`
	PrimaryCost time.Duration `cbor:"5,keyasint"`
}

// Result is the result of a Work.
type Result struct {
	Outcome    fault.Outcome `cbor:"1,keyasint"`
	Reason     fault.Reason  `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Floor is the session's floor from now on.
	Floor    ident.Floor `cbor:"4,keyasint"`
	TxStatus byte        `cbor:"5,keyasint,omitempty"`
	Tx       TxID        `cbor:"6,keyasint,omitempty"`
	LastRead LastRead    `cbor:"7,keyasint"`
	// Replica is set when a replica served the request.
	Replica bool `cbor:"8,keyasint,omitempty"`
	// ErrorCode is the SQLSTATE that the server answered with, if any.
	ErrorCode string `cbor:"9,keyasint,omitempty"`
	// PrimaryCenter is the data centre of the primary as far as the owner knows, empty if unknown.
	PrimaryCenter ident.CenterID `cbor:"10,keyasint,omitempty"`
	// Evidence describes what a refusal was based on and how old that was.
	Evidence string `cbor:"11,keyasint,omitempty"`
	// PreferredCenter is the data centre whose owner should run the work, with reason
	// OtherOwnerPreferred.
	PreferredCenter ident.CenterID `cbor:"12,keyasint,omitempty"`
	// PrimaryExpected is set if work that needs the primary was refused without a wait because none is
	// expected earlier than that.
	PrimaryExpected time.Duration `cbor:"13,keyasint,omitempty"`
	// Unproven is set if work that needs the primary was refused without a wait because the owner could not
	// read the group's record, without which it can't prove the term. Another owner may be able to.
	Unproven bool `cbor:"14,keyasint,omitempty"`
}

// NeedsPrimary reports whether only the primary can run the work.
func (w *Work) NeedsPrimary() bool {
	switch w.Kind {
	case stmt.Empty, stmt.Read, stmt.Show, stmt.Set:
		return w.Pin || w.ReadConsistency == conf.LatestReads
	case stmt.Begin:
		return w.Pin || !w.ReadOnly || w.ReadConsistency == conf.LatestReads
	}
	return true
}

// refused reports whether the server said that nothing of the request took effect. A read-only
// error undoes the transaction in which the request ran, but not what the request committed before.
func (w *Work) refused(a proto.Answer) bool {
	q := &w.Request
	return a.Refusal.NotRun() && (a.Refusal != proto.ReadOnly || q.NeverCommits || q.WritesNothing || q.TxOpening != proto.OpenNone)
}

// OpensTx reports whether the request begins a transaction.
func (w *Work) OpensTx() bool {
	return w.Tx == 0 && (w.Kind == stmt.Begin || w.Request.TxOpening != proto.OpenNone)
}

// HasNoEffect reports whether the protocol rules out that the request has an effect outside its
// session. One that runs in a transaction may write nothing itself and commit what others wrote.
func (w *Work) HasNoEffect() bool { return w.Tx == 0 && w.Request.WritesNothing }

// lost returns the result of a request that was sent and whose answer did not reach the caller.
func (w *Work) lost(r fault.Reason) Result {
	if w.HasNoEffect() {
		return Result{Outcome: fault.NoEffect, Reason: r}
	}
	return unknown(r)
}

// After returns the result of a request that was tried before with another result: what may
// have run then may have run, whatever became of the later attempt. Nor is a request unsent
// that was sent then, even if it is known not to have run.
func (r Result) After(earlier Result) Result {
	switch {
	case r.Outcome.NotRun() && earlier.Outcome.Unknown():
		r.Outcome = fault.Unknown
	case r.Outcome == fault.NotSent && earlier.Outcome.NotRun():
		r.Outcome = earlier.Outcome
	}
	return r
}

func notSent(r fault.Reason) Result { return Result{Outcome: fault.NotSent, Reason: r} }

func refused(a proto.Answer) Result {
	return Result{Outcome: fault.ServerRefused, Reason: refusalReasons[a.Refusal], ErrorCode: a.ErrorCode}
}

func rolledBack(r fault.Reason) Result { return Result{Outcome: fault.RolledBack, Reason: r} }

func unknown(r fault.Reason) Result { return Result{Outcome: fault.Unknown, Reason: r} }

// bufferSink is a Sink that buffers a whole answer.
type bufferSink struct{ bytes []byte }

// Emit implements proto.Sink.
func (k *bufferSink) Emit(messages []byte) error {
	k.bytes = append(k.bytes, messages...)
	return nil
}

// delayedSink is a Sink that buffers the beginning of an answer, so that a read can be
// retried as long as nothing of its answer has been passed on.
type delayedSink struct {
	sink  proto.Sink
	bytes []byte
	// forwarded is set once a part of the answer has been passed on.
	forwarded bool
	// bufferAll buffers the whole answer, whatever its size.
	bufferAll bool
}

// delayedSize is how much of a read's answer is buffered unless bufferAll is set, in bytes.
const delayedSize = 256 << 10

// Emit implements proto.Sink.
func (s *delayedSink) Emit(messages []byte) error {
	if !s.forwarded && (s.bufferAll || len(s.bytes)+len(messages) <= delayedSize) {
		s.bytes = append(s.bytes, messages...)
		return nil
	}
	if err := s.flush(); err != nil {
		return err
	}
	return s.sink.Emit(messages)
}

// flush passes on what is buffered.
func (s *delayedSink) flush() error {
	s.forwarded = true
	if len(s.bytes) == 0 {
		return nil
	}
	buffered := s.bytes
	s.bytes = nil
	return s.sink.Emit(buffered)
}
