package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

const (
	modelRate  = 100.0
	modelBurst = 50.0
	modelTTL   = 200 * time.Millisecond
)

// spend is the number of requests admitted at one moment.
type spend struct {
	at time.Time
	n  Tokens
}

// overshoot returns by how much any window exceeded burst + rate × window.
func overshoot(spends []spend) Tokens {
	worst := Tokens(0)
	for i := range spends {
		sum := Tokens(0)
		for _, s := range spends[i:] {
			sum += s.n
			window := s.at.Sub(spends[i].at).Seconds()
			worst = max(worst, sum-Tokens(modelBurst+modelRate*window))
		}
	}
	return worst
}

type grant struct {
	to     int
	asked  time.Time
	amount Tokens
}

// model is a customer's buckets at a few instances, with transfers in flight.
type model struct {
	t       *rapid.T
	now     time.Time
	buckets []*Bucket
	flight  []grant
	spends  []spend
}

func (m *model) step() {
	at := rapid.IntRange(0, len(m.buckets)-1).Draw(m.t, "instance")
	switch rapid.IntRange(0, 7).Draw(m.t, "what") {
	case 0, 7:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(m.t, "millis")) * time.Millisecond)
	case 6:
		m.drain()
	case 1, 2:
		n := Tokens(rapid.IntRange(1, 30).Draw(m.t, "n"))
		if m.buckets[at].Take(m.now, n) {
			m.spends = append(m.spends, spend{m.now, n})
		}
	case 3:
		m.ask(at)
	default:
		m.deliver()
	}
}

// drain spends all that every instance has at one moment.
func (m *model) drain() {
	for _, b := range m.buckets {
		if n := b.Available(m.now); b.Take(m.now, n) {
			m.spends = append(m.spends, spend{m.now, n})
		}
	}
}

// ask sends a request that reaches the giver at once; its answer may be late or lost.
func (m *model) ask(to int) {
	from := rapid.IntRange(0, len(m.buckets)-1).Draw(m.t, "giver")
	if from == to {
		return
	}
	want := Tokens(rapid.IntRange(1, 50).Draw(m.t, "want"))
	asked := m.now
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(m.t, "travel")) * time.Millisecond)
	if amount := m.buckets[from].Give(m.now, want, modelTTL); amount > 0 {
		m.flight = append(m.flight, grant{to: to, asked: asked, amount: amount})
	}
}

func (m *model) deliver() {
	if len(m.flight) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.flight)-1).Draw(m.t, "which")
	g := m.flight[at]
	m.flight = append(m.flight[:at], m.flight[at+1:]...)
	if rapid.IntRange(0, 4).Draw(m.t, "lost") == 0 {
		return
	}
	m.buckets[g.to].Accept(m.now, g.asked, g.amount, modelTTL)
}

func newModel(t *rapid.T, instances int) *model {
	m := &model{t: t, now: time.Unix(0, 0)}
	for range instances {
		m.buckets = append(m.buckets, NewBucket(m.now, Rate(modelRate/float64(instances)), Tokens(modelBurst/float64(instances))))
	}
	return m
}

func TestNeverAboveRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 4).Draw(t, "instances"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step()
		}
		if over := overshoot(m.spends); over > 1e-6 {
			t.Fatalf("%v tokens above rate and burst", over)
		}
	})
}

// TestWholeRateFromOneInstance moves tokens to the instance with all the demand.
func TestWholeRateFromOneInstance(t *testing.T) {
	m := newModel(nil, 6)
	admitted := Tokens(0)
	for range 1000 {
		m.now = m.now.Add(10 * time.Millisecond)
		for _, giver := range m.buckets[1:] {
			m.buckets[0].Accept(m.now, m.now, giver.Give(m.now, 1, modelTTL), modelTTL)
		}
		for m.buckets[0].Take(m.now, 1) {
			admitted++
		}
	}
	if admitted < 0.95*modelRate*10 {
		t.Fatalf("admitted %v of %v", admitted, modelRate*10)
	}
}

// keeperModel is a data centre's table with keepers that pause, and whose writes or answers get lost.
type keeperModel struct {
	t       *rapid.T
	now     time.Time
	table   Table
	version int
	keepers map[ident.InstanceID]*Keeper
	flight  map[ident.InstanceID]func()
}

var testTerms = Terms{Lease: 2 * time.Second, Grace: 6 * time.Second, Reserve: 300_000, Drift: 10_000}

func (m *keeperModel) step() {
	id := ident.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 3).Draw(m.t, "instance")))
	switch rapid.IntRange(0, 5).Draw(m.t, "what") {
	case 0, 1:
		m.now = m.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(m.t, "millis")) * time.Millisecond)
	case 2:
		if f := m.flight[id]; f != nil {
			delete(m.flight, id)
			f()
		}
	case 3:
		delete(m.keepers, id)
		delete(m.flight, id)
	default:
		m.renew(id)
	}
}

// renew reads the table now and writes it, conditionally, at some later step.
func (m *keeperModel) renew(id ident.InstanceID) {
	k := m.keepers[id]
	if k == nil {
		k = NewKeeper(id, Whole, testTerms)
		m.keepers[id] = k
	}
	version := m.version
	next := k.Renew(m.now, m.table, rapid.IntRange(1, 4).Draw(m.t, "members"))
	lost := rapid.IntRange(0, 4).Draw(m.t, "lost") == 0
	m.flight[id] = func() {
		if m.version != version {
			return
		}
		m.version++
		m.table = next
		if !lost {
			k.Stored()
		}
	}
}

func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &keeperModel{t: t, now: time.Unix(0, 0), keepers: map[ident.InstanceID]*Keeper{}, flight: map[ident.InstanceID]func(){}}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step()
			sum := Part(0)
			for _, k := range m.keepers {
				sum += k.Usable(m.now)
			}
			if sum > Whole {
				t.Fatalf("parts add up to %d of %d", sum, Whole)
			}
		}
	})
}
