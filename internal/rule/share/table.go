package share

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumseam.dev/pkg/ident"
)

// Shards is the number of shards that a data centre's customers fall into. Each shard has one
// holder, so this bounds the table and the links to holders whatever the number of instances.
const Shards = 8

// Shard is a group of customers whose rates one instance of a data centre holds.
type Shard uint8

// ShardOf returns a customer's shard.
func ShardOf(c ident.CustomerID) Shard { return Shard(xxhash.Sum64String(string(c)) % Shards) }

// Part is a fraction of the rates of a shard's customers, in millionths.
type Part int64

// Whole is the entire rate.
const Whole Part = 1_000_000

// Entry records what one instance holds of a shard.
type Entry struct {
	Part Part `json:"part"`
	// Reserve is the part that may still be spent after the lease until the grace period ends.
	Reserve Part `json:"reserve"`
	// Renewal rises with each renewal; readers time the lease from when they first see a
	// new number, so clocks need not agree.
	Renewal uint64 `json:"renewal"`
	// Granted is the part that no other instance can have held since this renewal was entered.
	Granted Part `json:"granted,omitempty"`
	// Proven is the part that no other instance can have held since this renewal was requested.
	Proven Part `json:"proven,omitempty"`
}

// Entries are the entries of a shard by instance: those that hold some of it or still may.
type Entries map[ident.InstanceID]Entry

// Table is the object stored in the platform: the holders of the shards of each data centre.
type Table struct {
	// Epoch is the epoch of the store in which the table was written, nil if it is not known.
	Epoch   *ident.Epoch                         `json:"epoch,omitempty"`
	Centers map[ident.CenterID]map[Shard]Entries `json:"data-centers"`
}

// LeaseParams are the conditions under which parts are held.
type LeaseParams struct {
	// Lease is how long after its request a holder may spend its whole part.
	Lease time.Duration
	// Grace is how long after its request a holder may spend the reserved fraction of its part.
	Grace time.Duration
	// Reserve is the fraction of a part that may be spent during the grace period, in millionths.
	Reserve Part
	// Drift is how much longer than the holder a reader waits for an expiry, in millionths,
	// because clocks may run at different speeds.
	Drift Part
}

// usable returns how much of a part its holder may spend when since has passed after its request.
func (p LeaseParams) usable(part Part, since time.Duration) Part {
	switch {
	case since < p.Lease:
		return part
	case since < p.Grace:
		return p.reserved(part)
	default:
		return 0
	}
}

// reserved returns how much of a part outlasts the lease.
func (p LeaseParams) reserved(part Part) Part { return part * p.Reserve / Whole }

// maxHeld returns the most that an entry's holder may still spend when since has passed
// after a reader saw its last renewal.
func (p LeaseParams) maxHeld(e Entry, since time.Duration) Part {
	elapsed := since - since*time.Duration(p.Drift)/time.Duration(Whole)
	switch {
	case elapsed < p.Lease:
		return max(e.Part, e.Reserve)
	case elapsed < p.Grace:
		return e.Reserve
	default:
		return 0
	}
}

// entryKey identifies an entry of the table.
type entryKey struct {
	center   ident.CenterID
	shard    Shard
	instance ident.InstanceID
}

// lastSeen is the latest renewal of an entry and when it was first seen.
type lastSeen struct {
	renewal uint64
	at      time.Time
}

// Allocator computes the next table from the requests of instances. Several may run at the
// same time, on any instances, because the platform accepts only conditional updates. It is
// not safe for concurrent use.
type Allocator struct {
	lastSeen map[entryKey]lastSeen
	epoch    ident.Epoch
	// epochSince is a time by which the epoch had begun.
	epochSince time.Time
	// restored is set if an earlier epoch of the store is known.
	restored bool
}

// NewAllocator returns an allocator that has seen no table yet.
func NewAllocator() *Allocator { return &Allocator{lastSeen: map[entryKey]lastSeen{}} }

// SetEpoch sets the epoch of the store that the next table is computed for, a time by which it had
// begun, and whether the store is known to have been restored.
func (a *Allocator) SetEpoch(epoch ident.Epoch, since time.Time, restored bool) {
	a.epoch, a.epochSince, a.restored = epoch, since, restored
}

// Renew returns the table that follows the stored one, and the grants that hold once the
// new table is stored. It never grants what another instance may still hold, even if the
// requester was granted more before.
func (a *Allocator) Renew(now time.Time, stored Table, params LeaseParams, requests []Request) (Table, []Grant) {
	if a.isCopy(stored, requests) {
		stored = Table{Centers: map[ident.CenterID]map[Shard]Entries{unlistedCenters: a.lostEntries(params)}}
	}
	for center := range centersOf(stored, requests) {
		if _, listed := stored.Centers[center]; !listed && len(stored.Centers[unlistedCenters]) > 0 {
			stored = stored.with(center, a.lostEntries(params))
		}
	}
	a.observe(now, stored)
	epoch := a.epoch
	next := Table{Epoch: &epoch, Centers: map[ident.CenterID]map[Shard]Entries{}}
	var grants []Grant
	for center := range centersOf(stored, requests) {
		next.Centers[center] = map[Shard]Entries{}
		for shard := range Shard(Shards) {
			entries, granted := a.renewShard(now, center, shard, stored.Centers[center][shard], params, requests)
			grants = append(grants, granted...)
			if len(entries) > 0 {
				next.Centers[center][shard] = entries
			}
		}
	}
	return next, grants
}

// centersOf returns the data centres in the table and in the requests.
func centersOf(stored Table, requests []Request) map[ident.CenterID]bool {
	centers := map[ident.CenterID]bool{}
	for center := range stored.Centers {
		centers[center] = true
	}
	for _, r := range requests {
		centers[r.Center] = true
	}
	return centers
}

