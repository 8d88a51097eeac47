package ident

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func drawFloor(t *rapid.T, label string) Floor {
	return Floor{
		Term:     Term(rapid.Uint64Range(0, 5).Draw(t, label+"-term")),
		Position: Position(rapid.Uint64Range(0, 1<<40).Draw(t, label+"-position")),
	}
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Token{Group: GroupID(rapid.StringMatching(`[a-z:-]{1,12}`).Draw(t, "group")), Floor: drawFloor(t, "floor")}
		out, err := ParseToken(in.String())
		if err != nil || out != in {
			t.Fatalf("got %v, %v; want %v", out, err, in)
		}
	})
}

func TestRaiseRequiresBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, server := drawFloor(t, "a"), drawFloor(t, "b"), drawFloor(t, "server")
		both := a.ReachedBy(server.Term, server.Position) && b.ReachedBy(server.Term, server.Position)
		if raised := a.Raise(b); raised.ReachedBy(server.Term, server.Position) != both {
			t.Fatalf("Raise of %v and %v, reached by server at %v: want %v", a, b, server, both)
		}
	})
}

func TestParseTokenRejectsInvalid(t *testing.T) {
	for _, text := range []string{"", ":", "g", "g:", "g:1", "g:x@0/1", "g:1@zz", ":1@0/1"} {
		_, err := ParseToken(text)
		var parseError *ParseError
		if !errors.As(err, &parseError) {
			t.Errorf("ParseToken(%q) = %v, want a ParseError", text, err)
		}
	}
}
