// Package clock reads a monotonic clock that also advances while the host is suspended.
// Ages, orders, leases and rate shares are measured with it: the time of day may jump, and after a
// suspension they must count as expired or older.
package clock
