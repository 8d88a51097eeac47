package entry

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/stmt"
)

// Request is one request of a caller, as parsed by the dialect.
type Request struct {
	// Trace identifies the request; if it is empty, the instance assigns one.
	Trace    ident.TraceID
	Kind     stmt.Kind
	ReadOnly bool
	// Charged is set if the request takes a token from the customer's rate.
	Charged bool
	// Pin keeps the server connection for the session after the request, because the request
	// leaves state on it.
	Pin     bool
	Content proto.Request
}

// Reply is the result of a request. Fault is nil if a server answered.
type Reply struct {
	Work   *owner.Work
	Result owner.Result
	Fault  *fault.Fault
	// Revoked is set if the session has to end because its key or route is no longer valid.
	Revoked bool
	// floorRaised is set if the request raised the session's floor.
	floorRaised bool
}

// Run checks the caller's access, charges the rate and runs a request; the server's answer
// goes to sink.
func (s *Session) Run(q *Request, sink proto.Sink) Reply {
	trace := q.Trace
	if trace == "" {
		trace = s.instance.trace()
	}
	began := clock.Now()
	access, reason := s.recheckAccess()
	if reason != fault.None {
		s.markRevoked(reason)
		return Reply{Revoked: true, Fault: &fault.Fault{
			Reason: reason, Outcome: fault.NotSent, Trace: trace, Fatal: true, Evidence: s.instance.configEvidence(),
		}}
	}
	limits := s.instance.configCache.Current().DefaultsFor(began, access.Customer, access.Service)
	w := s.newWork(q, access, limits, trace)
	if refusal := s.instance.repeatRefusal(w); refusal != nil {
		return Reply{Fault: refusal}
	}
	var charged *quota.Charge
	if q.Charged && (limits.RateUnit == conf.PerStatement || !s.InTx()) {
		charge, refusal := s.chargeRate(access, limits, trace)
		if refusal != nil {
			return Reply{Fault: refusal}
		}
		charged = &charge
	}
	result, ownerID := s.dispatch(w, sink)
	if charged != nil && result.Outcome == fault.NotSent {
		s.instance.quota.Return(*charged)
	}
	elapsed := clock.Since(began)
	s.instance.metrics.observe(w, result, elapsed)
	s.instance.recordSlow(w, result, ownerID, elapsed)
	reply := Reply{Work: w, Result: result}
	if result.Outcome == fault.Done {
		reply.floorRaised = s.applyResult(w, result, ownerID)
		return reply
	}
	reply.Fault = &fault.Fault{Reason: result.Reason, Outcome: result.Outcome, Trace: trace, RetryAfter: result.RetryAfter, Evidence: s.instance.decisionEvidence(result, ownerID)}
	if result.Outcome.Unknown() && w.HasNoEffect() {
		reply.Fault.Outcome = fault.NoEffect
	}
	return reply
}

// slowThreshold is the latency above which a request counts as slow if its route has no
// target latency.
const slowThreshold = time.Second

// recordSlow adds a journal event for a request that took longer than its target latency.
func (i *Instance) recordSlow(w *owner.Work, r owner.Result, ownerID ident.InstanceID, elapsed time.Duration) {
	if target := cmp.Or(w.Target, slowThreshold); r.Outcome != fault.Done || elapsed <= target {
		return
	}
	i.journal.Add(jrnl.Event{
		Kind: jrnl.RequestSlow, Trace: w.Trace, Customer: w.Customer, Group: w.Group, Server: r.LastRead.Server,
		Evidence: fmt.Sprintf("%s took %v through instance %s, target %v, served by a replica: %t", w.Kind, elapsed.Round(time.Millisecond), ownerID, w.Target, r.Replica),
	})
}

// decisionEvidence describes where the result of a failed request was decided and on what.
func (i *Instance) decisionEvidence(r owner.Result, ownerID ident.InstanceID) string {
	switch {
	case ownerID == "":
		return r.Evidence
	case r.Evidence == "":
		return fmt.Sprintf("owner %s told no more; %s", ownerID, i.configEvidence())
	}
	return fmt.Sprintf("decided by owner %s: %s", ownerID, r.Evidence)
}

