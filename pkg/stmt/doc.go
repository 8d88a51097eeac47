// Package stmt tells from a statement's text what it may do to a database.
//
// Where the text does not tell, the answer is the safe one: a write that must
// not be repeated, on a connection that is not shared until it is reset.
package stmt
