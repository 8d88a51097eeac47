package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is when the process started, with a monotonic reading.
var started = time.Now()

// Now returns the time since the host booted, as a time.Time that can only be compared
// with others from the same host. It includes time spent suspended and is not affected by
// changes of the system time. If the boot-time clock cannot be read, Now falls back to the
// time since the process started.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Unix(0, int64(time.Since(started)))
	}
	return time.Unix(now.Unix())
}

// Since returns the time elapsed since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Deadline returns the deadline for a socket that is d from now.
func Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// TimeOfDay returns the host's time of day, which may jump. It is for people to read and for what
// other hosts have to know, never for ages or orders.
func TimeOfDay() time.Time { return time.Now() }
