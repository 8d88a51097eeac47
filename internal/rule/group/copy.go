package group

import (
	"time"

	"geraniumseam.dev/pkg/ident"
)

const (
	// SharedRecordAge is the age up to which a copy of the record renews a lease that is valid: together with
	// recordRenewal it leaves time for an answer before RecordLifetime ends.
	SharedRecordAge = 1500 * time.Millisecond
	// FreshRecordAge is the age up to which a copy may begin a lease: half of the time that a member's poll
	// extends one is left for the polls.
	FreshRecordAge = PromotionTime / 4
	// clockTolerance is the part of an age by which clocks of two instances may disagree about it.
	clockTolerance = 100
	// longestAge is the age of any record that is older than all uses of one.
	longestAge = time.Hour
)

// RecordCopy is a group's record as an instance has read it, itself or through a peer. The zero value is no copy.
type RecordCopy struct {
	Record  Record
	Version ident.Version
	// Asked is on the instance's own clock, and not later than the record was read from the platform's store.
	Asked time.Time
}

// IsKnown reports whether the copy has been read.
func (c RecordCopy) IsKnown() bool { return !c.Asked.IsZero() }

// Merge returns the copy to keep of two. A later version was read after an earlier one, whenever its read was begun.
func (c RecordCopy) Merge(other RecordCopy) RecordCopy {
	if c.IsKnown() && other.Version.Before(c.Version) {
		return c
	}
	if other.Asked.Before(c.Asked) {
		other.Asked = c.Asked
	}
	return other
}

// MayAnswer reports whether the copy answers a question for a record that is at most maxAge old. No copy answers
// one without an age, since instances of earlier releases take the answer for one that was read on their question.
func (c RecordCopy) MayAnswer(now time.Time, maxAge time.Duration) bool {
	return maxAge > 0 && c.IsKnown() && now.Sub(c.Asked) <= maxAge
}

// AgeOn returns how long before a question arrived the read of the copy was begun; 0 if it was begun later.
func (c RecordCopy) AgeOn(arrival time.Time) time.Duration { return max(arrival.Sub(c.Asked), 0) }

// PeerReadTime returns a time that is not later than a peer's read of the record, from when the peer was asked and
// the age that it states. How long the answer was held up does not matter, since the question arrived after it was sent.
func PeerReadTime(sent time.Time, age time.Duration) time.Time {
	age = min(max(age, 0), longestAge)
	return sent.Add(-age - age/clockTolerance)
}
