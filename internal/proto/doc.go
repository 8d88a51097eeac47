// Package proto is what the session engine and its dialects share: requests whose
// content only a dialect reads, the connections that run them, and how runs end.
package proto
