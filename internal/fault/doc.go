// Package fault names every way in which a request can be refused, retried or
// end unknown, and what the caller is told.
package fault
