package quota

import (
	"context"
	"sync"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// borrow asks peers for tokens for as long as callers wait.
func (q *Quota) borrow() error {
	for {
		select {
		case <-q.tomb.Dying():
			return nil
		case <-q.borrowRequests:
		}
		if want := q.wanted(); len(want) > 0 && !q.conf.Static {
			q.round(want)
		}
		select {
		case <-q.tomb.Dying():
			return nil
		case <-time.After(borrowPause):
		}
	}
}

func (q *Quota) wanted() map[ident.CustomerID]float64 {
	want := map[ident.CustomerID]float64{}
	q.accounts.Range(func(key, value any) bool {
		a := value.(*account)
		a.mu.Lock()
		if a.waiting > 0 {
			want[key.(ident.CustomerID)] = a.waiting + a.demand*4*aheadTime.Seconds()
		}
		a.mu.Unlock()
		return true
	})
	return want
}

// round asks a few peers at once, each for its part of what is missing.
func (q *Quota) round(want map[ident.CustomerID]float64) {
	peers := q.turn()
	if len(peers) == 0 {
		return
	}
	share := map[ident.CustomerID]float64{}
	for customer, amount := range want {
		share[customer] = amount/float64(len(peers)) + 1
	}
	ctx, cancel := context.WithTimeout(q.tomb.Context(context.Background()), transferTime/2)
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Add(1)
		go func() {
			defer group.Done()
			q.ask(ctx, peer, share)
		}()
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		cancel()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(borrowPause):
	}
}

// turn returns whom to ask next: the nearest peers, and further ones round by round.
func (q *Quota) turn() []ident.InstanceID {
	all := q.conf.Peers()
	if len(all) <= askAtOnce {
		return all
	}
	var chosen []ident.InstanceID
	for at := range askAtOnce {
		chosen = append(chosen, all[(q.next+at)%len(all)])
	}
	q.next += askAtOnce
	return chosen
}

func (q *Quota) ask(ctx context.Context, peer ident.InstanceID, want map[ident.CustomerID]float64) {
	asked := clock.Now()
	given, err := q.conf.Ask(ctx, peer, want)
	if err != nil {
		return
	}
	now := clock.Now()
	for customer, amount := range given {
		if amount <= 0 || amount > want[customer] {
			continue
		}
		a := q.account(customer)
		a.mu.Lock()
		a.bucket.Accept(now, asked, share.Tokens(amount), transferTime)
		close(a.wake)
		a.wake = make(chan struct{})
		a.mu.Unlock()
		q.borrowed.Add(amount)
	}
}

// Give takes tokens out for a peer; an instance with demand of its own keeps half.
func (q *Quota) Give(want map[ident.CustomerID]float64) map[ident.CustomerID]float64 {
	given := map[ident.CustomerID]float64{}
	now := clock.Now()
	for customer, amount := range want {
		if _, known := q.conf.Snapshot().Customers[customer]; !known || amount <= 0 {
			continue
		}
		a := q.account(customer)
		a.mu.Lock()
		q.resize(a, now, customer)
		most := float64(a.bucket.Own(now))
		if now.Sub(a.spent) < ownTime {
			most /= 2
		}
		if a.waiting > 0 {
			most = 0
		}
		if got := a.bucket.Give(now, share.Tokens(min(amount, most)), transferTime); got > 0 {
			given[customer] = float64(got)
			q.given.Add(float64(got))
		}
		a.mu.Unlock()
	}
	return given
}
