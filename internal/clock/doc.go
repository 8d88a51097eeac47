// Package clock reads a monotonic clock that also advances while the host is suspended.
// Leases, bounds on the age of data and rate shares are measured with it: after a
// suspension they must count as expired or older.
package clock
