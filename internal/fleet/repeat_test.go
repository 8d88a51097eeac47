package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"geraniumseam.dev/internal/rule/conf"
)

// repeatCounts counts what callers of servers that repeat answers saw.
type repeatCounts struct{ asked, done, doubted, failed, otherRows, notWritten atomic.Int64 }

// repeatCaller inserts, updates and reads a row of its own in turn.
type repeatCaller struct {
	t     *testing.T
	url   string
	name  string
	conn  *pgx.Conn
	count *repeatCounts
}

// exec runs a statement and reports whether it succeeded; a COMMIT that rolled back did not.
func (c *repeatCaller) exec(ctx context.Context, text string, args ...any) bool {
	c.count.asked.Add(1)
	tag, err := c.conn.Exec(ctx, text, args...)
	return c.note(ctx, err) && tag.String() != "ROLLBACK"
}

// read reads a row; ok is false if the read failed.
func (c *repeatCaller) read(ctx context.Context, id string) (value string, ok bool) {
	c.count.asked.Add(1)
	err := c.conn.QueryRow(ctx, "SELECT value FROM ledger WHERE id = $1", id).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		c.count.done.Add(1)
		return "", true
	}
	return value, c.note(ctx, err)
}

// note counts the outcome of a statement and connects again if the session has ended.
func (c *repeatCaller) note(ctx context.Context, err error) bool {
	if err == nil {
		c.count.done.Add(1)
		return true
	}
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == "08007" {
		c.count.doubted.Add(1)
	} else {
		c.count.failed.Add(1)
	}
	if c.conn.IsClosed() {
		c.conn, err = pgx.Connect(ctx, c.url)
		if err != nil {
			c.t.Fatal(err)
		}
	}
	return false
}

// play writes and reads rows; inTx has a read and a write of each share a transaction.
func (c *repeatCaller) play(ctx context.Context, rows int, inTx bool) {
	for n := range rows {
		id := fmt.Sprintf("%s-%d", c.name, n)
		written := c.exec(ctx, "INSERT INTO ledger (id, value) VALUES ($1, $2)", id, id+" first")
		value, ok := c.read(ctx, id)
		c.check(id, value, ok && written, id+" first")
		if inTx && !c.exec(ctx, "BEGIN") {
			continue
		}
		changed := c.exec(ctx, "UPDATE ledger SET value = $1 WHERE id = $2", id+" second", id)
		if inTx {
			value, ok = c.read(ctx, id)
			c.check(id, value, ok && changed && written, id+" second")
			changed = c.exec(ctx, "COMMIT") && changed
		}
		value, ok = c.read(ctx, id)
		c.check(id, value, ok && changed && written, id+" second")
	}
}

// check counts a row that is another caller's, or not what was written.
func (c *repeatCaller) check(id, value string, known bool, want string) {
	switch {
	case value != "" && value != id+" first" && value != id+" second":
		c.count.otherRows.Add(1)
	case known && value != want:
		c.count.notWritten.Add(1)
	}
}

// TestServerThatRepeatsAnswers: callers of servers that give one answer in five twice, the second time late, got the
// rows of others, and successes of writes that had not run.
func TestServerThatRepeatsAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 40 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			f := start(t, Config{Seed: 43, AdjustConfig: func(c *conf.Config) { c.Customers["dealers-hanoi"] = conf.Customer{Rate: 1e6, Burst: 1e6, Weight: 1} }})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			count := &repeatCounts{}
			var callers, faults sync.WaitGroup
			playing, stop := context.WithCancel(ctx)
			defer stop()
			for _, s := range f.Groups["stock"].Servers() {
				s.Faults().RepeatDelay.Store(int64(delay))
				faults.Go(func() {
					for at := 0; playing.Err() == nil; at++ {
						s.Faults().RepeatedAnswers.Store(1)
						if at%8 == 0 {
							s.Faults().RepeatedStatus.Store(1)
						}
						time.Sleep(4 * time.Millisecond)
					}
				})
			}
			for at := range 8 {
				m := f.Members()[at%len(f.Members())]
				c := &repeatCaller{t: t, url: f.URL(m, "dealers-hanoi", "stock"), name: fmt.Sprintf("caller-%d", at), count: count}
				c.conn = connect(t, c.url)
				callers.Go(func() { c.play(ctx, 16, at%2 == 1) })
			}
			callers.Wait()
			stop()
			faults.Wait()
			t.Logf("%d asked, %d done, %d in doubt, %d failed, %d rows of others, %d not as written", count.asked.Load(), count.done.Load(),
				count.doubted.Load(), count.failed.Load(), count.otherRows.Load(), count.notWritten.Load())
			if count.otherRows.Load()+count.notWritten.Load() > 0 {
				t.Errorf("%d of %d answers held rows of others, %d not what was written", count.otherRows.Load(), count.done.Load(), count.notWritten.Load())
			}
			if count.done.Load() < count.asked.Load()/2 {
				t.Errorf("%d of %d statements succeeded", count.done.Load(), count.asked.Load())
			}
		})
	}
}