// configEvidence describes the configuration on which decisions about keys and routes are based.
func (i *Instance) configEvidence() string {
	return fmt.Sprintf("configuration %s, confirmed %v ago", i.configCache.Current().Version, i.configCache.SinceConfirmed().Round(time.Millisecond))
}

// applyResult updates the session with the result of a request; it reports whether the
// request raised the floor.
func (s *Session) applyResult(w *owner.Work, r owner.Result, ownerID ident.InstanceID) bool {
	s.status, s.tx = TxStatus(r.TxStatus), r.Tx
	s.SetTxOpen(s.tx != 0)
	if s.tx != 0 {
		s.txOwner = ownerID
		s.pinned = s.pinned || w.Pin
	}
	if r.LastRead.Server != "" {
		s.lastRead = r.LastRead
	}
	floorRaised := w.Kind > stmt.Begin && !r.Floor.IsZero() && r.Floor != s.floor
	if !r.Floor.IsZero() {
		s.floor, s.floorKnown = r.Floor, true
	}
	return floorRaised
}

// SetTxOpen records whether the caller has a transaction open; shutdown waits for its end.
func (s *Session) SetTxOpen(txOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txOpen = txOpen
}

// InTx reports whether a server holds a transaction open for the session.
func (s *Session) InTx() bool { return s.tx != 0 }

// Status returns the transaction status of the session.
func (s *Session) Status() TxStatus { return s.status }

// SetSettings sets the session settings that are applied to every server connection of the
// session.
func (s *Session) SetSettings(settings []proto.Setting) { s.settings = settings }

// MarkIdle marks the session as idle, waiting for its caller; false means that it has to end.
func (s *Session) MarkIdle() bool { return s.enterStage(idle) }

// MarkRunning marks the session as running a request; false means that it has to end.
func (s *Session) MarkRunning() bool { return s.enterStage(running) }

// EndReason returns the reason why the instance ends the session.
func (s *Session) EndReason() fault.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revoked == fault.None && s.draining {
		return fault.ShuttingDown
	}
	return s.revoked
}

// RecordRefusal counts and logs a refusal that the dialect is about to send.
func (s *Session) RecordRefusal(f *fault.Fault) {
	if f.Evidence == "" {
		f.Evidence = s.instance.configEvidence()
	}
	s.instance.journal.RecordRefusal(f, s.access.Customer, s.access.Group)
}

// Authenticate checks the caller's key and grants access to a database; an empty customer
// stands for the customer of the key.
func (s *Session) Authenticate(customer ident.CustomerID, database ident.ServiceID, key string) fault.Reason {
	if !s.instance.awaitReady(database) {
		return fault.NotReady
	}
	snapshot := s.instance.configCache.Current()
	hash := conf.HashKey(key)
	if !snapshot.HasDatabase(database) {
		return fault.RouteGone
	}
	if customer == "" {
		customer, _ = snapshot.CustomerOfKey(hash)
	}
	access, ok := snapshot.Authenticate(customer, database, hash)
	if !ok {
		return fault.KeyRefused
	}
	if access.Key != "" && s.instance.keysUnchecked() {
		return fault.KeyUnchecked
	}
	s.floorGroup = access.Group
	s.mu.Lock()
	s.access, s.hasAccess = access, true
	s.mu.Unlock()
	return fault.None
}

// revalidate checks an access against a configuration; a reason other than None ends the session.
func revalidate(s *conf.Snapshot, a conf.Access) (conf.Access, fault.Reason) {
	access, ok := s.Revalidate(a)
	switch {
	case ok:
		return access, fault.None
	case !s.HasDatabase(a.Route):
		return access, fault.RouteGone
	}
	return access, fault.KeyWithdrawn
}

