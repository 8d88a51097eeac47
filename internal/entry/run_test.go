package entry

import (
	"testing"
	"time"

	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/pkg/ident"
)

// TestDecisionEvidence: a refusal's line names the owner that decided, or that it said nothing.
func TestDecisionEvidence(t *testing.T) {
	now := func() time.Time { return time.Unix(1_796_000_000, 0) }
	i := &Instance{configCache: confs.NewCache(jrnl.New(jrnl.Config{Instance: "i", Capacity: 1, Now: now}), now)}
	for _, test := range []struct {
		owner          ident.InstanceID
		evidence, want string
	}{
		{"o-1", "no primary is known", "decided by owner o-1: no primary is known"},
		{"o-1", "", "owner o-1 told no more; " + i.configEvidence()},
		{"", "no primary is known", "no primary is known"},
		{"", "", ""},
	} {
		if got := i.decisionEvidence(owner.Result{Evidence: test.evidence}, test.owner); got != test.want {
			t.Errorf("owner %q, evidence %q: got %q, want %q", test.owner, test.evidence, got, test.want)
		}
	}
}
