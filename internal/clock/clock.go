package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as a time.Time that can only be compared
// with others from the same host. It includes time spent suspended and is not affected by
// changes of the system time. If the boot-time clock cannot be read, Now falls back to
// time.Now.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Unix())
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }
