package share

import (
	"maps"

	"geraniumseam.dev/pkg/ident"
)

// A restored store shows an older table, without leases that were granted since. All that any
// instance may still hold of a shard is then counted for lostHolder, until its leases would
// have expired. Each instance that states for the first time in the new epoch what it may
// spend takes that out of the count, because what all of them may spend is at most the whole.
const lostHolder = ident.InstanceID("")

// unlistedCenters is the entry for the data centres that the table does not list yet; it lasts
// as long as they may have lost leases.
const unlistedCenters = ident.CenterID("")

// isCopy reports whether a table is not of the current epoch of the store. A table whose epoch is
// not known is taken for the current one if nothing indicates a restore.
func (a *Allocator) isCopy(stored Table, requests []Request) bool {
	if stored.Epoch != nil {
		return *stored.Epoch != a.epoch
	}
	if a.restored {
		return true
	}
	if len(stored.Centers) > 0 {
		return false
	}
	for _, r := range requests {
		if r.Held > 0 {
			return true
		}
	}
	return false
}

// lostEntries returns the entries of a data centre whose leases are not known.
func (a *Allocator) lostEntries(params LeaseParams) map[Shard]Entries {
	shards := map[Shard]Entries{}
	for shard := range Shard(Shards) {
		shards[shard] = Entries{lostHolder: Entry{Part: Whole, Reserve: params.lostReserve(Whole), Renewal: uint64(a.epoch)}}
	}
	return shards
}

// lostReserve returns how much of a lost part may still be spent once the leases of before the restore have ended.
// Who was in the grace period at the restore holds its reserve until that ends. If that is no later than the
// leases, only the reserves of those remain, and their parts were at most the whole.
func (p LeaseParams) lostReserve(part Part) Part {
	if p.Grace <= 2*p.Lease {
		return p.reserved(part)
	}
	return part
}

// with returns a copy of the table with the entries of one more data centre.
func (t Table) with(center ident.CenterID, shards map[Shard]Entries) Table {
	t.Centers = maps.Clone(t.Centers)
	t.Centers[center] = shards
	return t
}
