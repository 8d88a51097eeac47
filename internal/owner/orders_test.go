package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"geraniumseam.dev/internal/proto"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// orderDriver records what the record says when an order is sent, and leaves the order without an answer if
// unanswered is set.
type orderDriver struct {
	*fakeDriver
	ordering   func() bool
	sent       atomic.Int32
	covered    atomic.Int32
	unanswered bool
	// slow is set if Promote returns only after its context has ended.
	slow bool
}

func (d *orderDriver) Promote(ctx context.Context, _ proto.Conn, _ proto.Target, _ proto.PromotionOrder) (proto.Promotion, error) {
	d.sent.Add(1)
	if d.ordering() {
		d.covered.Add(1)
	}
	if d.slow {
		<-ctx.Done()
		time.Sleep(100 * time.Millisecond)
	}
	return proto.Promotion{Accepted: !d.unanswered, Unsettled: d.unanswered}, nil
}

// TestOrdersAreSentUnderTheRecord guards against orders that the record doesn't tell of, so that another
// holder's may come first (ONE), and against a record that tells of orders long after their answers, so that
// nobody else can claim.
func TestOrdersAreSentUnderTheRecord(t *testing.T) {
	for _, test := range []struct {
		name string
		// claim is that of the order; the record has claim 5.
		claim      uint64
		unanswered bool
		slow       bool
		down       bool
		sent       int32
		ordering   bool
	}{
		{name: "answered", claim: 5, sent: 1},
		{name: "unanswered", claim: 5, unanswered: true, sent: 1, ordering: true},
		{name: "unanswered until the step ends", claim: 5, unanswered: true, slow: true, sent: 1, ordering: true},
		{name: "after another claim", claim: 4},
		{name: "without the store", claim: 5, down: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &orderDriver{fakeDriver: newDriver(), unanswered: test.unanswered, slow: test.slow}
			store := &claimStore{accepts: true}
			g := startGroup(t, d, store)
			record := func() group.Record {
				kept, err := readRecord(t.Context(), store, g.conf.Epochs, "g")
				if err != nil {
					t.Fatal(err)
				}
				return kept.Record
			}
			d.ordering = func() bool { return record().Ordering }
			if _, _, _, err := g.updateRecord(t.Context(), func(kept group.Record, _ ident.Version) (group.Record, bool) {
				kept.Claim = 5
				return kept, true
			}); err != nil {
				t.Fatal(err)
			}
			store.setDown(test.down)
			g.promote(group.Promote{Server: "b", Term: 2, Claim: test.claim})
			store.setDown(false)
			if sent, covered := d.sent.Load(), d.covered.Load(); sent != test.sent || covered != sent {
				t.Errorf("%d orders sent, %d of them with the record telling so; want %d", sent, covered, test.sent)
			}
			if test.ordering {
				time.Sleep(500 * time.Millisecond)
				if !record().Ordering {
					t.Error("an order without an answer counts as settled")
				}
				return
			}
			eventually(t, "the record no longer tells of orders", func() bool { return !record().Ordering })
		})
	}
}
