package entry

import (
	"fmt"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/internal/rule/admit"
	"geraniumseam.dev/pkg/ident"
)

// primaryRefusal is an owner's refusal of work that needs a group's primary.
type primaryRefusal struct {
	admit.PrimaryRefusal
	owner    ident.InstanceID
	evidence string
}

// rememberRefusal keeps an owner's result of work that it was asked to run if it is a refusal that holds for
// further work.
func (i *Instance) rememberRefusal(w *owner.Work, r owner.Result, by ident.InstanceID, asked time.Time) {
	if r.PrimaryExpected <= 0 || !w.NeedsPrimary() {
		return
	}
	i.primaryRefusals.Store(w.Group, primaryRefusal{
		PrimaryRefusal: admit.PrimaryRefusal{Arrived: clock.Now(), Expected: asked.Add(r.PrimaryExpected)}, owner: by, evidence: r.Evidence,
	})
}

// repeatRefusal refuses work before it is charged if an owner has just refused the like; it returns nil if not.
// The statements of an open transaction are left to its owner.
func (i *Instance) repeatRefusal(w *owner.Work) *fault.Fault {
	found, known := i.primaryRefusals.Load(w.Group)
	if !known || w.Tx != 0 || !w.NeedsPrimary() {
		return nil
	}
	now, last := clock.Now(), found.(primaryRefusal)
	left, repeats := last.Repeats(now, min(admit.MaxQueueWait(w.Target, w.Limits.QueueWait), w.Limits.Run))
	if !repeats {
		return nil
	}
	i.metrics.refusedEarly.Inc()
	return &fault.Fault{
		Reason: fault.NoPrimary, Outcome: fault.NotSent, Trace: w.Trace, RetryAfter: i.random.jitter(left),
		Evidence: fmt.Sprintf("not charged, as owner %s refused such work %v ago: %s", last.owner, now.Sub(last.Arrived).Round(time.Millisecond), last.evidence),
	}
}
