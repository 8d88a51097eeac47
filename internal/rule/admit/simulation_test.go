package admit

import (
	"bufio"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"geraniumseam.dev/internal/rule/fair"
	"geraniumseam.dev/pkg/ident"
)

// loadPattern describes the load on one server, read from a file.
type loadPattern struct {
	slots    int
	path     time.Duration
	target   time.Duration
	timeout  time.Duration
	deadline time.Duration
	phases   []phase
	flows    []flowLoad
	// want is the smallest accepted worth of the responses as a fraction of the capacity;
	// gain is the smallest accepted ratio to the worth of a plain FIFO queue. A response
	// within the target is worth 1, a later one within the deadline 0.1.
	want float64
	gain float64
}

// phase is a period with one average request rate and one average service time.
type phase struct {
	length  time.Duration
	rate    float64
	service time.Duration
	// factor multiplies the first customer's request rate.
	factor float64
}

// flowLoad is one customer's fraction of the request rate.
type flowLoad struct {
	customer ident.CustomerID
	share    float64
}

func readLoadPattern(t *testing.T, name string) loadPattern {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	p := loadPattern{deadline: 3 * time.Second}
	duration := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return d
	}
	number := func(text string) float64 {
		var n float64
		if _, err := fmt.Sscan(text, &n); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return n
	}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		switch f[0] {
		case "slots":
			p.slots = int(number(f[1]))
		case "path":
			p.path = duration(f[1])
		case "target":
			p.target = duration(f[1])
		case "timeout":
			p.timeout = duration(f[1])
		case "customer":
			p.flows = append(p.flows, flowLoad{ident.CustomerID(f[1]), number(f[2])})
		case "phase":
			p.phases = append(p.phases, phase{duration(f[1]), number(f[2]), duration(f[3]), number(f[4])})
		case "want":
			p.want = number(f[1])
		case "gain":
			p.gain = number(f[1])
		default:
			t.Fatalf("%s: unknown keyword %q", name, f[0])
		}
	}
	return p
}

// simEvent is an action at a simulated time; sequence orders those of the same time.
type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

// simEvents is a heap of events, the earliest first.
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs a load pattern through admission control or, if fifo is set, through a
// plain FIFO queue that refuses nothing at once.
type simulation struct {
	loadPattern
	fifo     bool
	random   *rand.Rand
	now      time.Duration
	events   simEvents
	sequence int
	limiter  *Limiter
	waiting  *fair.Queue
	// inFlight counts the requests sent to the server and not answered yet.
	inFlight int
	// busySlots counts the slots in use at the server, backlog holds the requests that wait
	// there for one.
	busySlots int
	backlog   []func()
	worth     map[ident.CustomerID]float64
	requested map[ident.CustomerID]float64
	late      int
}

// simRequest is a request; first is when its first attempt arrived.
type simRequest struct {
	customer ident.CustomerID
	first    time.Duration
	attempts int
	work     time.Duration
	sent     bool
}

func newSimulation(p loadPattern, fifo bool) *simulation {
	return &simulation{
		loadPattern: p, fifo: fifo, random: rand.New(rand.NewPCG(1, 2)), limiter: NewLimiter(p.slots), waiting: fair.NewQueue(128),
		worth: map[ident.CustomerID]float64{}, requested: map[ident.CustomerID]float64{},
	}
}

// after schedules an action to run when d has passed.
func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.now + d, s.sequence, do})
}

