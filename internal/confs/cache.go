package confs

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// Cache holds the newest configuration and server list known to an instance. It is safe
// for concurrent use.
type Cache struct {
	journal *jrnl.Journal
	now     func() time.Time
	current atomic.Pointer[conf.Snapshot]
	// confirmedAt is when the current version was last confirmed, in nanoseconds of now; 0 if never.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// base is the current configuration without the listed servers.
	base    *conf.Snapshot
	listing conf.Listing
	// evacuations is the newest list of evacuated data centres.
	evacuations conf.Evacuations
	// left holds the servers that have recently disappeared from the list.
	left map[ident.ServerID]departure
	// listEpoch is the latest epoch of a list; until copyUntil, lists may have entries of the
	// older copy that the epoch began with.
	listEpoch ident.Epoch
	copyUntil time.Time
	bundle    Bundle
	// rejected is the last version that was rejected because of mistakes.
	rejected ident.Version
	// callbacks are the callbacks registered with OnChange.
	callbacks []func(*conf.Snapshot)
}

// NewCache returns a Cache with an empty configuration of version 0. Ages are measured with now.
func NewCache(j *jrnl.Journal, now func() time.Time) *Cache {
	c := &Cache{journal: j, now: now, left: map[ident.ServerID]departure{}, bundle: Bundle{Pages: map[conf.PageName][]byte{}}}
	c.base = conf.NewSnapshot(conf.New(), ident.Version{})
	c.current.Store(c.base)
	return c
}

// Current returns the configuration in use.
func (c *Cache) Current() *conf.Snapshot { return c.current.Load() }

// OnChange registers f to be called after each change of the configuration in use.
func (c *Cache) OnChange(f func(*conf.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callbacks = append(c.callbacks, f)
}

// Offer puts a configuration to use if it is newer than the current one, complete and valid, and
// reports whether it did. One that another authority has accepted is used without the entries that
// can't be served. The version in use never decreases.
func (c *Cache) Offer(b Bundle, source string) bool {
	c.mu.Lock()
	if !c.bundle.Version.Before(b.Version) || b.Version == c.rejected {
		c.mu.Unlock()
		return false
	}
	config, err := b.Config()
	var omitted []conf.Mistake
	if err == nil && b.Head.Accepted {
		omitted = append(slices.Clone(b.Head.Omitted), conf.Omit(&config)...)
	} else if err == nil {
		if mistakes := conf.Check(&config); len(mistakes) > 0 {
			c.rejected, err = b.Version, &InvalidError{Mistakes: mistakes}
		}
	}
	if err != nil {
		c.mu.Unlock()
		c.logRejection(b, err, source)
		return false
	}
	c.bundle = b.withListedPages()
	c.base = conf.NewSnapshot(config, b.Version)
	snapshot := c.base.WithServers(c.listing).WithEvacuations(c.evacuations)
	c.current.Store(snapshot)
	callbacks := c.callbacks
	c.mu.Unlock()
	c.journal.Add(jrnl.Event{
		Kind: jrnl.ConfigInForce, Version: b.Version,
		Evidence: "learnt from " + source + "; written by " + b.Head.Author + ": " + b.Head.Reason,
	})
	for _, m := range omitted {
		c.journal.Add(jrnl.Event{Kind: jrnl.EntryOmitted, Version: b.Version, Evidence: m.Error() + "; the rest is in force"})
	}
	for _, f := range callbacks {
		f(snapshot)
	}
	return true
}

// OfferServers puts a list of backend servers to use if it is newer, or of the same version
// with fewer entries. It reports whether it did.
func (c *Cache) OfferServers(l conf.Listing, source string) bool {
	c.mu.Lock()
	// Expired entries are removed from a list without a new version.
	fewer := l.Version == c.listing.Version && l.Count() < c.listing.Count()
	if !c.listing.Version.Before(l.Version) && !fewer {
		c.mu.Unlock()
		return false
	}
	c.beginEpoch(l.Version.Epoch())
	same := maps.EqualFunc(l.Servers, c.listing.Servers, slices.Equal)
	if !same {
		c.recordDepartures(l)
	}
	c.listing = l
	snapshot := c.base.WithServers(l).WithEvacuations(c.evacuations)
	c.current.Store(snapshot)
	callbacks := c.callbacks
	c.mu.Unlock()
	if same {
		return true
	}
	c.journal.Add(jrnl.Event{Kind: jrnl.ServersListed, Version: l.Version, Evidence: "learnt from " + source})
	for _, f := range callbacks {
		f(snapshot)
	}
	return true
}

// departure is when an incarnation of a server disappeared, and the list that lacked it.
type departure struct {
	incarnation int64
	at          time.Time
	list        ident.Version
}

// departureRetention is how long departures are remembered; the copies that a platform is
// restored from are some seconds old.
const departureRetention = time.Minute

// recordDepartures notes which servers in use the next list lacks; the caller holds mu.
func (c *Cache) recordDepartures(next conf.Listing) {
	maps.DeleteFunc(c.left, func(_ ident.ServerID, d departure) bool { return clock.Since(d.at) > departureRetention })
	listed := map[ident.ServerID]bool{}
	for _, servers := range next.Servers {
		for _, s := range servers {
			listed[s.ID] = true
		}
	}
	for _, servers := range c.listing.Servers {
		for _, s := range servers {
			if !listed[s.ID] {
				c.left[s.ID] = departure{incarnation: s.Incarnation, at: clock.Now(), list: next.Version}
			}
		}
	}
}

// copyLifetime is how long after a restore of the platform a list may still have entries of the
// older copy: servers that live write theirs again within about two seconds, and the others'
// entries expire after three heartbeats.
const copyLifetime = 5 * time.Second

// beginEpoch notes the epoch of a list; the caller holds mu.
func (c *Cache) beginEpoch(epoch ident.Epoch) {
	if epoch > c.listEpoch && !c.listing.Version.IsZero() {
		c.copyUntil = clock.Now().Add(copyLifetime)
	}
	c.listEpoch = max(c.listEpoch, epoch)
}

// copyTime returns for how long a list that the platform holds in an epoch may still have entries that
// are older than those in use.
func (c *Cache) copyTime(epoch ident.Epoch) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginEpoch(epoch)
	return max(c.copyUntil.Sub(clock.Now()), 0)
}

