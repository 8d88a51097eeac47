package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// How promotion orders of different holders are kept apart where nothing else checks the number
// of their claim. The group's record says that orders of its holder may be under way; nobody else claims then.
//
//	claim ──▶ seal ──▶ startOrdering ──▶ order ──answered──▶ settleOrders ──▶ others may claim
//	                                       └──no answer──▶ others wait for group.OrderSettleTime

// orders is what this instance knows of the orders that it has sent for a group.
type orders struct {
	// unsettledUntil is until when an order that was not answered may take effect, in nanoseconds of the clock.
	unsettledUntil atomic.Int64
}

func (o *orders) markUnsettled() {
	o.unsettledUntil.Store(clock.Now().Add(group.OrderSettleTime).UnixNano())
}

func (o *orders) settled() bool { return clock.Now().UnixNano() >= o.unsettledUntil.Load() }

// startOrdering records that orders of a claim are under way, and reports whether they may be sent: the
// claim is still the last one, and nobody claims from now on.
func (g *Group) startOrdering(ctx context.Context, a group.Promote) bool {
	if !g.conf.Driver.Fenced() {
		return true
	}
	start := func(kept group.Record, _ ident.Version) (group.Record, bool) { return kept.StartOrdering(a.Claim) }
	r, _, written, err := g.updateRecord(ctx, start)
	if err != nil || !written {
		// The write may have been stored all the same.
		g.settleOrders(a, false)
		evidence := fmt.Sprintf("no order was sent: claim %d of %s is the last one, and ours is %d", r.Claim, r.Claimant, a.Claim)
		if err != nil {
			evidence = fmt.Sprintf("no order was sent: that claim %d orders could not be recorded: %v", a.Claim, err)
		}
		g.recordStep(jrnl.Event{Kind: jrnl.ClaimLost, Server: a.Server, Term: a.Term, Evidence: evidence})
		return false
	}
	return true
}

// sendOrders orders a server to lead and reports whether that was accepted. On an error the order may still be
// on its way, and end later than this call.
func (g *Group) sendOrders(ctx context.Context, s *server, a group.Promote) (bool, error) {
	var begun atomic.Bool
	accepted := make(chan bool, 1)
	err := s.run(ctx, func(ctx context.Context, c proto.Conn) error {
		begun.Store(true)
		if ctx.Err() != nil {
			g.settleOrders(a, false)
			return ctx.Err()
		}
		promotion, err := g.conf.Driver.Promote(ctx, c, s.target, proto.PromotionOrder{
			Term: a.Term, Claimant: a.Claimant, Fence: a.Fence, Until: a.Until,
			ClaimValid: func() bool { return g.mayOrder(ctx, c, a) },
		})
		g.settleOrders(a, promotion.Unsettled)
		accepted <- promotion.Accepted
		return err
	})
	if err != nil {
		if !begun.Load() {
			g.settleOrders(a, false)
		}
		return false, err
	}
	return <-accepted, nil
}

// settleOrders records that the orders of a claim are settled, unless one may still take effect.
func (g *Group) settleOrders(a group.Promote, unsettled bool) {
	if unsettled {
		g.orders.markUnsettled()
	}
	if !g.conf.Driver.Fenced() || !g.orders.settled() {
		return
	}
	g.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(g.tomb.Context(context.Background()), settleTimeout)
		defer cancel()
		settle := func(kept group.Record, _ ident.Version) (group.Record, bool) { return kept.SettleOrders(a.Claim) }
		for {
			asked := clock.Now()
			r, v, _, err := g.updateRecord(ctx, settle)
			if err == nil {
				g.applyRecord(group.RecordCopy{Record: r, Version: v, Asked: asked}, fromStore)
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(settleRetryDelay):
			}
		}
	})
}

// settleTimeout bounds the attempts to record that orders are settled, settleRetryDelay is the pause between
// two of them.
const (
	settleTimeout    = 10 * time.Second
	settleRetryDelay = 300 * time.Millisecond
)
