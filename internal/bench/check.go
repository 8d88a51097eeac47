package bench

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=Violation -linecomment -output=violation_string.go

// Violation is a guarantee that was violated.
type Violation uint8

// The violations.
const (
	StaleRead             Violation = iota // stale-read
	LostAcknowledgedWrite                  // lost-acknowledged-write
	FalseNotRun                            // false-not-run
	DoubledRun                             // doubled-run
	AnswerToWrongCaller                    // answer-to-wrong-caller
	MixedTransaction                       // mixed-transaction
	OlderThanStatedAge                     // older-than-stated-age
	AboveRateAndBurst                      // above-rate-and-burst
	WithdrawnKeyAlive                      // withdrawn-key-alive
	UnexplainedRefusal                     // unexplained-refusal
	violationCount                         // count
)

// Outcome is the outcome of one request, as far as the caller can tell.
type Outcome uint8

// The outcomes as a caller sees them.
const (
	Acked Outcome = iota
	// NotRun means that the proxy reported the request as not run, or that the connection failed
	// and nothing was to be written.
	NotRun
	// Unknown means that a write may or may not have run.
	Unknown
	// Failed means that the request ended with an error or had no effect.
	Failed
)

// row is the expected state of a row that has a single writing session.
type row struct {
	group ident.GroupID
	id    string
	// acked is the last value that was acknowledged or read, and ackedAt when it was acknowledged.
	acked   int
	ackedAt time.Time
	// unknown holds the values of writes with an unknown outcome.
	unknown map[int]bool
	// notRun holds the values of writes that were reported as not run or failed.
	notRun map[int]bool
	next   int
}

// formatValue returns the stored form of a value, which names its row.
func formatValue(id string, n int) string { return id + "=" + strconv.Itoa(n) }

// parseValue parses a stored value; false means that it does not belong to the row.
func parseValue(id, text string) (int, bool) {
	digits, ok := strings.CutPrefix(text, id+"=")
	n, err := strconv.Atoi(digits)
	return n, ok && err == nil
}

// span is the time from sending a request to its answer.
type span struct{ sent, answered time.Time }

// Checker checks the outcomes of requests against the guarantees; it is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	violations [violationCount]int64
	examples   []string
	rows       []*row
	// admitted holds one span for each rate token spent.
	admitted map[ident.CustomerID][]span
}

// maxExamples bounds the violations that are kept as text.
const maxExamples = 20

// NewChecker returns a checker without rows or requests.
func NewChecker() *Checker { return &Checker{admitted: map[ident.CustomerID][]span{}} }

// Violate counts a violation and keeps the first few as text.
func (c *Checker) Violate(v Violation, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(v, format, args...)
}

func (c *Checker) violate(v Violation, format string, args ...any) {
	c.violations[v]++
	if len(c.examples) < maxExamples {
		c.examples = append(c.examples, v.String()+": "+fmt.Sprintf(format, args...))
	}
}

func (c *Checker) newRow(group ident.GroupID, id string) *row {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &row{group: group, id: id, unknown: map[int]bool{}, notRun: map[int]bool{}}
	c.rows = append(c.rows, r)
	return r
}

// nextValue returns the next value to write to a row.
func (c *Checker) nextValue(r *row) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.next++
	return r.next
}

// recordWrite records the outcome of writing value n.
func (c *Checker) recordWrite(r *row, n int, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o {
	case Acked:
		r.acked, r.ackedAt = n, time.Now()
		clear(r.unknown)
	case Unknown:
		r.unknown[n] = true
	case NotRun, Failed:
		r.notRun[n] = true
	}
}

// checkRead checks what a session read from its own row (read your writes).
func (c *Checker) checkRead(r *row, text string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !found {
		if r.acked > 0 {
			c.violate(StaleRead, "row %s not found, although value %d was acknowledged", r.id, r.acked)
		}
		return
	}
	n, own := parseValue(r.id, text)
	switch {
	case !own:
		c.violate(AnswerToWrongCaller, "read of row %s returned %q", r.id, text)
	case r.notRun[n]:
		c.violate(FalseNotRun, "row %s holds value %d, whose write was reported as not run", r.id, n)
	case n == r.acked:
	case n > r.acked && r.unknown[n]:
		r.acked = n
	case n < r.acked:
		c.violate(StaleRead, "row %s returned value %d after %d", r.id, n, r.acked)
	}
}

// checkBoundedRead checks a read with a maximum age: it must see the value acked if that was
// acknowledged longer than the age before the read was sent.
func (c *Checker) checkBoundedRead(r *row, text string, found bool, sent time.Time, age time.Duration, acked int, ackedAt time.Time) {
	if acked == 0 || sent.Sub(ackedAt) <= age {
		return
	}
	n, own := parseValue(r.id, text)
	if !found || !own || n < acked {
		c.Violate(OlderThanStatedAge, "row %s returned %q, although value %d was acknowledged %v before", r.id, text, acked, sent.Sub(ackedAt))
	}
}

// lastAcked returns a row's last known value and when it was acknowledged.
func (c *Checker) lastAcked(r *row) (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.acked, r.ackedAt
}

// recordAdmitted records a request that spent a token of the customer's rate.
func (c *Checker) recordAdmitted(id ident.CustomerID, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted[id] = append(c.admitted[id], span{sent, time.Now()})
}

// overshoot returns a lower bound on how many requests a customer got beyond its
// rate and burst: requests that were both sent and answered within a window all
// spent their tokens within it.
func (c *Checker) overshoot(id ident.CustomerID, rate, burst float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.admitted[id]
	worst := 0.0
	// Only windows that begin at every step-th request are checked.
	const step = 7
	for i := 0; i < len(spans); i += step {
		from := spans[i].sent
		inside := 0.0
		for _, s := range spans[i:] {
			if s.sent.Before(from) {
				continue
			}
			inside++
			window := s.answered.Sub(from).Seconds()
			worst = max(worst, inside-burst-rate*window-1)
		}
	}
	return worst
}

// checkFinalRows compares every row with the rows that its group's primary holds at the end.
func (c *Checker) checkFinalRows(rows map[ident.GroupID]map[string]string) {
	c.mu.Lock()
	all := c.rows
	c.mu.Unlock()
	for _, r := range all {
		stored, known := rows[r.group]
		if !known {
			continue
		}
		text, found := stored[r.id]
		n, own := parseValue(r.id, text)
		c.mu.Lock()
		switch {
		case !found && r.acked > 0 || found && own && n < r.acked:
			c.violate(LostAcknowledgedWrite, "row %s holds %q at the end, although value %d was acknowledged", r.id, text, r.acked)
		case found && own && r.notRun[n]:
			c.violate(FalseNotRun, "row %s holds value %d at the end, whose write was reported as not run", r.id, n)
		}
		c.mu.Unlock()
	}
}

// Violations returns the number of violations of each kind, by name.
func (c *Checker) Violations() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]int64{}
	for v := StaleRead; v < violationCount; v++ {
		all[v.String()] = c.violations[v]
	}
	return all
}

// Examples returns descriptions of the first few violations.
func (c *Checker) Examples() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.examples...)
}