// hasLeft reports whether an incarnation of a server, or a later one, has recently left and its entry,
// which has the given version, is of before that. An entry that is newer than the list that lacked
// it was written since, in the same epoch.
func (c *Cache) hasLeft(id ident.ServerID, incarnation int64, v ident.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, left := c.left[id]
	writtenSince := v.Epoch() == d.list.Epoch() && d.list.Before(v)
	return left && incarnation <= d.incarnation && !writtenSince
}

// Listing returns the server list in use.
func (c *Cache) Listing() conf.Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listing
}

// logRejection logs why a configuration was rejected.
func (c *Cache) logRejection(b Bundle, err error, source string) {
	c.journal.Add(jrnl.Event{Kind: jrnl.ConfigRefused, Version: b.Version, Evidence: err.Error() + "; learnt from " + source})
}

// withListedPages returns the bundle without the pages that its head does not list.
func (b Bundle) withListedPages() Bundle {
	listed := map[conf.PageName][]byte{}
	for _, name := range b.Head.Pages {
		listed[name] = b.Pages[name]
	}
	b.Pages = listed
	return b
}

// Bundle returns the configuration in use as pages, for transfer.
func (c *Cache) Bundle() Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bundle
}

// Page returns a page of the configuration in use.
func (c *Cache) Page(name conf.PageName) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	content, ok := c.bundle.Pages[name]
	return content, ok
}

// neverConfirmed is the age of a confirmation that has not been given yet.
const neverConfirmed = time.Duration(1 << 62)

// Confirm records that the given version was the platform's latest one at most so long ago. It has
// no effect unless that is the version in use.
func (c *Cache) Confirm(v ident.Version, ago time.Duration) {
	if v != c.Current().Version {
		return
	}
	at := c.now().Add(-max(ago, 0)).UnixNano()
	for {
		old := c.confirmedAt.Load()
		if at <= old || c.confirmedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// SinceConfirmed returns how long ago the configuration then in use was last confirmed to be
// the platform's latest.
func (c *Cache) SinceConfirmed() time.Duration {
	at := c.confirmedAt.Load()
	if at == 0 {
		return neverConfirmed
	}
	return c.now().Sub(time.Unix(0, at))
}
