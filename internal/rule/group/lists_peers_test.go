package group

import (
	"testing"
	"time"

	"geraniumseam.dev/pkg/ident"
)

// askForRecord lets an instance learn the record from another one, as old as its copy is, or as it reads it for the
// question. Each of the steps may be held up for seconds.
func (m *listsModel) askForRecord(i *listsInstance) {
	other := m.instances[(i.at+1+m.random.IntN(len(m.instances)-1))%len(m.instances)]
	maxAge := []time.Duration{0, FreshRecordAge, SharedRecordAge, SharedRecordAge}[m.random.IntN(4)]
	sent := m.now
	m.schedule(m.holdUp(), func() {
		if !m.reaches(i.name(), other.name()) {
			return
		}
		m.whenRunning(other, func() {
			arrival := m.now
			answer := func(c RecordCopy) { m.answerRecord(other, i, c, sent, arrival) }
			if other.copy.MayAnswer(arrival, maxAge) {
				answer(other.copy)
				return
			}
			m.readRecordFor(other, answer)
		})
	})
}

// answerRecord lets an instance answer a question for the record. Its clock runs half a percent slower than others.
func (m *listsModel) answerRecord(from, to *listsInstance, c RecordCopy, sent, arrival time.Time) {
	age := c.AgeOn(arrival)
	age -= age / 200
	if m.ageNotCounted {
		age = 0
	}
	m.schedule(m.holdUp(), func() {
		m.whenRunning(from, func() {
			m.schedule(m.holdUp(), func() {
				if m.reaches(from.name(), to.name()) {
					m.whenRunning(to, func() { m.takeRecord(to, c.Record, c.Version, PeerReadTime(sent, age)) })
				}
			})
		})
	})
}

// holdUp returns how long a message is on its way, or an instance is held up.
func (m *listsModel) holdUp() time.Duration {
	if m.oneIn(4) {
		return m.randomMillis(0, 4000)
	}
	return m.randomMillis(1, 30)
}

// TestWriteUnderRecordOfPeersIsNotLost plays planG.
func TestWriteUnderRecordOfPeersIsNotLost(t *testing.T) { checkLists(t, planG) }

// planG cuts two instances off from the store and from the third, which removes a member that the two go on with:
// the record that they learn from each other expires.
var planG = listsPlan{peers: true, begin: func(m *listsModel) {
	removing, rest := m.instances[0], m.instances[1:]
	m.schedule(m.randomMillis(1500, 2500), func() {
		m.setLink("c", "store", true)
		m.setLink(removing.name(), "c", true)
		for _, i := range rest {
			m.setLink(i.name(), "store", true)
			m.setLink(i.name(), removing.name(), true)
		}
	})
	m.schedule(m.randomMillis(8000, 14000), func() { m.setLink(removing.name(), "a", true) })
}}

// TestWritesSurviveRecordsOfPeers plays the plans of removed members, differing lists, seals that end, and restores with
// instances that learn the record from each other.
func TestWritesSurviveRecordsOfPeers(t *testing.T) {
	restoring := planR
	restoring.begin = func(m *listsModel) {
		m.restores = true
		m.schedule(0, m.noticeEpochs)
	}
	for name, plan := range map[string]listsPlan{"F": planF, "R": planR, "S": planS, "restores": restoring} {
		t.Run(name, func(t *testing.T) {
			plan.peers = true
			checkLists(t, plan)
		})
	}
}

// TestLaterVersionCountsAsReadLater guards against a copy that an answer held up on its way makes older again, and
// against a copy that answers an instance which doesn't count its age.
func TestLaterVersionCountsAsReadLater(t *testing.T) {
	read := func(v ident.Version, at int) RecordCopy { return RecordCopy{Version: v, Asked: scriptTime(at)} }
	known := read(ident.VersionOf(5), 1000)
	for _, c := range []struct{ other, want RecordCopy }{
		{read(ident.VersionOf(4), 2000), known},
		{read(ident.VersionOf(5), 900), known},
		{read(ident.VersionOf(5), 1100), read(ident.VersionOf(5), 1100)},
		{read(ident.VersionOf(6), 900), read(ident.VersionOf(6), 1000)},
	} {
		if got := known.Merge(c.other); got.Version != c.want.Version || !got.Asked.Equal(c.want.Asked) {
			t.Errorf("version %d of %v merges to %d of %v, want %d of %v", c.other.Version, c.other.Asked, got.Version, got.Asked, c.want.Version, c.want.Asked)
		}
	}
	if known.MayAnswer(scriptTime(1000), 0) || !known.MayAnswer(scriptTime(1400), 400*time.Millisecond) || known.MayAnswer(scriptTime(1401), 400*time.Millisecond) {
		t.Error("a copy answers a question without an age, or at another than the stated one")
	}
	if got := PeerReadTime(scriptTime(2000), time.Second); !got.Equal(scriptTime(990)) {
		t.Errorf("a record of 1 s counts as read at %v, want 990 ms", got)
	}
}
