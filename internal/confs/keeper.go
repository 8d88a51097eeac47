package confs

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	// confirmedAt is when the current version was last confirmed, in Unix nanoseconds.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// base is the current configuration without the listed servers.
	base    *conf.Snapshot
	listing conf.Listing
	bundle  Bundle
	// rejected is the last version that was rejected because of mistakes.
	rejected ident.Version
	// callbacks are the callbacks registered with OnChange.
	callbacks []func(*conf.Snapshot)
}

// NewCache returns a Keeper with an empty configuration of version 0.
func NewCache(j *jrnl.Journal, now func() time.Time) *Cache {
	k := &Cache{journal: j, now: now, bundle: Bundle{Pages: map[conf.PageName][]byte{}}}
	k.base = conf.NewSnapshot(conf.New(), 0)
	k.current.Store(k.base)
	return k
}

// Current returns the configuration in use.
func (k *Cache) Current() *conf.Snapshot { return k.current.Load() }

// OnChange registers f to be called after each change of the configuration in use.
func (k *Cache) OnChange(f func(*conf.Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.callbacks = append(k.callbacks, f)
}

// Offer puts a configuration to use if it is newer than the current one, complete and
// valid, and reports whether it did. The version in use never decreases.
func (k *Cache) Offer(b Bundle, source string) bool {
	k.mu.Lock()
	if b.Version <= k.bundle.Version || b.Version == k.rejected {
		k.mu.Unlock()
		return false
	}
	c, err := b.Config()
	mistakes := 0
	if err == nil {
		mistakes = len(conf.Check(&c))
	}
	if err != nil || mistakes > 0 {
		if err == nil {
			k.rejected = b.Version
		}
		k.mu.Unlock()
		k.logRejection(b, err, source)
		return false
	}
	k.bundle = b.withListedPages()
	k.base = conf.NewSnapshot(c, b.Version)
	snapshot := k.base.WithServers(k.listing)
	k.current.Store(snapshot)
	callbacks := k.callbacks
	k.mu.Unlock()
	k.journal.Add(jrnl.Event{
		Kind: jrnl.ConfigInForce, Version: b.Version,
		Evidence: "learnt from " + source + "; written by " + b.Head.Author + ": " + b.Head.Reason,
	})
	for _, f := range callbacks {
		f(snapshot)
	}
	return true
}

// OfferServers puts a list of backend servers to use if it is newer, or of the same version
// with fewer entries. It reports whether it did.
func (k *Cache) OfferServers(l conf.Listing, source string) bool {
	k.mu.Lock()
	// Expired entries are removed from a list without a new version.
	fewer := l.Version == k.listing.Version && l.Count() < k.listing.Count()
	if l.Version <= k.listing.Version && !fewer {
		k.mu.Unlock()
		return false
	}
	same := maps.EqualFunc(l.Servers, k.listing.Servers, slices.Equal)
	k.listing = l
	snapshot := k.base.WithServers(l)
	k.current.Store(snapshot)
	callbacks := k.callbacks
	k.mu.Unlock()
	if same {
		return true
	}
	k.journal.Add(jrnl.Event{Kind: jrnl.ServersListed, Version: l.Version, Evidence: "learnt from " + source})
	for _, f := range callbacks {
		f(snapshot)
	}
	return true
}

// Listing returns the server list in use.
func (k *Cache) Listing() conf.Listing {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listing
}

// logRejection logs why a configuration was rejected.
func (k *Cache) logRejection(b Bundle, err error, source string) {
	evidence := "the configuration is invalid"
	if err != nil {
		evidence = err.Error()
	}
	k.journal.Add(jrnl.Event{Kind: jrnl.ConfigRefused, Version: b.Version, Evidence: evidence + "; learnt from " + source})
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
func (k *Cache) Bundle() Bundle {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bundle
}

// Page returns a page of the configuration in use.
func (k *Cache) Page(name conf.PageName) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	content, ok := k.bundle.Pages[name]
	return content, ok
}

// Confirm records that the given version was the platform's latest one so long ago. It has
// no effect unless that is the version in use.
func (k *Cache) Confirm(v ident.Version, ago time.Duration) {
	if v != k.Current().Version {
		return
	}
	at := k.now().Add(-ago).UnixNano()
	for {
		old := k.confirmedAt.Load()
		if at <= old || k.confirmedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// SinceConfirmed returns how long ago the configuration then in use was last confirmed to be
// the platform's latest.
func (k *Cache) SinceConfirmed() time.Duration {
	return k.now().Sub(time.Unix(0, k.confirmedAt.Load()))
}
