package fault

import "testing"

// TestUnprovenOutcomeIsUnknown: "not run" without a proof, as an owner of an earlier release sends
// it, and values that this release does not know count as unknown.
func TestUnprovenOutcomeIsUnknown(t *testing.T) {
	for _, o := range []Outcome{unproven, Unknown, NoEffect + 1} {
		f := Fault{Reason: AnswerLost, Outcome: o}
		if o.NotRun() || !o.Unknown() || o.Label() != UnknownLabel || f.SQLState() != UnknownSQLState {
			t.Errorf("outcome %d: label %s, SQLSTATE %s", o, o.Label(), f.SQLState())
		}
	}
	for _, o := range []Outcome{NotSent, ServerRefused, RolledBack, NoEffect} {
		if !o.NotRun() || o.Unknown() {
			t.Errorf("outcome %s does not count as not run", o)
		}
	}
}
