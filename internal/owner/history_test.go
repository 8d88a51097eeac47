package owner

import (
	"testing"
	"time"

	"geraniumseam.dev/internal/rule/group"
)

// TestDoubtfulStatusIsNoNews: a status that may be a copy of the last one is no newer than that, until nothing has come
// after it for a while; one that looks like an older one is not taken.
func TestDoubtfulStatusIsNoNews(t *testing.T) {
	start := time.Unix(1, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	first, second := group.Status{Server: "s", Term: 1, Received: 1}, group.Status{Server: "s", Term: 1, Received: 1, Sealed: 2}
	h := history{}
	check := func(what string, got, want time.Time) {
		t.Helper()
		if !got.Equal(want) {
			t.Errorf("%s is known since %v, want %v", what, got.Sub(start), want.Sub(start))
		}
	}
	check("a certain status", h.add(first, at(0), at(1), false), at(0))
	check("a doubtful one", h.add(first, at(20), at(21), true), at(0))
	h.confirm(at(22))
	check("a doubtful one after a short look", h.add(first, at(22), at(23), true), at(0))
	h.confirm(at(23).Add(confirmDelay))
	check("a doubtful one after a long look", h.add(first, at(40), at(41), true), at(22))
	check("a certain one", h.add(second, at(60), at(61), false), at(60))
	if !h.isOld(first) || h.isOld(second) || h.fallsBehind(first) {
		t.Error("a status before the last one is not told from the last one")
	}
	if !h.fallsBehind(group.Status{Server: "s", Term: 1}) {
		t.Error("a lower position does not fall behind")
	}
}
