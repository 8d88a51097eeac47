package group

import "time"

// firstRecordTime is how long an owner may take to read the record for the first time.
const firstRecordTime = 300 * time.Millisecond

// Unproven reports whether the term is not proved because the record was not read, by an owner that started at
// the given time: one that reads the record may be able to prove it. While the record is recent, a lease
// ends for another cause, such as a claim on the term.
func (s LeaseState) Unproven(now, started time.Time) bool {
	switch {
	case s.Valid(now):
		return false
	case s.RecordAsked.IsZero():
		return now.Sub(started) >= firstRecordTime
	}
	return s.NeedsAll(now)
}
