package share

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

// broken names a mechanism that the model runs without, to show that it finds the fault.
type broken string

const (
	startsEarlier      broken = "tokens accrue from before the start of the process"
	leaseFromGrant     broken = "a lease is counted from its grant"
	lateEntryProves    broken = "an entry proves more than its holder knew when it requested it"
	keptWhenGranted    broken = "an entry still proves what another instance was granted since"
	continuedTwice     broken = "every tenure of a process accrues from its start"
	lateHandover       broken = "tokens are taken over although the release was not entered"
	fallsUnnoticed     broken = "a paused holder goes on with the rate of an expired lease"
	loansOfPredecessor broken = "a new holder doesn't wait for loans of its predecessor to expire"
	loansOfSharer      broken = "a grown part doesn't wait for loans of its other holder to expire"
)

var allBroken = []broken{
	startsEarlier, leaseFromGrant, lateEntryProves, keptWhenGranted, continuedTwice, lateHandover, fallsUnnoticed, loansOfPredecessor, loansOfSharer,
}

// rateModel is a customer's buckets at instances that hold one shard by a table. Processes are killed, alone and
// all at once, and start again; instances are replaced; the store is unavailable to some or all (no request of theirs
// is written) or comes back from an older copy; messages are lost, late and doubled.
type rateModel struct {
	*tableModel
	random     *rand.Rand
	without    broken
	buckets    map[*Holder]*Bucket
	firstStart map[*Holder]bool
	allowance  Tokens
	// allowed is the sum of the allowances that processes got.
	allowed    Tokens
	admissions []admission
	loans      []loanTo
	// cut are the instances whose requests don't reach the store; replaced counts new names.
	cut      map[ident.InstanceID]bool
	replaced int
	// handovers are those that may still arrive.
	handovers []func()
}

// loanTo is a response with lent tokens in flight to a process.
type loanTo struct {
	loan
	to *Holder
}

