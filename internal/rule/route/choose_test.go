package route

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumseam.dev/pkg/ident"
)

func drawServer(t *rapid.T, id ident.ServerID, primary bool) Server {
	return Server{
		ID: id, Primary: primary,
		Term:    ident.Term(rapid.IntRange(1, 3).Draw(t, "term")),
		Applied: ident.Position(rapid.IntRange(0, 20).Draw(t, "applied")),
		Age:     time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second,
		Aged:    rapid.Bool().Draw(t, "aged"),
		Usable:  rapid.Bool().Draw(t, "usable"),
		Leaving: rapid.Bool().Draw(t, "leaving"),
		Latency: time.Duration(rapid.IntRange(0, 50).Draw(t, "latency")) * time.Millisecond,
		Load:    rapid.IntRange(0, 40).Draw(t, "load"),
		Slots:   rapid.IntRange(0, 3).Draw(t, "slots"),
		Service: time.Millisecond,
		Arrival: time.Duration(rapid.IntRange(0, 50).Draw(t, "arrival")) * time.Millisecond,
	}
}

// TestChoiceIsAllowed checks that whatever is chosen may serve the read, and
// that a read finds a server whenever one may serve it.
func TestChoiceIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{drawServer(t, "a", true), drawServer(t, "b", false), drawServer(t, "c", false)}
		r := Request{
			Floor:       ident.Floor{Term: ident.Term(rapid.IntRange(0, 3).Draw(t, "floor-term")), Position: ident.Position(rapid.IntRange(0, 20).Draw(t, "floor"))},
			MaxAge:      time.Duration(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "max-age")) * time.Second,
			Wait:        20 * time.Millisecond,
			PrimaryCost: 5 * time.Millisecond,
		}
		switch c := Choose(r, servers).(type) {
		case Serve:
			s := find(servers, c.Server)
			fresh := s.Term >= r.Floor.Term && s.Applied >= r.Floor.Position
			aged := r.MaxAge > 0 && (s.Primary || s.Aged && s.Age <= r.MaxAge)
			if !s.Usable || s.Leaving || !fresh && !aged {
				t.Fatalf("served %+v from %+v", r, s)
			}
		case Await:
			s := find(servers, c.Server)
			if !s.Usable || s.Leaving || c.For > r.Wait+s.Latency || s.Term < r.Floor.Term {
				t.Fatalf("awaits %+v for %v", s, c.For)
			}
		case None:
			for _, s := range servers {
				if s.Usable && !s.Leaving && r.MaxAge == 0 && r.Floor.ReachedBy(s.Term, s.Applied) {
					t.Fatalf("no server although %+v may serve", s)
				}
			}
		}
	})
}

func find(servers []Server, id ident.ServerID) Server {
	for _, s := range servers {
		if s.ID == id {
			return s
		}
	}
	return Server{}
}

// TestNoStampede checks that lagging replicas send reads to a loaded primary
// only as long as waiting costs more.
func TestNoStampede(t *testing.T) {
	r := Request{Floor: ident.Floor{Term: 1, Position: 10}, Wait: 30 * time.Millisecond, PrimaryCost: 5 * time.Millisecond}
	replica := Server{ID: "b", Term: 1, Applied: 5, Usable: true, Slots: 3, Service: time.Millisecond, Arrival: 12 * time.Millisecond}
	for _, test := range []struct {
		load int
		want ident.ServerID
	}{{0, "a"}, {15, "a"}, {30, "b"}} {
		primary := Server{ID: "a", Primary: true, Term: 1, Applied: 10, Usable: true, Slots: 3, Service: time.Millisecond, Load: test.load}
		var got ident.ServerID
		switch c := Choose(r, []Server{primary, replica}).(type) {
		case Serve:
			got = c.Server
		case Await:
			got = c.Server
		}
		if got != test.want {
			t.Errorf("load %d: got %s, want %s", test.load, got, test.want)
		}
	}
}

// TestAgeIsProven plays a primary that grows and a replica that applies late;
// the proven age must never be below the true one.
func TestAgeIsProven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ages Ages
		now := time.Unix(0, 0)
		var written []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "write") {
				written = append(written, now)
			}
			asked := now
			ages.Saw(asked, 1, ident.Position(len(written)))
			applied := rapid.IntRange(0, len(written)).Draw(t, "applied")
			age, ok := ages.Age(now, 1, ident.Position(applied))
			if !ok || applied == len(written) {
				continue
			}
			if missing := now.Sub(written[applied]); missing > 0 && age < missing {
				t.Fatalf("proven age %v, but a write of %v ago is missing", age, missing)
			}
		}
	})
}

// TestArrivalOfAStuckReplicaGrows asks a replica that applies nothing again and
// again: it must soon not be worth a wait.
func TestArrivalOfAStuckReplicaGrows(t *testing.T) {
	var ages Ages
	began := time.Unix(0, 0)
	ages.Saw(began, 1, 10)
	last := time.Duration(0)
	for millis := 10; millis <= 100; millis += 10 {
		now := began.Add(time.Duration(millis) * time.Millisecond)
		ages.Saw(now, 1, 20)
		got := ages.Arrival(now, 10)
		if millis > 10 && got <= last {
			t.Fatalf("after %d ms it is expected in %v, before in %v", millis, got, last)
		}
		last = got
	}
}
