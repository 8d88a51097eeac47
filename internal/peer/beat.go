package peer

import (
	"context"
	"time"

	"geraniumseam.dev/internal/clock"
	"geraniumseam.dev/pkg/ident"
)

// Heartbeats tell ages, such as that of the last confirmation of a configuration. An age grows while
// the heartbeat is on its way, which may take long where a path or a process is held up. Each end
// returns the time that it last received from the other, so that both can bound the transit of
// what they receive by their own clock.
//
//	one ──Sent 100──▶ the other
//	one ◀──Sent 7, Echo 100, EchoAge 250── the other; received at 390: Transit 390 - 100 - 250 = 40

// lastBeat is the last heartbeat received over a link: its Sent, and when it was received.
type lastBeat struct {
	sent uint64
	at   time.Time
}

// milliseconds returns the clock's reading in milliseconds, which is never 0.
func milliseconds(now time.Time) uint64 { return uint64(now.UnixMilli()) + 1 }

// sendHeartbeat sends a heartbeat. The times are taken first: a pause of the process after that makes
// the transit longer, never the state older than it seems.
func (l *link) sendHeartbeat(ctx context.Context) error {
	now := clock.Now()
	last := l.received()
	var age uint64
	if last.sent != 0 {
		age = uint64(max(now.Sub(last.at), 0) / time.Millisecond)
	}
	beat := l.hub.conf.Handler.Heartbeat(l.peer)
	beat.Sent, beat.Echo, beat.EchoAge = milliseconds(now), last.sent, age
	return l.send(ctx, kindHeartbeat, 0, beat)
}

// receiveHeartbeat notes a heartbeat and returns it with its transit. The peer gets an answer at once
// if it has not heard from this end yet, so that it can tell the transit of the next one.
func (l *link) receiveHeartbeat(beat Heartbeat) Heartbeat {
	now := clock.Now()
	l.mu.Lock()
	l.last = lastBeat{sent: beat.Sent, at: now}
	l.mu.Unlock()
	beat.Transit = transit(milliseconds(now), beat.Echo, beat.EchoAge)
	if beat.Echo == 0 && beat.Sent != 0 {
		l.wakeUp()
	}
	return beat
}

// maxClockSkew is how many milliseconds longer the peer may measure the time for which it held an echo.
const maxClockSkew = 1000

// transit returns how long a heartbeat may have been on its way at most; UnknownTransit if it echoes nothing that this end
// can have sent. All times are in milliseconds.
func transit(now, echo, echoAge uint64) time.Duration {
	if echo == 0 || echo > now || echoAge > now-echo+maxClockSkew {
		return UnknownTransit
	}
	return time.Duration(now-echo-min(echoAge, now-echo)) * time.Millisecond
}

func (l *link) received() lastBeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// wakeUp makes the link send a heartbeat at once.
func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// SendHeartbeats sends a heartbeat to the peers with an open link for which chosen returns true.
func (h *Hub) SendHeartbeats(ctx context.Context, chosen func(ident.InstanceID) bool) {
	for _, l := range h.openLinks() {
		if chosen(l.peer) {
			_ = l.sendHeartbeat(ctx)
		}
	}
}
