package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/internal/rule/membr"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"

	"github.com/cespare/xxhash/v2"
)

// readList reads the platform's list of instances.
func (m *members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listReadInterval)
	defer cancel()
	list, err := m.instance.conf.Store.List(ctx, objs.Instances)
	if err != nil {
		return
	}
	found := make([]membr.Member, 0, len(list.Items))
	for _, o := range list.Items {
		var entry objs.ListedInstance
		if json.Unmarshal(o.Spec, &entry) != nil {
			continue
		}
		found = append(found, membr.Member{
			ID: ident.InstanceID(o.Metadata.Name), Center: entry.Center, Address: entry.Address, Leaving: entry.State == objs.Leaving, Weight: entry.Weight,
		})
	}
	m.applyList(list.Version(), found)
}

// listReadDelay returns the time until the list of instances is read from the platform again.
// Relays read it often, on behalf of their data centre. The others read it rarely, in case
// no relay reaches them, but often while the list lacks them or a peer that they hear.
func (m *members) listReadDelay() time.Duration {
	if _, listed := m.current.Load().all[m.instance.conf.Instance]; !listed {
		return unlistedReadInterval/2 + m.instance.random.duration(unlistedReadInterval)
	}
	m.mu.Lock()
	unlistedSeen := m.unlistedSeen
	m.mu.Unlock()
	if unlistedSeen {
		return unlistedReadInterval
	}
	if m.isRelay() {
		return listReadInterval/2 + m.instance.random.duration(listReadInterval)
	}
	return m.instance.fallbackPollDelay()
}

// applyList applies a list of instances unless it is older than the known one.
func (m *members) applyList(version ident.Version, found []membr.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version.Before(m.listVersion) {
		return
	}
	m.listVersion, m.unlistedSeen = version, false
	m.checkOwnEntry(version, found)
	hash := hashMembers(found)
	if hash == m.listHash {
		return
	}
	m.listHash = hash
	m.dirty.Store(true)
	m.view.SetList(clock.Now(), found)
	m.targets = m.view.Targets()
}

// checkOwnEntry makes this instance register again if a list that is newer than its last
// registration lacks it or shows another address, as after a restore of the platform.
func (m *members) checkOwnEntry(version ident.Version, found []membr.Member) {
	conf := &m.instance.conf
	if m.registered.IsZero() || version.Before(m.registered) {
		return
	}
	for _, listed := range found {
		if listed.ID == conf.Instance && listed.Address == conf.AdvertiseAddress && !listed.Leaving {
			return
		}
	}
	select {
	case m.instance.unlisted <- struct{}{}:
	default:
	}
}

// hashMembers hashes the content of a list, regardless of its version.
func hashMembers(list []membr.Member) uint64 {
	d := xxhash.New()
	for _, m := range list {
		_, _ = fmt.Fprintf(d, "%s|%s|%s|%t|%d\n", m.ID, m.Center, m.Address, m.Leaving, m.Weight)
	}
	return d.Sum64()
}

// list returns the version and the content hash of the known list.
func (m *members) list() (ident.Version, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listVersion, m.listHash
}

// listBehind reports whether a peer's list is newer than the known one and differs in
// content. If only the version is newer, it is adopted.
func (m *members) listBehind(version ident.Version, hash uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listVersion.Before(version) {
		return false
	}
	if hash == m.listHash {
		m.listVersion = version
		return false
	}
	return true
}

// stateMessage returns the known list of instances.
func (m *members) stateMessage() peer.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return peer.MembersResponse{Version: m.listVersion, Members: m.view.All()}
}
