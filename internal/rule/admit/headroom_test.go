package admit

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// connectionLoad is a load on the connections of one server: sets of owners that don't know of each
// other, and connections that earlier processes have left open until the end.
type connectionLoad struct{ connections, sets, owners, left int }

func readConnectionLoad(t *testing.T, name string) (l connectionLoad) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	_, values, _ := strings.Cut(string(text), "\n")
	if _, err := fmt.Sscanf(values, "connections %d sets %d owners %d left %d", &l.connections, &l.sets, &l.owners, &l.left); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return l
}

// play has each owner open a connection every 5 ms for 3 s if it may, and request a report every
// 300 ms. It returns how many connections the server refused and how many each owner has.
func (l connectionLoad) play(reports bool) (refused int, open []int) {
	owners := l.sets * l.owners
	open = make([]int, owners)
	rooms, until := make([]Headroom, owners), make([]int, owners)
	total := owners + l.left
	for at := range 3000 {
		now := time.Unix(0, 0).Add(time.Duration(at) * time.Millisecond)
		for i := range owners {
			if reports && at%300 == 7*i {
				rooms[i].SetLimit(l.connections, l.owners)
				rooms[i].Report(now, now, total, true)
			}
			share := ConnectionShare{Connections: l.connections, Owners: l.owners, Local: i%l.owners == 0, LocalOwned: true}
			if at%5 != i%5 || at < until[i] || open[i] >= share.Limit() || !rooms[i].Allows(now, Owned{Open: open[i]}) {
				continue
			}
			if total >= l.connections {
				refused++
				until[i] = at + 50
				continue
			}
			total++
			open[i]++
			rooms[i].Opened(now)
		}
	}
	return refused, open
}

// TestReportedConnectionsAvoidRefusals guards against servers that reset hundreds of
// connections as over their limit while two sets of owners exist or all instances start.
func TestReportedConnectionsAvoidRefusals(t *testing.T) {
	files, err := filepath.Glob("testdata/connections/*.load")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".load"), func(t *testing.T) {
			l := readConnectionLoad(t, name)
			blind, _ := l.play(false)
			refused, open := l.play(true)
			t.Logf("%d refused, %d without reports; connections %v", refused, blind, open)
			if refused > blind/10 {
				t.Errorf("the server refused %d connections, %d without reports, want at most a tenth", refused, blind)
			}
			for i, n := range open {
				if n == 0 {
					t.Errorf("owner %d has no connection", i)
				}
			}
		})
	}
}

// TestHeadroom checks the number of connections that may be opened at the edges of the rule.
func TestHeadroom(t *testing.T) {
	start := time.Unix(100, 0)
	for _, test := range []struct {
		name     string
		reported int
		age      time.Duration
		own      Owned
		closed   int
		want     bool
	}{
		{"below the margin", 62, 0, Owned{Open: 4}, 0, true},
		{"at the margin", 63, 0, Owned{Open: 4}, 0, false},
		{"connections being opened count", 62, 0, Owned{Open: 4, Dialing: 1}, 0, false},
		{"first connection", 65, 0, Owned{}, 0, true},
		{"first connection, half of the margin in use", 66, 0, Owned{}, 0, false},
		{"in exchange for a closed one", 70, 0, Owned{Open: 4}, 1, true},
		{"old report, first", 10, 2 * time.Second, Owned{Open: 4}, 0, true},
		{"old report of a full server, first", 70, 2 * time.Second, Owned{}, 0, true},
		{"old report of a full server, another", 70, 2 * time.Second, Owned{Open: 1}, 0, false},
		{"old report, second", 10, 2 * time.Second, Owned{Open: 4, Dialing: 1}, 0, false},
	} {
		var h Headroom
		h.SetLimit(70, 6)
		h.Report(start, start, test.reported, true)
		for range test.closed {
			h.Closed(start)
		}
		if got := h.Allows(start.Add(test.age), test.own); got != test.want {
			t.Errorf("%s: allowed %t, want %t", test.name, got, test.want)
		}
	}
	var few Headroom
	few.SetLimit(12, 6)
	few.Report(start, start, 11, true)
	if !few.Allows(start, Owned{}) {
		t.Error("the last of six owners may open no connection to a server that accepts twelve")
	}
	var none Headroom
	none.SetLimit(70, 6)
	none.Report(start, start, 0, false)
	if !none.Allows(start.Add(time.Hour), Owned{Open: 60, Dialing: 9}) {
		t.Error("a server that reports no number of connections limits them, want no limit")
	}
}
