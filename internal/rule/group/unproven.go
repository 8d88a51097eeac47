package group

import "time"

// firstRecordTime is how long work waits for an owner that has never read the record.
const firstRecordTime = 300 * time.Millisecond

// Unproven reports whether the term is not proved because the record was not read, by an owner that has needed
// it since the given time: one that reads the record may be able to prove it. While the record is recent, a lease
// ends for another cause, such as a claim on the term.
func (s LeaseState) Unproven(now, needed time.Time) bool {
	switch {
	case s.Valid(now):
		return false
	case s.RecordAsked.IsZero():
		return now.Sub(needed) >= firstRecordTime
	}
	return s.NeedsAll(now)
}