func newRateModel(t *rapid.T, without broken) *rateModel {
	m := &rateModel{
		tableModel: &tableModel{t: t, now: time.Unix(1000, 0), holders: map[entryKey]*Holder{}, allocators: [2]*Allocator{NewAllocator(), NewAllocator()}},
		without:    without, buckets: map[*Holder]*Bucket{}, firstStart: map[*Holder]bool{}, cut: map[ident.InstanceID]bool{},
		// rapid prefers small numbers, with which rare sequences of steps don't occur.
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	m.restores = m.random.IntN(4) == 0
	m.allowance = Tokens(10 * (m.random.IntN(4) / 3))
	m.granted = func(h *Holder, _ Grant) { m.hold(h) }
	return m
}

// hold sizes a process's bucket for what it holds.
func (m *rateModel) hold(h *Holder) *Bucket {
	b := m.buckets[h]
	if b == nil {
		b = NewBucket(m.now, 0, 0)
		m.buckets[h] = b
	}
	held, ttl := h.Holding(), modelTTL
	switch m.without {
	case leaseFromGrant:
		held.LeaseEnd, held.GraceEnd = held.LeaseEnd.Add(m.now.Sub(h.requested)), held.GraceEnd.Add(m.now.Sub(h.requested))
	case startsEarlier:
		if h.continued {
			held.Since = held.Since.Add(-time.Second)
		}
	case continuedTwice:
		held.Since = h.started
	case loansOfPredecessor:
		if held.Tenure != b.tenure {
			ttl = 0
		}
	case loansOfSharer:
		if held.Tenure == b.tenure {
			ttl = 0
		}
	}
	b.Hold(m.now, modelRate, modelBurst, held, ttl)
	if m.without == fallsUnnoticed {
		b.falls = nil
	}
	if held.Usable(m.now) > 0 && !m.firstStart[h] {
		m.firstStart[h] = true
		b.Add(m.now, m.allowance)
		m.allowed += m.allowance
	}
	return b
}

func (m *rateModel) process() (entryKey, *Holder, *Bucket) {
	at := m.random.IntN(2)
	if at == 1 {
		at += m.replaced
	}
	id := entryKey{"c", 0, ident.InstanceID(fmt.Sprintf("i%d", at))}
	h := m.holder(id)
	if m.buckets[h] == nil {
		m.hold(h)
	}
	return id, h, m.buckets[h]
}

func (m *rateModel) step() {
	if m.restores && m.random.IntN(30) == 0 {
		m.restore()
	}
	id, h, b := m.process()
	switch m.random.IntN(22) {
	case 0, 1, 2:
		m.now = m.now.Add(time.Duration([]int{20, 150, 300, 900, 2100, 4100}[m.random.IntN(6)]) * time.Millisecond)
	case 3, 4, 5, 6:
		m.renewOne(id, h)
	case 7:
		switch m.random.IntN(4) {
		case 0:
			maps.DeleteFunc(m.holders, func(entryKey, *Holder) bool { return true })
			m.allocators = [2]*Allocator{NewAllocator(), NewAllocator()}
		case 1:
			m.replaced++
		default:
			delete(m.holders, id)
			m.allocators[m.random.IntN(2)] = NewAllocator()
			m.hold(m.holder(id))
		}
	case 8:
		m.cut[id.instance] = !m.cut[id.instance]
	case 9:
		if len(m.requests) > 0 {
			m.submit(m.requests[m.random.IntN(len(m.requests))])
			m.completeOften()
		}
	case 10:
		m.writes = m.completeOne(m.writes)
	case 11:
		m.replies = m.completeOne(m.replies)
	case 12:
		m.handOver(id, h)
	case 13:
		m.lend(b)
	case 14, 15:
		m.deliver()
	case 16, 17, 18:
		m.leave(id, h)
	case 19:
		if len(m.handovers) > 0 {
			m.handovers[m.random.IntN(len(m.handovers))]()
			m.completeOften()
		}
	case 20:
		m.lapse(id)
	default:
		m.spend(b)
	}
	if m.without == lateEntryProves || m.without == keptWhenGranted {
		m.overstate()
	}
}

// overstate makes the entries of the table prove too much.
func (m *rateModel) overstate() {
	for id, e := range m.table.Centers["c"][0] {
		if m.without == lateEntryProves {
			e.Proven = e.Granted
		} else if e.Proven > 0 {
			e.Proven, e.Granted = max(e.Part, e.Proven), max(e.Part, e.Granted)
		}
		m.table.Centers["c"][0][id] = e
	}
}

// renewOne is renew with requests that a cut instance keeps for later.
func (m *rateModel) renewOne(id entryKey, h *Holder) {
	if m.cut[id.instance] {
		m.request(id)
	} else {
		m.renew(id)
	}
	m.hold(h)
}

// handOver drains a process's bucket and sends its release and the tokens to another one, to which they may
// arrive late and more than once.
func (m *rateModel) handOver(from entryKey, h *Holder) {
	to, successor, _ := m.process()
	if to == from || h.Usable(m.now) == 0 {
		return
	}
	state := m.buckets[h].Drain(m.now)
	releases := h.Release(m.now, testParams, m.epoch)
	m.requests = append(m.requests, releases...)
	m.hold(h)
	arrive := func() {
		if m.holders[to] != successor {
			return
		}
		all := append(releases[:len(releases):len(releases)], successor.Request(m.now, Whole, testParams, m.epoch))
		m.submitThen(all, func(grants []Grant) {
			m.replies = append(m.replies, func() { m.takeOver(successor, releases, state, grants) })
		})
	}
	m.handovers = append(m.handovers, arrive)
	if m.random.IntN(2) == 0 {
		arrive()
		m.complete()
	}
}

func (m *rateModel) completeOften() {
	if m.random.IntN(4) > 0 {
		m.complete()
	}
}

// complete writes the latest table and delivers all answers.
func (m *rateModel) complete() {
	if last := len(m.writes) - 1; last >= 0 {
		m.replies = nil
		m.writes[last]()
		m.writes = m.writes[:last]
		for _, reply := range m.replies {
			reply()
		}
		m.replies = nil
	}
}

// lapse has the lease of an instance, which may start again, end while another one renews its own.
func (m *rateModel) lapse(id entryKey) {
	if m.random.IntN(2) == 0 {
		delete(m.holders, id)
		m.hold(m.holder(id))
	}
	m.now = m.now.Add(testParams.Lease + testParams.Lease/20)
	next, other, _ := m.process()
	if next == id {
		return
	}
	m.submit(other.Request(m.now, Whole, testParams, m.epoch))
	m.complete()
	m.now = m.now.Add(time.Duration(m.random.IntN(800)) * time.Millisecond)
	m.leave(next, other)
}

// leave has a process spend or lend its tokens and release its part without a successor; another one asks for it.
func (m *rateModel) leave(id entryKey, h *Holder) {
	if m.random.IntN(2) == 0 {
		m.lend(m.buckets[h])
	} else {
		m.spend(m.buckets[h])
	}
	m.submit(h.Release(m.now, testParams, m.epoch)...)
	m.hold(h)
	m.complete()
	if next, other, _ := m.process(); next != id {
		m.submit(other.Request(m.now, Whole, testParams, m.epoch))
		m.complete()
	}
}

func (m *rateModel) takeOver(h *Holder, releases []Request, state BucketState, grants []Grant) {
	begun := false
	for _, g := range grants {
		if g.Instance == h.self {
			begun = h.ApplyGrant(g) || begun
		}
	}
	b := m.hold(h)
	if begun && (ReleasedPart(releases, grants, 0) >= h.held || m.without == lateHandover) {
		b.TakeOver(m.now, h.tenure, state, modelTTL)
	}
}

func (m *rateModel) lend(from *Bucket) {
	_, to, _ := m.process()
	if amount := from.LendOwn(m.now, modelBurst, modelTTL); amount > 0 {
		m.loans = append(m.loans, loanTo{loan{requested: m.now, amount: amount, ttl: modelTTL}, to})
	}
}

func (m *rateModel) deliver() {
	if len(m.loans) == 0 {
		return
	}
	l := m.loans[0]
	m.loans = m.loans[1:]
	m.buckets[l.to].Accept(m.now, l.requested, l.amount, l.ttl)
}

func (m *rateModel) spend(b *Bucket) {
	n := b.Available(m.now)
	if m.random.IntN(2) == 0 {
		n /= 2
	}
	if n > 0 && b.Take(m.now, n) {
		m.admissions = append(m.admissions, admission{m.now, n})
	}
}

// excess plays a schedule and returns how many requests it admits beyond rate, burst and allowances.
func excess(t *rapid.T, without broken) Tokens {
	m := newRateModel(t, without)
	for range 120 {
		m.step()
		// Only processes that run spend tokens.
		for at := range m.replaced + 2 {
			h := m.holders[entryKey{"c", 0, ident.InstanceID(fmt.Sprintf("i%d", at))}]
			if b := m.buckets[h]; b != nil && m.random.IntN(4) == 0 {
				m.spend(b)
			}
		}
	}
	return overshoot(m.admissions) - m.allowed
}

// TestNeverAboveRateThroughOutagesAndRestarts guards against any more than rate, burst and allowance.
func TestNeverAboveRateThroughOutagesAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := excess(t, ""); over > 1e-6 {
			t.Fatalf("admitted %v requests more than rate, burst and allowances", over)
		}
	})
}

// firstSchedule is where the search for a broken mechanism starts, to save time where only rare schedules show it.
var firstSchedule = map[broken]int{loansOfSharer: 10_300, keptWhenGranted: 10_400}

// TestModelFindsBrokenMechanisms guards against a model that can't fail.
func TestModelFindsBrokenMechanisms(t *testing.T) {
	const schedules = 20_000
	for _, without := range allBroken {
		t.Run(string(without), func(t *testing.T) {
			t.Parallel()
			play := rapid.Custom(func(t *rapid.T) bool { return excess(t, without) > 1e-6 })
			for n := range schedules {
				if seed := firstSchedule[without] + n; play.Example(seed) {
					t.Logf("found by schedule %d", seed)
					return
				}
			}
			t.Errorf("not found in %d schedules", schedules)
		})
	}
}
