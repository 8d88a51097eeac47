package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as a time that can be compared
// with others of this machine only; it counts suspensions and never jumps.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}

// Since returns how long ago a time that Now gave was.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
