package ident

import "fmt"

// ParseError says that a text is not what it should be.
type ParseError struct {
	What string
	Text string
	Want string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("bad %s %q: want %s", e.What, e.Text, e.Want)
}
