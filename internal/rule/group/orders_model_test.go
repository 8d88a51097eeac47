package group

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// orderModel plays the claims and orders of a few holders against one record. Orders may be late, holders
// frozen or started again, and a view of the record old. It checks that fencing tokens never fall and belong
// to one holder each.
type orderModel struct {
	random  *rand.Rand
	now     time.Time
	record  Record
	holders []*orderHolder
	// arrivals are the orders under way.
	arrivals []lateOrder
	highest  uint64
	owners   map[uint64]ident.InstanceID
	orders   int
	// disabled names the mechanism that is disabled; empty means none.
	disabled  string
	violation string
}

// orderHolder is one instance in its present run.
type orderHolder struct {
	id             ident.InstanceID
	run            int
	view           Record
	orderingSeenAt time.Time
	claim, fence   uint64
	validUntil     time.Time
	// unsettledUntil is until when an order of it that was not answered may take effect.
	unsettledUntil time.Time
}

type lateOrder struct {
	at    time.Time
	by    ident.InstanceID
	fence uint64
}

func (m *orderModel) oneIn(n int) bool { return m.random.IntN(n) == 0 }

func (m *orderModel) millis(most int) time.Duration {
	return time.Duration(m.random.IntN(most)+1) * time.Millisecond
}

// advance moves the time on and has the orders that are due take effect.
func (m *orderModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	var later []lateOrder
	for _, o := range m.arrivals {
		if o.at.After(m.now) {
			later = append(later, o)
			continue
		}
		m.orders++
		if o.fence < m.highest {
			m.violation = fmt.Sprintf("an order of %s with fence %d came after one with %d", o.by, o.fence, m.highest)
		}
		if owner, taken := m.owners[o.fence]; taken && owner != o.by {
			m.violation = fmt.Sprintf("%s and %s both order with fence %d", owner, o.by, o.fence)
		}
		m.highest, m.owners[o.fence] = max(m.highest, o.fence), o.by
	}
	m.arrivals = later
}

func (h *orderHolder) learn(now time.Time, r Record) {
	if r.Ordering && (!h.view.Ordering || r.Claim != h.view.Claim) {
		h.orderingSeenAt = now
	}
	h.view = r
}

// makeClaim has a holder claim if its view of the record allows it.
func (m *orderModel) makeClaim(h *orderHolder) {
	if m.oneIn(3) {
		h.learn(m.now, m.record)
	}
	others := h.view.Ordering && h.view.Holder != h.id
	if others && m.now.Before(h.orderingSeenAt.Add(OrderSettleTime)) && m.disabled != "no-wait-for-orders" {
		return
	}
	c := Claim{Record: Record{Claimant: Claimant(fmt.Sprint(h.id, h.run)), Holder: h.id, ReplacedTerm: 1}, LastClaim: h.view.Claim}
	if others {
		c.Outwaited = h.view.Claim
	}
	kept := m.record
	if m.disabled == "orders-not-heeded" {
		kept.Ordering = false
	}
	r, granted := c.Evaluate(kept, ident.Version{}, true)
	h.learn(m.now, m.record)
	if !granted {
		return
	}
	if m.disabled == "orders-forgotten-by-next-claim" {
		r.Ordering = false
	}
	if m.disabled == "fence-of-each-claim" {
		r.Fence = r.Claim
	}
	m.record = r
	h.learn(m.now, r)
	h.claim, h.fence, h.validUntil = r.Claim, r.Fence, m.now.Add(claimValidity)
	if r.Ordering && m.disabled != "orders-of-earlier-run-settled" {
		h.unsettledUntil = m.now.Add(OrderSettleTime)
	}
}

// order has a holder order under its claim. The order may be late at the holder or at the platform, by
// as much as leaves room for an order that is sent at the end of the claim.
func (m *orderModel) order(h *orderHolder) {
	if h.claim == 0 || !m.now.Before(h.validUntil) {
		return
	}
	if m.disabled != "orders-without-the-record" {
		r, started := m.record.StartOrdering(h.claim)
		if !started {
			return
		}
		m.record = r
		h.learn(m.now, r)
	}
	flight := m.millis(20)
	late := m.oneIn(3)
	if late {
		flight = m.millis(int((OrderSettleTime - claimValidity).Milliseconds()))
	}
	m.arrivals = append(m.arrivals, lateOrder{at: m.now.Add(flight), by: h.id, fence: h.fence})
	if !late {
		m.advance(flight)
		m.settle(h)
		return
	}
	if m.disabled != "settled-without-an-answer" {
		h.unsettledUntil = m.now.Add(OrderSettleTime)
	}
	m.settle(h)
}

func (m *orderModel) settle(h *orderHolder) {
	if m.now.Before(h.unsettledUntil) {
		return
	}
	if r, changed := m.record.SettleOrders(h.claim); changed {
		m.record = r
		h.learn(m.now, r)
	}
}

// playOrders plays one schedule and returns the first violation, and how many orders took effect.
func playOrders(seed uint64, disabled string) (string, int) {
	m := &orderModel{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), owners: map[uint64]ident.InstanceID{}, disabled: disabled}
	for at := range 3 {
		m.holders = append(m.holders, &orderHolder{id: ident.InstanceID(fmt.Sprintf("h%d", at))})
	}
	for range 300 {
		h := m.holders[m.random.IntN(len(m.holders))]
		switch m.random.IntN(8) {
		case 0:
			*h = orderHolder{id: h.id, run: h.run + 1}
		case 1, 2:
			m.makeClaim(h)
		case 3, 4:
			m.order(h)
		case 5:
			m.settle(h)
		case 6:
			m.advance(m.millis(100))
		default:
			m.advance(m.millis(3000))
		}
		if m.violation != "" {
			break
		}
	}
	return m.violation, m.orders
}

// TestFencesNeverFall guards against a fencing token below one that the platform has seen (ONE), and checks that
// each mechanism in testdata/broken-orders.txt is needed for that.
func TestFencesNeverFall(t *testing.T) {
	const seeds = 400
	play := func(disabled string) (violation string, orders int) {
		for seed := range uint64(seeds) {
			found, count := playOrders(seed, disabled)
			if orders += count; found != "" {
				return fmt.Sprintf("seed %d: %s", seed, found), orders
			}
		}
		return "", orders
	}
	violation, orders := play("")
	if violation != "" || orders < seeds {
		t.Fatalf("%d orders: %s", orders, violation)
	}
	t.Logf("%d orders in %d schedules", orders, seeds)
	file, err := os.Open("testdata/broken-orders.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, _, _ := strings.Cut(lines.Text(), " ")
		if name == "" || name == "#" {
			continue
		}
		violation, _ := play(name)
		if violation == "" {
			t.Errorf("nothing breaks without %s", name)
		}
		t.Logf("%s: %s", name, violation)
	}
}
