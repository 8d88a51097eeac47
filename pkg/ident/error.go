package ident

import "fmt"

// ParseError says that a text cannot be parsed: what it should be, the text, and the
// expected form.
type ParseError struct {
	What string
	Text string
	Want string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("bad %s %q: want %s", e.What, e.Text, e.Want)
}
