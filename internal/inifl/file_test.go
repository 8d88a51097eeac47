package inifl

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"geraniumseam.dev/internal/rule/conf"
)

// TestValuesEndWithTheirLine guards against a value that swallows the next line, is cut at a sign in it or becomes another
// section: what is written is read again as it was, but for control characters.
func TestValuesEndWithTheirLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("ab \\\"'`#;=%()[]:,\n\r\t$é\x00"))).Draw(t, "text")
		c := conf.New()
		c.Exceptions["one"] = conf.Exception{Scope: "group a", Default: "poll", Value: "1s", Reason: text, Owner: "ops"}
		written := WriteConfig(c)
		f, err := Parse("test.ini", written)
		if err != nil {
			t.Fatalf("%v in\n%s", err, written)
		}
		read := ReadSections(f)
		if err := f.Finish(); err != nil {
			t.Fatalf("%v in\n%s", err, written)
		}
		got := read.Exceptions["one"]
		want := strings.TrimSpace(strings.NewReplacer("\n", " ", "\r", " ", "\t", " ", "\x00", " ").Replace(text))
		if len(read.Exceptions) != 1 || got.Reason != want || got.Owner != "ops" || len(read.Groups) > 0 {
			t.Fatalf("reason %q of ops is read as %q of %q; groups %v", text, got.Reason, got.Owner, read.Groups)
		}
	})
}

// TestCutFileIsNotTaken guards against a value of which the end is missing, as the file is still being written: it is read
// whole, or a mistake.
func TestCutFileIsNotTaken(t *testing.T) {
	const text = "[group a]\nservers = a1@x/10.0.0.1:5432, a2@x/10.0.0.2:5432\nconnections = 200\n"
	whole := strings.Count(text, "\n")
	for length := range len(text) + 1 {
		f, err := Parse("test.ini", []byte(text[:length]))
		if err != nil {
			continue
		}
		c := ReadSections(f)
		if lines := strings.Count(text[:length], "\n"); f.Finish() == nil && length > 0 && text[length-1] != '\n' {
			t.Errorf("cut after %d bytes, in line %d of %d: groups %v are taken", length, lines+1, whole, c.Groups)
		}
	}
}
