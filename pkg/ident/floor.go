package ident

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pglogrepl"
)

// Term numbers the successive primaries of a database group: each change of primary
// starts a higher term.
type Term uint64

// Position is an offset in a database group's log, in bytes.
type Position uint64

// String formats the position as PostgreSQL does.
func (p Position) String() string { return pglogrepl.LSN(p).String() }

// ParsePosition parses PostgreSQL's notation for a log position.
func ParsePosition(text string) (Position, error) {
	lsn, err := pglogrepl.ParseLSN(text)
	if err != nil {
		return 0, &ParseError{What: "log position", Text: text, Want: "hexadecimal X/Y"}
	}
	return Position(lsn), nil
}

// Floor is the oldest state of a group that a session may read: a server must have
// reached this term and this position to serve the session's reads.
type Floor struct {
	Term     Term     `cbor:"1,keyasint,omitempty" json:"term"`
	Position Position `cbor:"2,keyasint,omitempty" json:"position"`
}

// IsZero reports whether the floor requires nothing.
func (f Floor) IsZero() bool { return f == Floor{} }

// Less reports whether f comes before other in the order of terms, then positions.
func (f Floor) Less(other Floor) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Position < other.Position
}

// Raise returns the lowest floor that meets the requirements of both floors.
//
// The log of a later term contains every acknowledged write of earlier terms, so the
// result has the higher of the two terms and the higher of the two positions.
func (f Floor) Raise(other Floor) Floor {
	return Floor{Term: max(f.Term, other.Term), Position: max(f.Position, other.Position)}
}

// ReachedBy reports whether a server in the given term that has applied the log up to the
// given position satisfies f.
func (f Floor) ReachedBy(term Term, applied Position) bool {
	return term >= f.Term && applied >= f.Position
}

// String formats the floor as TERM@POSITION.
func (f Floor) String() string {
	return fmt.Sprintf("%d@%s", f.Term, f.Position)
}

// ParseFloor parses the output of Floor.String.
func ParseFloor(text string) (Floor, error) {
	termText, positionText, found := strings.Cut(text, "@")
	if !found {
		return Floor{}, &ParseError{What: "floor", Text: text, Want: "TERM@POSITION"}
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Floor{}, &ParseError{What: "floor", Text: text, Want: "a decimal term"}
	}
	position, err := ParsePosition(positionText)
	if err != nil {
		return Floor{}, err
	}
	return Floor{Term: Term(term), Position: position}, nil
}

// Token is a session token: it carries a session's floor for one group from one instance
// to another.
type Token struct {
	Group GroupID
	Floor Floor
}

// String formats the token as GROUP:TERM@POSITION.
func (t Token) String() string { return string(t.Group) + ":" + t.Floor.String() }

// ParseToken parses the output of Token.String.
func ParseToken(text string) (Token, error) {
	separator := strings.LastIndexByte(text, ':')
	if separator <= 0 {
		return Token{}, &ParseError{What: "session token", Text: text, Want: "GROUP:TERM@POSITION"}
	}
	floor, err := ParseFloor(text[separator+1:])
	if err != nil {
		return Token{}, err
	}
	return Token{Group: GroupID(text[:separator]), Floor: floor}, nil
}
