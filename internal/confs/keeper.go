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

// Keeper holds the newest configuration known to an instance; it is safe for concurrent use.
type Keeper struct {
	journal *jrnl.Journal
	now     func() time.Time
	current atomic.Pointer[conf.Snapshot]
	checked atomic.Int64

	mu      sync.Mutex
	plain   *conf.Snapshot
	listing conf.Listing
	bundle  Bundle
	refused ident.Version
	changed []func(*conf.Snapshot)
}

// NewKeeper returns a keeper with an empty configuration in force.
func NewKeeper(j *jrnl.Journal, now func() time.Time) *Keeper {
	k := &Keeper{journal: j, now: now, bundle: Bundle{Pages: map[conf.PageName][]byte{}}}
	k.plain = conf.NewSnapshot(conf.New(), 0)
	k.current.Store(k.plain)
	return k
}

// Current returns the configuration in force.
func (k *Keeper) Current() *conf.Snapshot { return k.current.Load() }

// OnChange calls f after each change of the configuration in force.
func (k *Keeper) OnChange(f func(*conf.Snapshot)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.changed = append(k.changed, f)
}

// Offer puts a configuration in force if it is newer and whole; versions never go back.
func (k *Keeper) Offer(b Bundle, source string) bool {
	k.mu.Lock()
	if b.Version <= k.bundle.Version || b.Version == k.refused {
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
			k.refused = b.Version
		}
		k.mu.Unlock()
		k.refuse(b, err, source)
		return false
	}
	k.bundle = b.only()
	k.plain = conf.NewSnapshot(c, b.Version)
	snapshot := k.plain.WithServers(k.listing)
	k.current.Store(snapshot)
	changed := k.changed
	k.mu.Unlock()
	k.journal.Add(jrnl.Event{
		Kind: jrnl.ConfigInForce, Version: b.Version,
		Evidence: "learnt from " + source + "; written by " + b.Head.Author + ": " + b.Head.Reason,
	})
	for _, f := range changed {
		f(snapshot)
	}
	return true
}

// OfferServers puts a list of backend servers to use if it is newer.
func (k *Keeper) OfferServers(l conf.Listing, source string) bool {
	k.mu.Lock()
	// Entries that lapsed are given up without a new version.
	fewer := l.Version == k.listing.Version && l.Count() < k.listing.Count()
	if l.Version <= k.listing.Version && !fewer {
		k.mu.Unlock()
		return false
	}
	same := maps.EqualFunc(l.Servers, k.listing.Servers, slices.Equal)
	k.listing = l
	snapshot := k.plain.WithServers(l)
	k.current.Store(snapshot)
	changed := k.changed
	k.mu.Unlock()
	if same {
		return true
	}
	k.journal.Add(jrnl.Event{Kind: jrnl.ServersListed, Version: l.Version, Evidence: "learnt from " + source})
	for _, f := range changed {
		f(snapshot)
	}
	return true
}

// Listing returns the list of backend servers in use.
func (k *Keeper) Listing() conf.Listing {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listing
}

func (k *Keeper) refuse(b Bundle, err error, source string) {
	evidence := "it has mistakes"
	if err != nil {
		evidence = err.Error()
	}
	k.journal.Add(jrnl.Event{Kind: jrnl.ConfigRefused, Version: b.Version, Evidence: evidence + "; learnt from " + source})
}

// only returns the bundle without pages that its head does not name.
func (b Bundle) only() Bundle {
	kept := map[conf.PageName][]byte{}
	for _, name := range b.Head.Pages {
		kept[name] = b.Pages[name]
	}
	b.Pages = kept
	return b
}

// Bundle returns the configuration in force as it travels.
func (k *Keeper) Bundle() Bundle {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bundle
}

// Page returns a page of the configuration in force.
func (k *Keeper) Page(name conf.PageName) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	content, ok := k.bundle.Pages[name]
	return content, ok
}

// Confirm says that, so long ago, the given version was the platform's latest.
func (k *Keeper) Confirm(v ident.Version, ago time.Duration) {
	if v != k.Current().Version {
		return
	}
	at := k.now().Add(-ago).UnixNano()
	for {
		old := k.checked.Load()
		if at <= old || k.checked.CompareAndSwap(old, at) {
			return
		}
	}
}

// CheckedAgo returns how long ago the configuration in force was known to be the platform's latest.
func (k *Keeper) CheckedAgo() time.Duration {
	return k.now().Sub(time.Unix(0, k.checked.Load()))
}
