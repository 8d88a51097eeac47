package group

import (
	"testing"
	"time"
)

// TestUnproven guards against work that leaves an owner whose lease a claim has ended, or that has just started,
// and against work that waits at an owner that can't read the record.
func TestUnproven(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name             string
		valid, read      bool
		started, lastAge time.Duration
		want             bool
	}{
		{"valid lease, old record", true, true, time.Minute, RecordLifetime, false},
		{"ended lease, recent record", false, true, time.Minute, RecordLifetime - 1, false},
		{"ended lease, old record", false, true, time.Minute, RecordLifetime, true},
		{"just started", false, false, firstRecordTime - 1, 0, false},
		{"started, record never read", false, false, firstRecordTime, 0, true},
	} {
		s := LeaseState{}
		if c.valid {
			s.Term, s.Until = 1, now.Add(1)
		}
		if c.read {
			s.RecordAsked = now.Add(-c.lastAge)
		}
		if got := s.Unproven(now, now.Add(-c.started)); got != c.want {
			t.Errorf("%s: unproven %t, want %t", c.name, got, c.want)
		}
	}
}
