package share

import (
	"maps"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// Part is a fraction of all rates, in millionths.
type Part int64

// Whole is all of every rate.
const Whole Part = 1_000_000

// Entry is one instance's part of its data centre's rates.
type Entry struct {
	Part Part `json:"part"`
	// Renewal rises with each renewal, so that readers need no common clock.
	Renewal uint64 `json:"renewal"`
}

// Table is what the platform keeps for one data centre.
type Table struct {
	Entries map[ident.InstanceID]Entry `json:"entries"`
}

// Terms are the conditions under which parts are held.
type Terms struct {
	// Lease is how long a holder may spend its whole part after it asked for renewal.
	Lease time.Duration
	// Grace is how long it may spend the reserved fraction of it.
	Grace time.Duration
	// Reserve is the fraction of a part that is kept for the grace, in millionths.
	Reserve Part
	// Drift is by how much longer a reader waits than a holder, against clocks of different pace, in millionths.
	Drift Part
}

// usable returns what a holder may spend so long after it asked for renewal.
func (t Terms) usable(part Part, since time.Duration) Part {
	switch {
	case since < t.Lease:
		return part
	case since < t.Grace:
		return part * t.Reserve / Whole
	default:
		return 0
	}
}

// bound returns what a reader must still count as held so long after it saw the last renewal.
func (t Terms) bound(part Part, since time.Duration) Part {
	slowed := since - since*time.Duration(t.Drift)/time.Duration(Whole)
	return t.usable(part, slowed)
}

type seen struct {
	renewal uint64
	part    Part
	at      time.Time
}

// Keeper decides what one instance writes into its data centre's table and what
// it may spend; it is not safe for concurrent use.
type Keeper struct {
	self   ident.InstanceID
	terms  Terms
	center Part

	held     Part
	asked    time.Time
	renewal  uint64
	pending  Part
	pendedAt time.Time
	seen     map[ident.InstanceID]seen
}

// NewKeeper returns a keeper that holds nothing; center is the data centre's part of all rates.
func NewKeeper(self ident.InstanceID, center Part, terms Terms) *Keeper {
	return &Keeper{self: self, terms: terms, center: center, seen: map[ident.InstanceID]seen{}}
}

// SetTerms changes the data centre's part and the conditions; a smaller part binds at once.
func (k *Keeper) SetTerms(center Part, terms Terms) {
	k.center, k.terms = center, terms
	k.held = min(k.held, center)
}

// Usable returns the part of all rates that this instance may spend now.
func (k *Keeper) Usable(now time.Time) Part {
	return k.terms.usable(k.held, now.Sub(k.asked))
}

// Renew reads the kept table and returns the one to write, if this instance is
// to hold an equal part among the live members; the caller writes it
// conditionally and reports the end with Stored. A part that shrinks binds from now on.
func (k *Keeper) Renew(now time.Time, kept Table, members int) Table {
	others := k.observe(now, kept)
	wanted := k.center / Part(max(members, 1))
	granted := max(0, min(wanted, k.center-others))
	k.held = min(k.held, granted)
	if own, ok := kept.Entries[k.self]; ok {
		k.renewal = max(k.renewal, own.Renewal)
	}
	k.renewal++
	k.pending, k.pendedAt = granted, now
	next := Table{Entries: map[ident.InstanceID]Entry{}}
	for id, entry := range kept.Entries {
		if k.terms.bound(entry.Part, now.Sub(k.seen[id].at)) > 0 || now.Sub(k.seen[id].at) < k.terms.Lease {
			next.Entries[id] = entry
		}
	}
	next.Entries[k.self] = Entry{Part: granted, Renewal: k.renewal}
	return next
}

// observe notes which entries were renewed and returns what the others may still hold.
func (k *Keeper) observe(now time.Time, kept Table) Part {
	others := Part(0)
	for id, entry := range kept.Entries {
		if id == k.self {
			continue
		}
		last, known := k.seen[id]
		if !known || last.renewal != entry.Renewal {
			last = seen{renewal: entry.Renewal, part: entry.Part, at: now}
			k.seen[id] = last
		}
		others += k.terms.bound(entry.Part, now.Sub(last.at))
	}
	maps.DeleteFunc(k.seen, func(id ident.InstanceID, _ seen) bool {
		_, listed := kept.Entries[id]
		return !listed
	})
	return others
}

// Stored says that the table of the last Renew is the one kept; the lease counts from before it was asked for.
func (k *Keeper) Stored() {
	k.held, k.asked = k.pending, k.pendedAt
}

// Release returns the table to write when this instance leaves: it spends nothing from now on.
func (k *Keeper) Release(kept Table) Table {
	k.held, k.pending = 0, 0
	next := Table{Entries: maps.Clone(kept.Entries)}
	delete(next.Entries, k.self)
	return next
}
