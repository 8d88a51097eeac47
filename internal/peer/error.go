package peer

import (
	"fmt"

	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=Cause -linecomment -output=cause_string.go

// Cause is the reason why a link or a message failed.
type Cause uint8

// Causes.
const (
	Unreachable  Cause = iota // unreachable
	Silent                    // silent
	Unauthorized              // unauthorized
	WrongVersion              // wrong-version
	WrongPeer                 // wrong-peer
	BadMessage                // bad-message
	Closed                    // closed
	Unlisted                  // unlisted
	TooLarge                  // too-large
)

// Error reports a failed link or message.
type Error struct {
	Cause  Cause
	Peer   ident.InstanceID
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("peer %s: %s %s", e.Peer, e.Cause, e.Detail) }
