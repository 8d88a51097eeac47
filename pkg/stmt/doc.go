// Package stmt classifies SQL statements by their text: which ones only read, write,
// control transactions, or leave state on their connection.
//
// If the text is ambiguous, the result is the safe one: a write that must not be
// retried, on a connection that is not shared with other sessions until it is reset.
package stmt
