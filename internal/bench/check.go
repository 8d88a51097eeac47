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

// Violation names a promise that was broken.
type Violation uint8

// The violations.
const (
	StaleRead     Violation = iota // stale-read
	LostWrite                      // lost-acknowledged-write
	FalseNotRun                    // false-not-run
	DoubledRun                     // doubled-run
	WrongAnswer                    // answer-to-wrong-caller
	MixedTx                        // mixed-transaction
	TooOld                         // older-than-stated-age
	AboveRate                      // above-rate-and-burst
	LateKey                        // withdrawn-key-alive
	Unexplained                    // unexplained-refusal
	violationKind                  // count
)

// Outcome is what the caller learnt about one request.
type Outcome uint8

// The outcomes as a caller sees them.
const (
	Acked Outcome = iota
	NotRun
	Unknown
	Failed
)

// row is what is known of one row, of which one session is the only writer.
type row struct {
	group   ident.GroupID
	id      string
	acked   int
	ackedAt time.Time
	// open are the values whose writes ended unknown.
	open map[int]bool
	// never are the values whose writes were told not to have run.
	never map[int]bool
	next  int
}

// value gives a row's value a form that tells whose it is.
func value(id string, n int) string { return id + "=" + strconv.Itoa(n) }

// number reads a value back; false means that it belongs to another row.
func number(id, text string) (int, bool) {
	digits, ok := strings.CutPrefix(text, id+"=")
	n, err := strconv.Atoi(digits)
	return n, ok && err == nil
}

// span is when a request was sent and when its answer came.
type span struct{ sent, answered time.Time }

// Checker knows every request that was sent and every answer that came.
type Checker struct {
	mu         sync.Mutex
	violations [violationKind]int64
	examples   []string
	rows       []*row
	admitted   map[ident.CustomerID][]span
}

const maxExamples = 20

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker { return &Checker{admitted: map[ident.CustomerID][]span{}} }

// Violate counts a broken promise.
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
	r := &row{group: group, id: id, open: map[int]bool{}, never: map[int]bool{}}
	c.rows = append(c.rows, r)
	return r
}

// propose returns the next value to write into a row.
func (c *Checker) propose(r *row) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.next++
	return r.next
}

// wrote takes in the outcome of a write.
func (c *Checker) wrote(r *row, n int, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o {
	case Acked:
		r.acked, r.ackedAt = n, time.Now()
		clear(r.open)
	case Unknown:
		r.open[n] = true
	case NotRun, Failed:
		r.never[n] = true
	}
}

// read checks what a session read of its own row.
func (c *Checker) read(r *row, text string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !found {
		if r.acked > 0 {
			c.violate(StaleRead, "%s was not found after %d was acknowledged", r.id, r.acked)
		}
		return
	}
	n, own := number(r.id, text)
	switch {
	case !own:
		c.violate(WrongAnswer, "asked for %s, got %q", r.id, text)
	case r.never[n]:
		c.violate(FalseNotRun, "%s holds %d, which was told not to have run", r.id, n)
	case n == r.acked:
	case n > r.acked && r.open[n]:
		r.acked = n
	case n < r.acked:
		c.violate(StaleRead, "%s read as %d after %d", r.id, n, r.acked)
	}
}

// aged checks a read of stated age: what was acknowledged longer ago than the age must be seen.
func (c *Checker) aged(r *row, text string, found bool, asked time.Time, age time.Duration, acked int, ackedAt time.Time) {
	if acked == 0 || asked.Sub(ackedAt) <= age {
		return
	}
	n, own := number(r.id, text)
	if !found || !own || n < acked {
		c.Violate(TooOld, "%s read as %q, %d was acknowledged %v before", r.id, text, acked, asked.Sub(ackedAt))
	}
}

func (c *Checker) known(r *row) (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.acked, r.ackedAt
}

// spent notes a request that was let through a customer's rate.
func (c *Checker) spent(id ident.CustomerID, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted[id] = append(c.admitted[id], span{sent, time.Now()})
}

// overshoot returns by how many requests a customer certainly exceeded its rate
// and burst: requests that were both sent and answered within a window all
// spent their tokens within it.
func (c *Checker) overshoot(id ident.CustomerID, rate, burst float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.admitted[id]
	worst := 0.0
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

// final compares every row with what its group's primary holds in the end.
func (c *Checker) final(rows map[ident.GroupID]map[string]string) {
	c.mu.Lock()
	all := c.rows
	c.mu.Unlock()
	for _, r := range all {
		kept, known := rows[r.group]
		if !known {
			continue
		}
		text, found := kept[r.id]
		n, own := number(r.id, text)
		c.mu.Lock()
		switch {
		case !found && r.acked > 0 || found && own && n < r.acked:
			c.violate(LostWrite, "%s holds %q in the end, %d was acknowledged", r.id, text, r.acked)
		case found && own && r.never[n]:
			c.violate(FalseNotRun, "%s holds %d in the end, which was told not to have run", r.id, n)
		}
		c.mu.Unlock()
	}
}

// Violations returns the count of each broken promise, by name.
func (c *Checker) Violations() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]int64{}
	for v := StaleRead; v < violationKind; v++ {
		all[v.String()] = c.violations[v]
	}
	return all
}

// Examples returns the first few broken promises in words.
func (c *Checker) Examples() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.examples...)
}
