package route

import (
	"cmp"
	"time"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// Server is the known state of one server at the time of a choice.
type Server struct {
	ID      ident.ServerID
	Primary bool
	Term    ident.Term
	Applied ident.Position
	// Age is an upper bound on the age of the server's data.
	Age time.Duration
	// AgeKnown is false if no bound on the age is known.
	AgeKnown bool
	// Usable is false if the server does not answer or its report is implausible.
	Usable bool
	// Region is the region of the server's data centre.
	Region string
	// Leaving is set if the server is about to be removed from its group.
	Leaving bool
	// Latency is the measured round-trip time.
	Latency time.Duration
	// Load is the number of running and queued statements.
	Load int
	// OtherLoad is the estimated number of statements that it runs for other owners.
	OtherLoad float64
	// FailureRate is the rate of reads that it has failed of late, from 0 to 1.
	FailureRate float64
	// Slots is the number of statements that can run at once.
	Slots int
	// ServiceTime is the time that one statement takes.
	ServiceTime time.Duration
	// CatchUpTime is the estimated time until the server reaches the requested position.
	CatchUpTime time.Duration
}

// Request holds the requirements of a read.
type Request struct {
	// Floor is the least state that the serving server must have reached.
	Floor ident.Floor
	// SwitchFloor is the least state that any server must have reached other than that of the
	// session's previous read, so that the session's reads never go back in time.
	SwitchFloor ident.Floor
	// MaxAge is the greatest age of data that the read accepts; if it is 0, Floor applies
	// instead.
	MaxAge time.Duration
	// MaxWait is the longest time that the read may wait for a replica to catch up.
	MaxWait time.Duration
	// PrimaryCost is added to the primary's cost: how much longer a read may take elsewhere
	// to keep load off the primary.
	PrimaryCost time.Duration
	// LastServer is the server of the session's previous read; it is preferred at about equal cost.
	LastServer ident.ServerID
	// LaggingServer is a server that has just refused the read because it lags, whatever its report
	// says.
	LaggingServer ident.ServerID
	// Spread is how strongly the choice reacts to the load of other owners, from 0 to 1; see Spread.
	Spread float64
	// Home are the regions in which the read may run.
	Home conf.HomeRegions
}

// Choice is the result of Choose: Serve, Await or None.
type Choice interface{ isChoice() }

// Serve means that the server can serve the read now.
type Serve struct {
	Server  ident.ServerID
	Primary bool
}

// Await means that the caller should wait until a poll shows that the server has reached the
// floor, or the expected time for it has passed, and then choose again.
type Await struct {
	Server ident.ServerID
	Wait   time.Duration
}

// None means that no server can serve the read.
type None struct{}

func (Serve) isChoice() {}
func (Await) isChoice() {}
func (None) isChoice()  {}

// laggingPenalty is added to the cost of a server that has just refused the read because it
// lags, so that a server up to this much slower is preferred.
const laggingPenalty = time.Second

// affinityMargin is how much cheaper another server must be before a session leaves its last one.
const affinityMargin = 500 * time.Microsecond

// Choose returns the choice with the lowest expected time for the request.
func Choose(r Request, servers []Server) Choice {
	var best Choice = None{}
	lowestCost := time.Duration(0)
	least := leastOtherLoad(servers)
	for at := range servers {
		s := &servers[at]
		choice, cost, ok := r.evaluate(s)
		if !ok {
			continue
		}
		cost += s.otherCost(least, r.Spread) + failureCost(s.FailureRate)
		if s.ID == r.LastServer {
			cost -= affinityMargin
		}
		if s.ID == r.LaggingServer {
			cost += laggingPenalty
		}
		if _, none := best.(None); none || cost < lowestCost {
			best, lowestCost = choice, cost
		}
	}
	return best
}

// evaluate returns the choice that a server offers and its cost; false if there is none.
func (r Request) evaluate(s *Server) (Choice, time.Duration, bool) {
	if !s.Usable || s.Leaving || !r.Home.Allows(s.Region) {
		return nil, 0, false
	}
	cost := s.cost()
	if s.Primary {
		if !r.satisfiedBy(s) && r.MaxAge == 0 {
			return nil, 0, false
		}
		return Serve{Server: s.ID, Primary: true}, cost + r.PrimaryCost, true
	}
	if r.satisfiedBy(s) {
		return Serve{Server: s.ID}, cost, true
	}
	if r.MaxAge > 0 || s.Term < r.Floor.Term || s.CatchUpTime > r.MaxWait {
		return nil, 0, false
	}
	wait := max(s.CatchUpTime+s.Latency, minWait)
	return Await{Server: s.ID, Wait: wait}, cost + wait, true
}

// minWait is the shortest time to wait for a replica.
const minWait = 500 * time.Microsecond

// satisfiedBy reports whether the server's data is fresh enough for the read.
func (r Request) satisfiedBy(s *Server) bool {
	if r.MaxAge > 0 {
		return s.AgeKnown && s.Age <= r.MaxAge
	}
	if !r.Floor.ReachedBy(s.Term, s.Applied) {
		return false
	}
	if s.ID == r.LastServer || r.SwitchFloor.IsZero() || s.Term > r.SwitchFloor.Term {
		return true
	}
	return r.SwitchFloor.ReachedBy(s.Term, s.Applied)
}

// cost returns the expected time of the read on the server: the round trip and the time in
// the server's queue.
func (s *Server) cost() time.Duration {
	queueTime := time.Duration(s.Load) * cmp.Or(s.ServiceTime, assumedServiceTime) / time.Duration(max(s.Slots, 1))
	return s.Latency + queueTime
}
