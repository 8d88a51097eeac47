package jrnl

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/pkg/ident"
)

// Config configures a Journal.
type Config struct {
	Instance ident.InstanceID
	Center   ident.CenterID
	// Capacity is the number of events that the ring buffer holds.
	Capacity int
	Registry prometheus.Registerer
	Now      func() time.Time
}

// logBurst is the number of events of one kind and reason that are logged per second. Further
// ones are counted and kept, and a single log line gives their number.
const logBurst = 20

// lostBurst is the same for requests whose effect may be in question, each of which has to be
// found by its id; a server that goes down loses as many at once as it had connections.
const lostBurst = 200

// logKey identifies the events that share one limit on log lines.
type logKey struct {
	kind   Kind
	reason string
}

// burst returns the number of these events that are logged per second.
func (k logKey) burst() int {
	if k.kind == OutcomeUnknown || k.kind == AnswerLost || k.reason == fault.TransactionLost.String() {
		return lostBurst
	}
	return logBurst
}

// Journal holds the latest events of an instance; it is safe for concurrent use.
type Journal struct {
	conf     Config
	events   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec

	mu       sync.Mutex
	ring     []Event
	next     int
	sequence uint64
	// logged counts the events of the current second; second is its Unix time.
	second      int64
	logged      map[logKey]int
	subscribers []func(Event)
}

// New returns an empty journal.
func New(c Config) *Journal {
	j := &Journal{
		conf: c, logged: map[logKey]int{},
		events:   counter("geraniumseam_events_total", "Journal events by kind.", "kind"),
		refusals: counter("geraniumseam_refusals_total", "Requests refused or lost, by reason and outcome.", "reason", "outcome"),
		retries:  counter("geraniumseam_retries_total", "Requests tried again, by reason.", "reason"),
	}
	if c.Registry != nil {
		c.Registry.MustRegister(j.events, j.refusals, j.retries)
	}
	for _, r := range fault.Reasons() {
		j.refusals.WithLabelValues(r.String(), fault.NotRunLabel)
		j.retries.WithLabelValues(r.String())
	}
	return j
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Subscribe calls f with every event added from now on; f must not block.
func (j *Journal) Subscribe(f func(Event)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.subscribers = append(j.subscribers, f)
}

// Add stores, counts and logs an event.
func (j *Journal) Add(e Event) {
	e.Instance, e.Center = j.conf.Instance, j.conf.Center
	if e.At.IsZero() {
		e.At = j.conf.Now()
	}
	j.events.WithLabelValues(e.Kind.String()).Inc()
	subscribers, log, suppressed := j.store(&e)
	for _, f := range subscribers {
		f(e)
	}
	for key, count := range suppressed {
		klog.InfoS("events-not-logged", "instance", e.Instance, "data-center", e.Center, "kind", key.kind.String(), "reason", key.reason, "count", count)
	}
	if log {
		j.log(e)
	}
}

// RecordRefusal adds an event for a fault and counts its reason.
func (j *Journal) RecordRefusal(f *fault.Fault, customer ident.CustomerID, group ident.GroupID) {
	j.refusals.WithLabelValues(f.Reason.String(), f.Outcome.Label()).Inc()
	j.Add(RefusalEvent(f, customer, group))
}

// RecordRetry adds an event for a retried request and counts the reason.
func (j *Journal) RecordRetry(r fault.Reason, trace ident.TraceID, customer ident.CustomerID, group ident.GroupID) {
	j.retries.WithLabelValues(r.String()).Inc()
	j.Add(Event{Kind: Retried, Trace: trace, Customer: customer, Group: group, Reason: r.String()})
}

// store assigns the sequence number and stores the event. It returns the subscribers, whether to
// log the event and, for the first event of a new second, how many events were left out of the
// log in the second before.
func (j *Journal) store(e *Event) ([]func(Event), bool, map[logKey]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	e.Sequence = j.sequence
	if len(j.ring) < j.conf.Capacity {
		j.ring = append(j.ring, *e)
	} else {
		j.ring[j.next] = *e
		j.next = (j.next + 1) % len(j.ring)
	}
	var suppressed map[logKey]int
	if second := e.At.Unix(); second != j.second {
		j.second = second
		suppressed = j.suppressed()
		clear(j.logged)
	}
	key := logKey{kind: e.Kind, reason: e.Reason}
	j.logged[key]++
	return j.subscribers, j.logged[key] <= key.burst(), suppressed
}

// suppressed returns the numbers of events left out of the log; the caller must hold mu.
func (j *Journal) suppressed() map[logKey]int {
	var counts map[logKey]int
	for key, count := range j.logged {
		if count <= key.burst() {
			continue
		}
		if counts == nil {
			counts = map[logKey]int{}
		}
		counts[key] = count - key.burst()
	}
	return counts
}

// log writes an event to the log, without the attributes that it does not have.
func (j *Journal) log(e Event) {
	attributes := []any{
		"instance", e.Instance, "data-center", e.Center, "trace", e.Trace, "reason", e.Reason, "outcome", e.Outcome,
		"customer", e.Customer, "group", e.Group, "server", e.Server,
	}
	if e.Term != 0 || e.Kind.hasTerm() {
		attributes = append(attributes, "term", e.Term)
	}
	if !e.Version.IsZero() {
		attributes = append(attributes, "version", uint64(e.Version.Revision()), "epoch", uint64(e.Version.Epoch()))
	}
	if e.Count != 0 {
		attributes = append(attributes, "count", e.Count)
	}
	if e.RetryAfter != 0 {
		attributes = append(attributes, "retry-after-ms", e.RetryAfter)
	}
	klog.InfoS(e.Kind.String(), append(attributes, "evidence", e.Evidence)...)
}

// Since returns the stored events from the given time on, oldest first.
func (j *Journal) Since(from time.Time) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Event
	for offset := range j.ring {
		e := j.ring[(j.next+offset)%len(j.ring)]
		if !e.At.Before(from) {
			found = append(found, e)
		}
	}
	return found
}

// SortEvents sorts the events of several instances by time, then by instance, then by sequence.
func SortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		if a.Instance != b.Instance {
			if a.Instance < b.Instance {
				return -1
			}
			return 1
		}
		return int(a.Sequence) - int(b.Sequence)
	})
}
