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
		Term:        ident.Term(rapid.IntRange(1, 3).Draw(t, "term")),
		Applied:     ident.Position(rapid.IntRange(0, 20).Draw(t, "applied")),
		Age:         time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second,
		AgeKnown:    rapid.Bool().Draw(t, "aged"),
		Usable:      rapid.Bool().Draw(t, "usable"),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
		Latency:     time.Duration(rapid.IntRange(0, 50).Draw(t, "latency")) * time.Millisecond,
		Load:        rapid.IntRange(0, 40).Draw(t, "load"),
		Slots:       rapid.IntRange(0, 3).Draw(t, "slots"),
		ServiceTime: time.Millisecond,
		CatchUpTime: time.Duration(rapid.IntRange(0, 50).Draw(t, "arrival")) * time.Millisecond,
	}
}

// TestChosenServerCanServeRead checks that the chosen server can serve the read, and that a server is
// chosen whenever one can.
func TestChosenServerCanServeRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{drawServer(t, "a", true), drawServer(t, "b", false), drawServer(t, "c", false)}
		r := Request{
			Floor:       ident.Floor{Term: ident.Term(rapid.IntRange(0, 3).Draw(t, "floor-term")), Position: ident.Position(rapid.IntRange(0, 20).Draw(t, "floor"))},
			MaxAge:      time.Duration(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "max-age")) * time.Second,
			MaxWait:     20 * time.Millisecond,
			PrimaryCost: 5 * time.Millisecond,
		}
		switch c := Choose(r, servers).(type) {
		case Serve:
			s := findServer(servers, c.Server)
			fresh := s.Term >= r.Floor.Term && s.Applied >= r.Floor.Position
			aged := r.MaxAge > 0 && (s.Primary || s.AgeKnown && s.Age <= r.MaxAge)
			if !s.Usable || s.Leaving || !fresh && !aged {
				t.Fatalf("request %+v was served by %+v", r, s)
			}
		case Await:
			s := findServer(servers, c.Server)
			if !s.Usable || s.Leaving || c.Wait > r.MaxWait+s.Latency || s.Term < r.Floor.Term {
				t.Fatalf("waits for server %+v for %v", s, c.Wait)
			}
		case None:
			for _, s := range servers {
				if s.Usable && !s.Leaving && r.MaxAge == 0 && r.Floor.ReachedBy(s.Term, s.Applied) {
					t.Fatalf("no server was chosen although %+v can serve the read", s)
				}
			}
		}
	})
}

func findServer(servers []Server, id ident.ServerID) Server {
	for _, s := range servers {
		if s.ID == id {
			return s
		}
	}
	return Server{}
}

// TestReadsWaitWhenPrimaryIsLoaded checks that reads go to a loaded primary only while waiting for a lagging
// replica would take longer.
func TestReadsWaitWhenPrimaryIsLoaded(t *testing.T) {
	r := Request{Floor: ident.Floor{Term: 1, Position: 10}, MaxWait: 30 * time.Millisecond, PrimaryCost: 5 * time.Millisecond}
	replica := Server{ID: "b", Term: 1, Applied: 5, Usable: true, Slots: 3, ServiceTime: time.Millisecond, CatchUpTime: 12 * time.Millisecond}
	for _, test := range []struct {
		load int
		want ident.ServerID
	}{{0, "a"}, {15, "a"}, {30, "b"}} {
		primary := Server{ID: "a", Primary: true, Term: 1, Applied: 10, Usable: true, Slots: 3, ServiceTime: time.Millisecond, Load: test.load}
		var got ident.ServerID
		switch c := Choose(r, []Server{primary, replica}).(type) {
		case Serve:
			got = c.Server
		case Await:
			got = c.Server
		}
		if got != test.want {
			t.Errorf("load %d: got server %s, want %s", test.load, got, test.want)
		}
	}
}

// TestAgeBoundIsNeverTooLow checks that the bound on the age of a lagging replica's data is never below
// its true age.
func TestAgeBoundIsNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ages AgeTracker
		now := time.Unix(0, 0)
		var written []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "write") {
				written = append(written, now)
			}
			polledAt := now
			ages.Record(polledAt, 1, ident.Position(len(written)))
			applied := rapid.IntRange(0, len(written)).Draw(t, "applied")
			age, ok := ages.Age(now, 1, ident.Position(applied))
			if !ok || applied == len(written) {
				continue
			}
			if missing := now.Sub(written[applied]); missing > 0 && age < missing {
				t.Fatalf("age bound %v, but a write made %v ago is missing", age, missing)
			}
		}
	})
}

// TestCatchUpEstimateGrowsForStuckReplica checks that the estimate for a replica that applies nothing
// grows from poll to poll, so that reads soon stop waiting for it.
func TestCatchUpEstimateGrowsForStuckReplica(t *testing.T) {
	var ages AgeTracker
	began := time.Unix(0, 0)
	ages.Record(began, 1, 10)
	last := time.Duration(0)
	for millis := 10; millis <= 100; millis += 10 {
		now := began.Add(time.Duration(millis) * time.Millisecond)
		ages.Record(now, 1, 20)
		got := ages.CatchUpTime(now, 10)
		if millis > 10 && got <= last {
			t.Fatalf("after %d ms the estimate is %v, was %v before", millis, got, last)
		}
		last = got
	}
}
