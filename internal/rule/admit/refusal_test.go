package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRepeatedRefusalIsTheOwners guards against a repeated refusal that the owner would not give: of work that it
// would let wait for a change of primary, or more than 100 ms after it was asked.
func TestRepeatedRefusalIsTheOwners(t *testing.T) {
	millis := func(t *rapid.T, name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		since, travel := millis(t, "since", 4000), millis(t, "travel", 100)
		wait, expected := PrimaryWait(since, millis(t, "first", 4000))
		if !IsImmediate(since, wait) {
			return
		}
		asked := time.Unix(0, 0)
		r := PrimaryRefusal{Arrived: asked.Add(travel), Expected: asked.Add(expected)}
		later, next := travel+millis(t, "later", 150), millis(t, "next", 4000)
		left, repeats := r.Repeats(asked.Add(later), next)
		if !repeats {
			return
		}
		if wait, expected = PrimaryWait(since+later, next); !IsImmediate(since+later, wait) || left > expected {
			t.Errorf("work that may wait %v is refused with %v left, the owner lets it wait %v of %v", next, left, wait, expected)
		}
		if later-travel >= 100*time.Millisecond {
			t.Errorf("repeated %v after the refusal", later-travel)
		}
	})
}

// TestRepeatedRefusalsSpareTheOwner replays the 440 refusals a second of rmse-cartes-grown trouble-1, seconds 8 to
// 12, through one instance: an owner that is asked by each of them has that much less time for other groups.
func TestRepeatedRefusalsSpareTheOwner(t *testing.T) {
	const perSecond, wait = 440, 250 * time.Millisecond
	var last PrimaryRefusal
	asked := 0
	for at := range 4 * perSecond {
		now := time.Unix(8, 0).Add(time.Duration(at) * time.Second / perSecond)
		if _, repeats := last.Repeats(now, wait); repeats {
			continue
		}
		asked++
		_, expected := PrimaryWait(now.Sub(time.Unix(5, 0)), wait)
		last = PrimaryRefusal{Arrived: now, Expected: now.Add(expected)}
	}
	if asked > 4*10 {
		t.Errorf("the owner was asked %d times in 4 s, want at most once in 100 ms", asked)
	}
}
