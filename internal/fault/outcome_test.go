package fault

import (
	"strings"
	"testing"
	"time"
)

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

// TestUnknownOutcomeNamesNoTimeToRetry: a time after which to retry invites the caller to send the
// request again, which only one that has not run allows.
func TestUnknownOutcomeNamesNoTimeToRetry(t *testing.T) {
	for o := Done; o <= NoEffect+1; o++ {
		f := Fault{Reason: NoPrimary, Outcome: o, RetryAfter: time.Second}
		if told := strings.Contains(f.detail(), "retry-after"); told != o.NotRun() {
			t.Errorf("outcome %s: %q", o, f.detail())
		}
	}
}