// recheckAccess checks the session's access against the configuration in force. If the route
// now leads to another group, the session's floor is reset.
func (s *Session) recheckAccess() (conf.Access, fault.Reason) {
	snapshot := s.instance.configCache.Current()
	access, reason := revalidate(snapshot, s.access)
	if reason != fault.None {
		return access, reason
	}
	if access.Key != "" && s.instance.keysUnchecked() {
		return access, fault.KeyUnchecked
	}
	if access.Group != s.floorGroup {
		s.floorGroup, s.floor, s.floorKnown = access.Group, ident.Floor{}, false
	}
	s.mu.Lock()
	s.access = access
	s.mu.Unlock()
	return access, fault.None
}

func (s *Session) markRevoked(r fault.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = r
}

// chargeRate takes a token from the customer's rate, waiting up to the rate wait, or inside a
// transaction up to the statement deadline. It returns no fault if a token was taken.
func (s *Session) chargeRate(a conf.Access, d conf.Defaults, trace ident.TraceID) (quota.Charge, *fault.Fault) {
	if charge, ok := s.instance.quota.TryTake(a.Customer); ok {
		s.instance.quota.Count(fault.None)
		return charge, nil
	}
	wait := d.RateWait
	if s.tx != 0 {
		wait = d.StatementDeadline
	}
	ctx, done := s.cancellableContext(wait + time.Second)
	defer done()
	charge, reason, after := s.instance.quota.Take(ctx, a.Customer, wait)
	s.instance.quota.Count(reason)
	if reason == fault.None {
		return charge, nil
	}
	return charge, &fault.Fault{
		Reason: reason, Outcome: fault.NotSent, Trace: trace, RetryAfter: after,
		Evidence: s.instance.quota.Evidence(a.Customer) + fmt.Sprintf("; waited %v", wait),
	}
}

// cancellableContext returns a context that a cancel request for this session ends.
func (s *Session) cancellableContext(limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	s.mu.Lock()
	s.cancelRequest = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancelRequest = nil
		s.mu.Unlock()
		cancel()
	}
}

// readMaxAge returns the maximum age of the session's reads: its own, or else that of its route.
func (s *Session) readMaxAge(a conf.Access) time.Duration {
	if s.hasMaxAge {
		return s.maxAge
	}
	return a.MaxAge
}

// newWork builds the message that describes a request to the owner of the group.
func (s *Session) newWork(q *Request, a conf.Access, d conf.Defaults, trace ident.TraceID) *owner.Work {
	weight := a.Worth
	if c, ok := s.instance.configCache.Current().Customers[a.Customer]; ok {
		weight *= c.Weight
	}
	run := d.StatementDeadline
	if a.Timeout > 0 {
		run = a.Timeout
	}
	w := &owner.Work{
		Trace: trace, Customer: a.Customer, Route: a.Route, Group: a.Group, Kind: q.Kind, ReadOnly: q.ReadOnly,
		Weight: weight, Floor: s.floor, FloorKnown: s.floorKnown, MaxAge: s.readMaxAge(a), LastRead: s.lastRead,
		Limits: owner.Limits{
			Run: run, QueueWait: d.QueueDeadline, AckWait: d.AckDeadline, ReadWait: d.ReadWait, PrimaryCost: d.PrimaryCost,
		},
		Tx: s.tx, Pin: s.pinned || q.Pin, ReadConsistency: a.ReadConsistency, Target: a.Target, Home: a.Home, Request: q.Content,
	}
	w.Request.Settings = s.settings
	return w
}

// dispatch runs work at the owner of the open transaction, or else at any owner of the group.
func (s *Session) dispatch(w *owner.Work, sink proto.Sink) (owner.Result, ident.InstanceID) {
	ctx, done := s.cancellableContext(w.Limits.Run)
	defer done()
	if w.Tx != 0 {
		return s.instance.runAt(ctx, s.txOwner, w, sink), s.txOwner
	}
	return s.instance.dispatch(ctx, s.instance.configCache.Current(), w, sink)
}
