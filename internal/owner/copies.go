package owner

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/singleflight"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/group"
	"geraniumseam.dev/pkg/ident"
)

// recordSource is where an instance has learnt a group's record.
type recordSource string

const (
	fromStore recordSource = "store"
	fromPeer  recordSource = "peer"
)

// recordCopies holds the copies of groups' records with which this instance answers its peers, and shares its reads
// of the platform's store among them. It is safe for concurrent use.
type recordCopies struct {
	store  plat.Store
	epochs *plat.Epochs
	reads  singleflight.Group
	counts *prometheus.CounterVec
	ages   *prometheus.HistogramVec

	mu     sync.Mutex
	copies map[ident.GroupID]group.RecordCopy
}

func newRecordCopies(store plat.Store, epochs *plat.Epochs, r prometheus.Registerer) *recordCopies {
	c := &recordCopies{
		store: store, epochs: epochs, copies: map[ident.GroupID]group.RecordCopy{},
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumseam_group_records_total", Help: "Answers to questions for a group's record, by source (store, peer) and result (applied, outdated, failed, late).",
		}, []string{"source", "result"}),
		ages: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "geraniumseam_group_record_age_seconds", Help: "Age of a group's record when it was applied, by source.",
			Buckets: []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.25, 3, 6},
		}, []string{"source"}),
	}
	if r != nil {
		r.MustRegister(c.counts, c.ages)
	}
	return c
}

// known returns the copy of a group's record.
func (c *recordCopies) known(id ident.GroupID) group.RecordCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[id]
}

// note keeps a copy, and reports whether it is of a later version, or was read later, than the one before.
func (c *recordCopies) note(id ident.GroupID, r group.RecordCopy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.copies[id]
	kept := known.Merge(r)
	c.copies[id] = kept
	return kept.Version != known.Version || !kept.Asked.Equal(known.Asked)
}

// read reads a group's record from the store, or joins the last read if that is still under way: a slow store gets no
// second read. The copy tells when its read was begun, which may be longer ago than the caller wants. Without join,
// the read is begun now. It goes on when ctx ends, for others that have joined it.
func (c *recordCopies) read(ctx context.Context, id ident.GroupID, join bool) (group.RecordCopy, error) {
	c.mu.Lock()
	if !join {
		c.reads.Forget(string(id))
	}
	answer := c.reads.DoChan(string(id), func() (any, error) { return c.readStore(id) })
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return group.RecordCopy{}, ctx.Err()
	case r := <-answer:
		if r.Err != nil {
			return group.RecordCopy{}, r.Err
		}
		return r.Val.(group.RecordCopy), nil
	}
}

func (c *recordCopies) readStore(id ident.GroupID) (group.RecordCopy, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	asked := clock.Now()
	kept, err := readRecord(ctx, c.store, c.epochs, id)
	return group.RecordCopy{Record: kept.Record, Version: kept.version, Asked: asked}, err
}

func (c *recordCopies) count(from recordSource, result string) {
	c.counts.WithLabelValues(string(from), result).Inc()
}

// countApplied counts an answer that an instance applies.
func (c *recordCopies) countApplied(id ident.GroupID, r group.RecordCopy, from recordSource) {
	result := "applied"
	if r.Version.Before(c.known(id).Version) {
		result = "outdated"
	} else {
		c.ages.WithLabelValues(string(from)).Observe(clock.Since(r.Asked).Seconds())
	}
	c.count(from, result)
}
