// Package review summarizes journal events: the failovers and their steps, other
// events, the failed and retried requests of each customer, and the requests whose
// outcome is unknown.
package review
