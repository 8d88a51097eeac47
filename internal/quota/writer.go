package quota

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/objs"
)

const (
	// batchWindow is how long a writer collects further requests before it writes.
	batchWindow = 100 * time.Millisecond
	// maxWriteAttempts is how often a writer attempts a write that conflicts with another one.
	maxWriteAttempts = 4
	// writeTimeout bounds one attempt.
	writeTimeout = 2 * time.Second
	// maxConflictBackoff bounds the random delay between attempts.
	maxConflictBackoff = 60 * time.Millisecond
	// maxPending is how many submissions may wait for the writer.
	maxPending = 1024
)

// tableName is the name of the table's object in the platform.
const tableName = "fleet"

// submission is a set of lease requests from one instance, and where its result goes.
type submission struct {
	requests []share.Request
	done     chan result
}

type result struct {
	grants []share.Grant
	err    error
}

// tableWriter writes the table of shares, with one write for all requests that arrive within
// batchWindow.
type tableWriter struct {
	store    plat.Store
	epochs   *plat.Epochs
	params   func() share.LeaseParams
	requests chan *submission
	tomb     *tomb.Tomb

	// latest is the table that this writer last wrote, or read after a conflict; only run uses it.
	latest *storedTable

	mu        sync.Mutex
	allocator *share.Allocator
	random    *rand.Rand
}

// storedTable is a table and the object that it is stored in.
type storedTable struct {
	table  share.Table
	object objs.Object
}

// submit queues requests for the next write and waits for their grants.
func (w *tableWriter) submit(ctx context.Context, all []share.Request) ([]share.Grant, error) {
	s := &submission{requests: all, done: make(chan result, 1)}
	select {
	case w.requests <- s:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.tomb.Dying():
		return nil, tomb.ErrDying
	}
	select {
	case got := <-s.done:
		return got.grants, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-w.tomb.Dying():
		return nil, tomb.ErrDying
	}
}

// run writes submissions in batches until the Quota stops.
func (w *tableWriter) run() error {
	for {
		select {
		case <-w.tomb.Dying():
			return nil
		case first := <-w.requests:
			w.writeBatch(w.collect(first))
		}
	}
}

// collect returns the first submission and those that follow it within batchWindow.
func (w *tableWriter) collect(first *submission) []*submission {
	all := []*submission{first}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for {
		select {
		case s := <-w.requests:
			all = append(all, s)
		case <-timer.C:
			return all
		case <-w.tomb.Dying():
			return all
		}
	}
}

// writeBatch writes the submitted requests into the table and sends back the results.
func (w *tableWriter) writeBatch(all []*submission) {
	var requests []share.Request
	for _, s := range all {
		requests = append(requests, s.requests...)
	}
	var grants []share.Grant
	var err error
	for range maxWriteAttempts {
		ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), writeTimeout)
		grants, err = w.tryWrite(ctx, requests)
		cancel()
		if !plat.HasCause(err, plat.Conflict) && !plat.HasCause(err, plat.Restored) {
			break
		}
		time.Sleep(w.backoff())
	}
	for _, s := range all {
		s.done <- result{grants: grantsFor(s.requests, grants), err: err}
	}
}

// grantsFor returns the grants of a batch that answer some of its requests.
func grantsFor(requests []share.Request, grants []share.Grant) []share.Grant {
	var own []share.Grant
	for _, g := range grants {
		if slices.ContainsFunc(requests, func(r share.Request) bool { return r.Instance == g.Instance && r.Shard == g.Shard }) {
			own = append(own, g)
		}
	}
	return own
}

func (w *tableWriter) backoff() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(maxConflictBackoff)))
}

// tryWrite attempts one conditional write of the table and returns its grants.
func (w *tableWriter) tryWrite(ctx context.Context, requests []share.Request) ([]share.Grant, error) {
	if w.latest == nil {
		table, object, err := w.read(ctx)
		if err != nil {
			return nil, err
		}
		w.latest = &storedTable{table, object}
	}
	params := w.params()
	epoch, since, _ := w.epochs.Current()
	w.mu.Lock()
	w.allocator.SetEpoch(epoch, since, w.epochs.Restored())
	next, grants := w.allocator.Renew(clock.Now(), w.latest.table, params, requests)
	w.mu.Unlock()
	object, err := w.write(ctx, w.latest.object, next)
	if now, _, _ := w.epochs.Current(); err == nil && now != epoch {
		err = &plat.Error{Cause: plat.Restored, Epoch: now, Kind: objs.Shares, Name: tableName}
	}
	if err != nil {
		w.latest = conflicting(err)
		return grants, err
	}
	w.latest = &storedTable{next, object}
	return grants, nil
}

// conflicting returns the table of the write that a conflict lost against, as the error
// carries it; nil if the table has to be read.
func conflicting(err error) *storedTable {
	var failed *plat.Error
	if !errors.As(err, &failed) || failed.Cause != plat.Conflict || len(failed.Stored.Spec) == 0 {
		return nil
	}
	t := &storedTable{object: failed.Stored}
	if json.Unmarshal(failed.Stored.Spec, &t.table) != nil {
		return nil
	}
	return t
}

// read returns the stored table; if there is none, an empty one and the object to create.
func (w *tableWriter) read(ctx context.Context) (share.Table, objs.Object, error) {
	var table share.Table
	o, err := w.store.Get(ctx, objs.Shares, tableName)
	if plat.HasCause(err, plat.NotFound) {
		return table, objs.Object{Kind: objs.Shares, Metadata: objs.Metadata{Name: tableName}}, nil
	}
	if err != nil {
		return table, o, errors.Trace(err)
	}
	return table, o, errors.Trace(json.Unmarshal(o.Spec, &table))
}

func (w *tableWriter) write(ctx context.Context, o objs.Object, table share.Table) (objs.Object, error) {
	spec, err := json.Marshal(table)
	if err != nil {
		return o, errors.Trace(err)
	}
	o.Spec = spec
	return w.store.Put(ctx, o)
}
