package entry

import (
	"strconv"

	"geraniumseam.dev/internal/quota"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/internal/rule/share"
	"geraniumseam.dev/pkg/ident"
)

// shardHolders lists the instances that hold a shard of the rates.
type shardHolders struct {
	// local are the instances of this data centre, in order of preference.
	local []ident.InstanceID
	// remote are the holders in the other data centres, one each.
	remote []quota.RemoteHolder
}

// holdersPerShard is the number of instances of a data centre that are listed for a shard:
// its holder and the successors that take over from it.
const holdersPerShard = 3

func (m *members) holders(s share.Shard) []ident.InstanceID { return m.shard(s).local }

func (m *members) remoteHolders(s share.Shard) []quota.RemoteHolder { return m.shard(s).remote }

func (m *members) shard(s share.Shard) *shardHolders {
	view := m.current.Load()
	if known := view.holders[s].Load(); known != nil {
		return known
	}
	subject := "rates-" + strconv.Itoa(int(s))
	found := &shardHolders{local: topRanked(subject, view.eligible[m.instance.conf.Center], holdersPerShard)}
	for center, local := range view.eligible {
		first, ok := membr.First(subject, local)
		if !ok || center == m.instance.conf.Center {
			continue
		}
		found.remote = append(found.remote, quota.RemoteHolder{Instance: first.ID, Center: center, Nearby: m.sameRegion(center)})
	}
	view.holders[s].Store(found)
	return found
}
