package admit

import (
	"slices"
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// TestProvenOwnerIsPreferredForOneSecond guards against work that stays with a distant owner after the nearest one
// may have read the record again, and against an owner that the group has lost.
func TestProvenOwnerIsPreferredForOneSecond(t *testing.T) {
	owners := []ident.InstanceID{"a", "b", "c"}
	since := time.Unix(0, 0)
	for _, c := range []struct {
		proven ident.InstanceID
		after  time.Duration
		want   []ident.InstanceID
	}{
		{"c", time.Second - 1, []ident.InstanceID{"c", "a", "b"}},
		{"c", time.Second, owners},
		{"gone", 0, owners},
		{"", 0, owners},
	} {
		got, preferred := ProvenOwner{Owner: c.proven, Since: since}.Order(since.Add(c.after), owners)
		if !slices.Equal(got, c.want) || preferred != (got[0] != "a") {
			t.Errorf("%q after %v: %v, want %v", c.proven, c.after, got, c.want)
		}
	}
}

// TestEachOwnerIsAskedOnce guards against more attempts than there are owners.
func TestEachOwnerIsAskedOnce(t *testing.T) {
	owners, asked := []ident.InstanceID{"a", "b", "c"}, []ident.InstanceID{"b"}
	for {
		id, more := NextOwner(owners, asked)
		if !more {
			break
		}
		asked = append(asked, id)
	}
	if want := []ident.InstanceID{"b", "a", "c"}; !slices.Equal(asked, want) {
		t.Errorf("asked %v, want %v", asked, want)
	}
}
