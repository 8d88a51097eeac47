package admit

import (
	"slices"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// UnprovenRetryDelay is the retry delay of work that no owner of its group could prove the term for. It is short
// because a single read of the group's record ends that.
const UnprovenRetryDelay = 100 * time.Millisecond

// provenPreference is how long an owner that could prove the term is preferred. A longer one would keep work from a
// nearer owner that has read the record again.
const provenPreference = time.Second

// ProvenOwner is the owner that last ran work for which another owner of the group could not prove the term.
type ProvenOwner struct {
	Owner ident.InstanceID
	Since time.Time
}

// Order puts the owner first among those of its group while it is preferred, and reports whether it did.
func (p ProvenOwner) Order(now time.Time, owners []ident.InstanceID) ([]ident.InstanceID, bool) {
	at := slices.Index(owners, p.Owner)
	if at < 0 || now.Sub(p.Since) >= provenPreference {
		return owners, false
	}
	return append([]ident.InstanceID{p.Owner}, slices.Delete(slices.Clone(owners), at, at+1)...), true
}

// moveRetryInterval is how long no work of a group is moved once none of its reachable owners could prove the term.
// Asking all of them for each request would multiply the load of a group with six owners by six.
const moveRetryInterval = UnprovenRetryDelay

// MayMove reports whether work may be moved to other owners of its group, of which none could prove the term when
// all were last asked.
func MayMove(now, noneProven time.Time) bool { return now.Sub(noneProven) >= moveRetryInterval }

// NextOwner returns the nearest owner that work which no server has been sent is moved to: each is asked once.
// The owners are in order of distance.
func NextOwner(owners, asked []ident.InstanceID) (ident.InstanceID, bool) {
	for _, id := range owners {
		if !slices.Contains(asked, id) {
			return id, true
		}
	}
	return "", false
}
