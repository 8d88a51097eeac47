package owner

import (
	"testing"

	"geraniumseam.dev/internal/fault"
	"geraniumseam.dev/pkg/stmt"
)

// TestOnlyImmediateRefusalSaysWhenPrimaryIsExpected guards against other instances that repeat a refusal which the
// owner gives only after a wait, while a lost poll or a change of primary may still end it.
func TestOnlyImmediateRefusalSaysWhenPrimaryIsExpected(t *testing.T) {
	t.Parallel()
	d := newProofDriver()
	g := startProven(t, d, &claimStore{})
	d.change(func() { d.hidden["a"], d.hidden["b"], d.hidden["c"] = true, true, true })
	eventually(t, "no primary is usable", func() bool { return !g.hasUsablePrimary(g.tracker.current.Load()) })
	for _, immediate := range []bool{false, true} {
		r, _ := runProven(t, g, Work{Kind: stmt.Write}, false, func() {})
		if r.Reason != fault.NoPrimary || (r.PrimaryExpected > 0) != immediate {
			t.Errorf("%s, primary expected in %v; want that told: %t", r.Reason, r.PrimaryExpected, immediate)
		}
	}
}
