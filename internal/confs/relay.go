package confs

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// Relay watches the configuration in the platform on behalf of the instances of a data
// centre.
type Relay struct {
	Store plat.Store
	Cache *Cache
	// WritesAgain makes the relay write the configuration in force again if a restore of the
	// platform has lost it; without it, the operator does.
	WritesAgain bool
	// WatchTime is about how often the configuration in use is confirmed to be the latest: each
	// watch without a change confirms it.
	WatchTime time.Duration
	// latest is the latest head received, with its pages and those of a head still to come.
	latest   Bundle
	position position
	// answeredAt is a time after which the platform gave its last answer.
	answeredAt time.Time
}

// minWatchTenths is the shortest watch, in tenths of WatchTime. After a change the next watch is
// shorter than WatchTime, so that confirmations stay equally frequent.
const minWatchTenths = 1

// maxEmptyWatches is how many watches in a row may advance the version without delivering
// an event before the objects are listed again. It amounts to some seconds, well within the
// history that the platform keeps.
const maxEmptyWatches = 8

// maxWatchGap is the longest time without a list or a watch after which a watch continues. Another instance
// may have followed the platform meanwhile, and a store that has discarded its history says so late.
const maxWatchGap = 5 * time.Second

// position is where the next watch continues: the version that it starts after, and
// whether it can start without a new list.
type position struct {
	after ident.Version
	valid bool
	// reachedAt is when the last list or watch ended.
	reachedAt time.Time
	// emptyWatches counts the watches in a row without an event.
	emptyWatches int
}

// listed sets the position to that of a list.
func (p *position) listed(v ident.Version) {
	*p = position{after: v, valid: true, reachedAt: clock.Now()}
}

// mayContinue reports whether a watch can start without a new list.
func (p *position) mayContinue() bool {
	return p.valid && clock.Since(p.reachedAt) < maxWatchGap
}

// update updates the position after a watch. A watch that advanced the version without
// delivering an event may have missed some, so the next one starts from the same version;
// after maxEmptyWatches of them the objects have to be listed again.
func (p *position) update(after ident.Version, delivered bool, err error) {
	switch {
	case err != nil:
		p.valid = false
	case delivered:
		*p = position{after: ident.Latest(p.after, after), valid: true}
	case p.after.Before(after):
		p.emptyWatches++
		p.valid = p.emptyWatches < maxEmptyWatches
	}
	p.reachedAt = clock.Now()
}

// Step lists the configuration if that is due, otherwise runs one watch. It returns the
// error of the platform call.
func (r *Relay) Step(ctx context.Context) error {
	if !r.position.mayContinue() {
		return r.load(ctx)
	}
	delivered := false
	wait := min(max(r.WatchTime-r.Cache.now().Sub(r.answeredAt), r.WatchTime*minWatchTenths/10), r.WatchTime)
	began := r.Cache.now()
	after, err := r.Store.Watch(ctx, objs.Configurations, r.position.after, wait, func(e objs.Event) {
		delivered, r.answeredAt = true, began
		r.apply(ctx, e)
	})
	r.position.update(after, delivered, err)
	if err == nil {
		r.answeredAt = began
		if held := began.Add(wait); !delivered && !held.After(r.Cache.now()) {
			r.answeredAt = held
		}
		r.confirm()
	}
	return err
}

func (r *Relay) load(ctx context.Context) error {
	began := r.Cache.now()
	list, err := r.Store.List(ctx, objs.Configurations)
	if err != nil {
		return err
	}
	r.latest = Bundle{Pages: map[conf.PageName][]byte{}, PageVersions: map[conf.PageName]ident.Version{}}
	for _, o := range list.Items {
		if err := r.latest.add(o); err != nil {
			return err
		}
	}
	r.position.listed(list.Version())
	r.answeredAt = began
	r.offer()
	r.confirm()
	if r.WritesAgain {
		r.writeAgain(ctx, list.Version().Epoch())
	}
	return nil
}

// writeAgain writes the configuration in force again if the platform holds an older one in a
// later epoch. If another relay or an operator has written since, the watch delivers that.
func (r *Relay) writeAgain(ctx context.Context, epoch ident.Epoch) {
	lost := r.Cache.Bundle()
	if !r.latest.Version.Before(lost.Version) || lost.Version.Epoch() >= epoch {
		return
	}
	evidence := "wrote the configuration in force again, which the platform had lost"
	if err := WriteAgain(ctx, r.Store, lost, r.latest); err != nil {
		evidence = "did not write the configuration in force again: " + err.Error()
	}
	r.Cache.journal.Add(jrnl.Event{Kind: jrnl.PlatformRestored, Version: lost.Version, Evidence: evidence})
}

// confirm records that the platform, when it last answered, held no later configuration than the one
// in force. After a restore it may hold an earlier one, which does not outdate the one in force.
//
// An answer may arrive long after it was given, because the path or this process was held up. So it
// counts from when the call began, or from the end of the time for which the platform held a watch.
func (r *Relay) confirm() {
	if current := r.Cache.Current().Version; !current.Before(r.latest.Version) {
		r.Cache.Confirm(current, r.Cache.now().Sub(r.answeredAt))
	}
}

// offer offers the latest configuration received to the cache.
func (r *Relay) offer() {
	if current := r.Cache.Current().Version; r.latest.Version.Before(current) {
		r.Cache.logRejection(r.latest, &OlderError{Stored: r.latest.Version, InForce: current}, "the platform")
		return
	}
	r.Cache.Offer(r.latest, "the platform")
}

// OlderError reports that the platform holds an older configuration than the one in force.
type OlderError struct {
	Stored  ident.Version
	InForce ident.Version
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("the platform holds version %s, older than version %s in force", e.Stored, e.InForce)
}

// apply applies one watch event. For a new head, it fetches the missing pages.
func (r *Relay) apply(ctx context.Context, e objs.Event) {
	name := conf.PageName(e.Object.Metadata.Name)
	if e.Type == objs.Deleted {
		return
	}
	if name != HeadName {
		r.latest.Pages[name] = []byte(e.Object.Spec)
		return
	}
	var head conf.Head
	if json.Unmarshal(e.Object.Spec, &head) != nil {
		return
	}
	r.latest.Head, r.latest.Version = head, e.Object.Version()
	r.fetchPages(ctx)
	r.offer()
	r.confirm()
	r.latest = r.latest.withListedPages()
}

// fetchPages adds the missing pages of the latest head, from the configuration in use or
// the platform.
func (r *Relay) fetchPages(ctx context.Context) {
	for _, name := range r.latest.Head.Pages {
		if _, have := r.latest.Pages[name]; have {
			continue
		}
		if content, have := r.Cache.Page(name); have {
			r.latest.Pages[name] = content
			continue
		}
		if o, err := r.Store.Get(ctx, objs.Configurations, string(name)); err == nil {
			r.latest.Pages[name] = []byte(o.Spec)
		}
	}
}
