package owner

import (
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// leavingWork is how long a server that is marked as leaving still gets new work.
const leavingWork = 5 * time.Second

// leavers remembers since when this instance has known servers to be marked as leaving, also
// those of groups that it does not own yet.
type leavers struct {
	now   func() time.Time
	since atomic.Pointer[map[ident.ServerID]time.Time]
}

// update replaces the set by the servers that the groups mark as leaving; it has one caller at a time.
func (l *leavers) update(groups map[ident.GroupID]conf.Group) {
	var old map[ident.ServerID]time.Time
	if known := l.since.Load(); known != nil {
		old = *known
	}
	next := map[ident.ServerID]time.Time{}
	for _, g := range groups {
		for _, s := range g.Servers {
			if !s.Leaving {
				continue
			}
			since, known := old[s.ID]
			if !known {
				since = l.now()
			}
			next[s.ID] = since
		}
	}
	l.since.Store(&next)
}

// done reports whether a server has been leaving for so long that it gets no new work.
func (l *leavers) done(id ident.ServerID) bool {
	known := l.since.Load()
	if known == nil {
		return false
	}
	since, leaving := (*known)[id]
	return leaving && l.now().Sub(since) >= leavingWork
}
