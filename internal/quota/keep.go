package quota

import (
	"context"
	"strconv"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/share"
)

// submit hands a request to the first clerk that answers; this instance is one itself if no other does.
func (q *Quota) submit(ctx context.Context, a share.Ask) (share.Grant, error) {
	for _, id := range q.conf.Clerks() {
		if id == q.conf.Self {
			break
		}
		asked, cancel := context.WithTimeout(ctx, submitTime)
		grant, err := q.conf.Submit(asked, id, a)
		cancel()
		if err == nil {
			return grant, nil
		}
	}
	asked, cancel := context.WithTimeout(ctx, submitTime)
	defer cancel()
	return q.clerk.submit(asked, a)
}

// terms returns the data centre's part of all rates and the conditions in force.
func (q *Quota) terms() (share.Part, share.Terms) {
	s := q.conf.Snapshot()
	d := s.Defaults
	return share.Part(s.CenterPart(q.conf.Center)), share.Terms{
		Lease: d.ShareLease, Grace: d.ShareGrace, Reserve: share.Part(d.ShareReserve * float64(share.Whole)), Drift: driftPart,
	}
}

// keep renews the part before its lease lapses and whenever membership changes.
func (q *Quota) keep() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	check := time.NewTicker(time.Second)
	defer check.Stop()
	for {
		pause := time.Duration(0)
		select {
		case <-q.tomb.Dying():
			return nil
		case <-check.C:
			q.measure()
			continue
		case <-q.renew:
			pause = q.jitter(100 * time.Millisecond)
		case <-timer.C:
		}
		if !q.pause(pause) {
			return nil
		}
		timer.Reset(q.renewal())
	}
}

func (q *Quota) pause(d time.Duration) bool {
	select {
	case <-q.tomb.Dying():
		return false
	case <-time.After(d):
		return true
	}
}

// renewal asks for the part once and returns how long to wait for the next time.
func (q *Quota) renewal() time.Duration {
	if q.conf.Snapshot().Version == 0 {
		return notReadyPause
	}
	center, terms := q.terms()
	want := center / share.Part(max(q.conf.Members(), 1))
	q.mu.Lock()
	ask := q.holder.Ask(clock.Now(), want, terms)
	q.mu.Unlock()
	q.measure()
	grant, err := q.submit(q.tomb.Context(context.Background()), ask)
	if err != nil {
		return failedPause + q.jitter(failedPause)
	}
	q.mu.Lock()
	q.holder.Granted(grant)
	q.mu.Unlock()
	q.measure()
	interval := terms.Lease / renewalsPerLease
	if grant.Part < want {
		interval = min(interval, shortPause)
	}
	return inStep(time.Now(), interval) + q.jitter(gatherTime/2)
}

// inStep returns the time to the next multiple of the interval, so that the
// requests of a data centre come together and share a write.
func inStep(now time.Time, interval time.Duration) time.Duration {
	return now.Truncate(interval).Add(interval).Sub(now)
}

// measure brings the part that may be spent up to date.
func (q *Quota) measure() {
	q.mu.Lock()
	usable := q.holder.Usable(clock.Now())
	q.mu.Unlock()
	old := q.part.Swap(int64(usable))
	if old == int64(usable) {
		return
	}
	q.sizes.Add(1)
	q.openAccounts()
	q.conf.Journal.Add(jrnl.Event{Kind: jrnl.ShareChanged, Evidence: evidence(share.Part(old), usable)})
}

// openAccounts lets every customer's tokens count from now on, not from its first request.
func (q *Quota) openAccounts() {
	now := clock.Now()
	for customer := range q.conf.Snapshot().Customers {
		a := q.account(customer)
		a.mu.Lock()
		q.resize(a, now, customer)
		a.mu.Unlock()
	}
}

func evidence(old, now share.Part) string {
	if now == 0 {
		return "the lease lapsed: nothing may be spent"
	}
	if now < old {
		return "the part of all rates fell from " + percent(old) + " to " + percent(now)
	}
	return "the part of all rates rose from " + percent(old) + " to " + percent(now)
}

func percent(p share.Part) string {
	return strconv.FormatFloat(float64(p)*100/float64(share.Whole), 'f', 1, 64) + "%"
}
