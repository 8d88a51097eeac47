// Package fault defines the reasons for which a request is refused, is retried or ends with an
// unknown outcome, and the error that the caller receives.
package fault
