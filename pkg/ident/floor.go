package ident

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/jackc/pglogrepl"
)

// Term numbers a primary's reign within a database group.
type Term uint64

// Position is a place in a database group's log, in bytes.
type Position uint64

// String formats the position as PostgreSQL does.
func (p Position) String() string { return pglogrepl.LSN(p).String() }

// ParsePosition reads PostgreSQL's notation for a log position.
func ParsePosition(text string) (Position, error) {
	lsn, err := pglogrepl.ParseLSN(text)
	if err != nil {
		return 0, &ParseError{What: "log position", Text: text, Want: "hexadecimal X/Y"}
	}
	return Position(lsn), nil
}

// Floor is the least state of a group that a session may read.
type Floor struct {
	Term     Term     `cbor:"1,keyasint,omitempty" json:"term"`
	Position Position `cbor:"2,keyasint,omitempty" json:"position"`
}

// IsZero reports whether the floor demands nothing.
func (f Floor) IsZero() bool { return f == Floor{} }

// Less reports whether f comes before other in the order of terms, then positions.
func (f Floor) Less(other Floor) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Position < other.Position
}

// Raise returns a floor that demands all that both floors demand.
//
// A later term's log holds every acknowledged write of earlier terms, so the
// higher term wins, with the higher position of the two.
func (f Floor) Raise(other Floor) Floor {
	return Floor{Term: max(f.Term, other.Term), Position: max(f.Position, other.Position)}
}

// ReachedBy reports whether a server in the given term with the given applied position satisfies f.
func (f Floor) ReachedBy(term Term, applied Position) bool {
	return term >= f.Term && applied >= f.Position
}

// String formats the floor as TERM@POSITION.
func (f Floor) String() string {
	return fmt.Sprintf("%d@%s", f.Term, f.Position)
}

// ParseFloor reads what Floor.String wrote.
func ParseFloor(text string) (Floor, error) {
	term, pos, found := strings.Cut(text, "@")
	if !found {
		return Floor{}, &ParseError{What: "floor", Text: text, Want: "TERM@POSITION"}
	}
	number, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Floor{}, &ParseError{What: "floor", Text: text, Want: "a decimal term"}
	}
	position, err := ParsePosition(pos)
	if err != nil {
		return Floor{}, err
	}
	return Floor{Term: Term(number), Position: position}, nil
}

// Token carries a session's floor of one group from one instance to another.
type Token struct {
	Group GroupID
	Floor Floor
}

// String formats the token as GROUP:TERM@POSITION.
func (t Token) String() string { return string(t.Group) + ":" + t.Floor.String() }

// ParseToken reads what Token.String wrote.
func ParseToken(text string) (Token, error) {
	at := strings.LastIndexByte(text, ':')
	if at <= 0 {
		return Token{}, &ParseError{What: "session token", Text: text, Want: "GROUP:TERM@POSITION"}
	}
	floor, err := ParseFloor(text[at+1:])
	if err != nil {
		return Token{}, err
	}
	return Token{Group: GroupID(text[:at]), Floor: floor}, nil
}