// renewShard is Renew for one shard. Entries whose holder can spend nothing any more are dropped.
func (a *Allocator) renewShard(now time.Time, center ident.CenterID, shard Shard, stored Entries, params LeaseParams, requests []Request) (Entries, []Grant) {
	next := Entries{}
	bounds := map[ident.InstanceID]Part{}
	total := Part(0)
	for id, entry := range stored {
		since := now.Sub(a.lastSeen[entryKey{center, shard, id}].at)
		if id == lostHolder {
			// Lost leases were requested before the epoch began.
			since = now.Sub(a.epochSince)
		}
		maxHeld := params.maxHeld(entry, since)
		_, counting := stored[lostHolder]
		if maxHeld == 0 && (id == lostHolder || since >= params.Lease && !counting) {
			continue
		}
		// What others are granted by this table, its holder can't claim to have kept.
		entry.Granted, entry.Proven = min(entry.Granted, maxHeld), min(entry.Proven, maxHeld)
		next[id], bounds[id] = entry, maxHeld
		total += maxHeld
	}
	var grants []Grant
	for _, r := range requests {
		old, known := next[r.Instance]
		if r.Center != center || r.Shard != shard {
			continue
		}
		if known && r.Renewal <= old.Renewal {
			grants = append(grants, Grant{Instance: r.Instance, Shard: shard, Listed: old.Renewal})
			continue
		}
		lost, counting := next[lostHolder]
		if counting && r.Epoch != a.epoch && !r.Release {
			// Its holder goes on with the lease that it has, and asks again in this epoch.
			continue
		}
		if counting && !known {
			lost.Part = max(0, lost.Part-r.Usable)
			lost.Reserve = params.lostReserve(lost.Part)
			next[lostHolder] = lost
			total -= bounds[lostHolder]
			bounds[lostHolder] = min(bounds[lostHolder], lost.Part)
			total += bounds[lostHolder]
		}
		others := total - bounds[r.Instance]
		entry, part := params.entryFor(r, Whole-others)
		proven := provenFor(r, old)
		entry.Granted, entry.Proven = part, min(part, proven)
		// The entry of a release stays for one lease, so that earlier requests that arrive late are ignored.
		next[r.Instance] = entry
		a.lastSeen[entryKey{center, shard, r.Instance}] = lastSeen{renewal: r.Renewal, at: now}
		grants = append(grants, Grant{Instance: r.Instance, Shard: shard, Renewal: r.Renewal, Part: part, Proven: proven, Blocking: blocking(r, part, bounds)})
		bounds[r.Instance] = params.maxHeld(entry, 0)
		total = others + bounds[r.Instance]
	}
	return next, grants
}

// Grant answers a request.
type Grant struct {
	Instance ident.InstanceID `cbor:"3,keyasint"`
	Shard    Shard            `cbor:"4,keyasint"`
	Renewal  uint64           `cbor:"1,keyasint"`
	Part     Part             `cbor:"2,keyasint"`
	// Listed is set instead of Renewal and Part if the request was ignored: the table lists this renewal
	// of the instance, which is not an earlier one.
	Listed uint64 `cbor:"5,keyasint,omitempty"`
	// Proven is the part that no other instance can have held since the instance, perhaps in an
	// earlier run, made the request; for the first grant of a run, since before it started.
	Proven Part `cbor:"6,keyasint,omitempty"`
	// Blocking is the other instance of the data centre that may hold the most of what was not granted;
	// empty if none is known.
	Blocking ident.InstanceID `cbor:"7,keyasint,omitempty"`
}

// blocking returns the other instance that may hold the most of a shard of which a request is granted less than it
// wants; bounds are what each may hold.
func blocking(r Request, part Part, bounds map[ident.InstanceID]Part) ident.InstanceID {
	var most ident.InstanceID
	if r.Release || part >= r.Want {
		return most
	}
	for id, held := range bounds {
		if id == r.Instance || id == lostHolder || held == 0 {
			continue
		}
		if most == "" || held > bounds[most] || held == bounds[most] && id < most {
			most = id
		}
	}
	return most
}

// provenFor returns the part that no other instance can have held since a request was made, where old is
// the entry that it replaces. A grant that the instance had received shows when that was entered: an entry by
// itself may stem from a request that arrived late, after another instance had held the part.
func provenFor(r Request, old Entry) Part {
	if r.Basis != 0 && r.Basis == old.Renewal {
		return max(old.Proven, min(old.Granted, r.Usable))
	}
	return old.Proven
}

// entryFor returns the entry for a request and the part that it is granted. The holder may
// miss the grant, so the entry is never smaller than the part that it already holds.
func (p LeaseParams) entryFor(r Request, free Part) (Entry, Part) {
	if r.Release {
		return Entry{Renewal: r.Renewal}, 0
	}
	part := min(r.Want, max(0, free))
	held := max(part, r.Held)
	return Entry{Part: held, Reserve: p.reserved(held), Renewal: r.Renewal}, part
}

// observe notes which entries were renewed since the last call and forgets deleted ones.
func (a *Allocator) observe(now time.Time, stored Table) {
	listed := map[entryKey]bool{}
	for center, shards := range stored.Centers {
		for shard, entries := range shards {
			for id, entry := range entries {
				at := entryKey{center, shard, id}
				listed[at] = true
				if last, known := a.lastSeen[at]; !known || last.renewal != entry.Renewal {
					a.lastSeen[at] = lastSeen{renewal: entry.Renewal, at: now}
				}
			}
		}
	}
	for at := range a.lastSeen {
		if !listed[at] {
			delete(a.lastSeen, at)
		}
	}
}
