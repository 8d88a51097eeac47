package entry

import (
	"testing"
	"time"

	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/jrnl"
	"geraniumseam.dev/internal/peer"
	"geraniumseam.dev/pkg/ident"
)

// TestConfirmationOfPeersAges guards against instances that keep an old configuration in force as they
// take it for confirmed (CONFIG), because a peer's clock jumped back, or because they tell each other
// again and again how old the confirmation was when the heartbeat was sent.
func TestConfirmationOfPeersAges(t *testing.T) {
	const transit = 8 * time.Millisecond
	now := time.Unix(1000, 0)
	view := fleetOf(2)
	var handlers []*handler
	for _, member := range view.available {
		m := view.membersOf(member.ID)
		m.instance.members = m
		m.instance.configCache = confs.NewCache(jrnl.New(jrnl.Config{Instance: member.ID, Capacity: 8, Now: time.Now}), func() time.Time { return now })
		handlers = append(handlers, (*handler)(m.instance))
	}
	a, b := handlers[0], handlers[1]
	a.configCache.Confirm(ident.Version{}, 0)
	for range 100 {
		for _, pair := range [][2]*handler{{a, b}, {b, a}} {
			beat := peer.Heartbeat{Checked: pair[0].configCache.SinceConfirmed(), Transit: transit}
			now = now.Add(transit)
			pair[1].HandleNotification(pair[0].conf.Instance, beat)
		}
	}
	for _, h := range handlers {
		if age := h.configCache.SinceConfirmed(); age != 200*transit {
			t.Errorf("confirmed %v ago, want %v", age, 200*transit)
		}
	}
	a.HandleNotification(b.conf.Instance, peer.Heartbeat{Transit: peer.UnknownTransit})
	if age := a.configCache.SinceConfirmed(); age != 200*transit {
		t.Errorf("a heartbeat that may be old confirmed the configuration: %v ago", age)
	}
	a.HandleNotification(b.conf.Instance, peer.Heartbeat{Checked: -time.Minute, Transit: transit})
	if age := a.configCache.SinceConfirmed(); age != transit {
		t.Errorf("a peer whose clock had jumped confirmed the configuration %v ago, want %v", age, transit)
	}
}