func (s *simulation) run() {
	start := time.Duration(0)
	for _, ph := range s.phases {
		for _, f := range s.flows {
			rate := ph.rate * f.share
			if f.customer == s.flows[0].customer {
				rate *= ph.factor
			}
			for at := start; ; {
				at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
				if at >= start+ph.length {
					break
				}
				a := &simRequest{customer: f.customer, first: at, work: time.Duration((0.5 + s.random.Float64()) * float64(ph.service))}
				s.requested[f.customer]++
				s.sequence++
				heap.Push(&s.events, simEvent{at, s.sequence, func() { s.arrive(a) }})
			}
		}
		start += ph.length
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
}

func (s *simulation) clock() time.Time { return time.Unix(0, 0).Add(s.now) }

// arrive queues a request or refuses it.
func (s *simulation) arrive(a *simRequest) {
	a.attempts++
	maxWait := MaxQueueWait(s.target, s.timeout)
	if s.fifo {
		maxWait = s.timeout
	}
	it := &fair.Item{Flow: fair.Flow{Customer: a.customer}, Weight: 1, Deadline: s.clock().Add(maxWait), Value: a}
	if s.fifo {
		it.Flow.Customer = ""
	}
	state := QueueState{Ahead: s.waiting.Ahead(it), Running: s.inFlight, Limit: s.concurrency(), ServiceTime: s.limiter.ServiceTime()}
	if after, refused := state.Refuse(maxWait); refused && !s.fifo {
		s.retryLater(a, Jitter(after, s.random.Float64()))
		return
	}
	if shed := s.waiting.Push(it); shed != nil {
		s.retryLater(shed.Value.(*simRequest), s.timeout)
	}
	s.after(maxWait, func() {
		if !a.sent && s.waiting.Remove(it) {
			s.retryLater(a, 100*time.Millisecond)
		}
	})
	s.sendQueued()
}

// concurrency returns how many requests may be in flight to the server.
func (s *simulation) concurrency() int {
	if s.fifo {
		return 8 * s.slots
	}
	return s.limiter.Limit()
}

// retryLater schedules another attempt unless the attempts or the deadline are used up.
func (s *simulation) retryLater(a *simRequest, after time.Duration) {
	if a.attempts > 2 || s.now+after > a.first+s.deadline {
		return
	}
	a.sent = false
	s.after(after, func() { s.arrive(a) })
}

// sendQueued sends queued requests to the server while the limit allows it.
func (s *simulation) sendQueued() {
	for s.inFlight < s.concurrency() {
		next, late := s.waiting.Pop(s.clock())
		for _, it := range late {
			s.retryLater(it.Value.(*simRequest), 100*time.Millisecond)
		}
		if next == nil {
			return
		}
		a := next.Value.(*simRequest)
		a.sent = true
		s.inFlight++
		sentAt := s.now
		s.after(s.path/2, func() { s.execute(a, sentAt) })
	}
}

// execute runs a request in a slot of the server; requests get slots in the order of arrival.
func (s *simulation) execute(a *simRequest, sentAt time.Duration) {
	begin := func() {
		s.after(a.work, func() {
			if len(s.backlog) > 0 {
				next := s.backlog[0]
				s.backlog = s.backlog[1:]
				next()
			} else {
				s.busySlots--
			}
			s.after(s.path/2, func() { s.receive(a, sentAt) })
		})
	}
	if s.busySlots < s.slots {
		s.busySlots++
		begin()
		return
	}
	s.backlog = append(s.backlog, begin)
}

// receive records a response and its worth.
func (s *simulation) receive(a *simRequest, sentAt time.Duration) {
	s.inFlight--
	s.limiter.ObserveRoundTrip(s.path)
	s.limiter.ObserveServiceTime(s.now - sentAt)
	switch took := s.now - a.first; {
	case took <= s.target:
		s.worth[a.customer]++
	case took <= s.deadline:
		s.worth[a.customer] += 0.1
		s.late++
	}
	s.sendQueued()
}

// capacity returns how many of the requests the slots can serve.
func (p loadPattern) capacity(requested float64) float64 {
	served := 0.0
	for _, ph := range p.phases {
		factor := 0.0
		for at, f := range p.flows {
			part := f.share
			if at == 0 {
				part *= ph.factor
			}
			factor += part
		}
		served += min(ph.rate*factor, float64(p.slots)/ph.service.Seconds()) * ph.length.Seconds()
	}
	return min(served, requested)
}

func total(counts map[ident.CustomerID]float64) float64 {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// TestLoadPatterns simulates the load patterns of testdata. The worth of the responses must
// come close to the capacity of the slots and exceed that of a plain FIFO queue, and beside
// a greedy customer the others must still be served.
func TestLoadPatterns(t *testing.T) {
	files, err := filepath.Glob("testdata/*.load")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".load"), func(t *testing.T) {
			p := readLoadPattern(t, name)
			admitted, fifo := newSimulation(p, false), newSimulation(p, true)
			admitted.run()
			fifo.run()
			possible := p.capacity(total(admitted.requested))
			got, plain := total(admitted.worth)/possible, total(fifo.worth)/possible
			t.Logf("worth %.3f of the capacity, %.3f with a plain FIFO queue; %d and %d late responses", got, plain, admitted.late, fifo.late)
			if got < p.want {
				t.Errorf("worth %.3f of the capacity, want at least %.3f", got, p.want)
			}
			if got < plain*p.gain {
				t.Errorf("worth %.3f against %.3f with a plain FIFO queue, want at least %.2f times as much", got, plain, p.gain)
			}
			for _, f := range p.flows[1:] {
				if part := admitted.worth[f.customer] / admitted.requested[f.customer]; p.phases[1].factor > 1 && part < 0.95 {
					t.Errorf("customer %s got %.3f of its requests' worth beside a greedy customer, want at least 0.95", f.customer, part)
				}
			}
		})
	}
}
