package stmt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestClassify(t *testing.T) {
	datadriven.RunTest(t, "testdata/classify", func(t *testing.T, d *datadriven.TestData) string {
		class := Classify(d.Input)
		out := class.Kind.String()
		if class.ReadOnly {
			out += " read-only"
		}
		if class.LeavesState {
			out += " leaves-state"
		}
		if class.Setting != "" {
			out += fmt.Sprintf(" %s=%q", class.Setting, class.Value)
		}
		return out + "\n"
	})
}

// TestEffects classifies each line as a text of its own. What may commit or write must not be taken
// for harmless, whatever its quotes and comments hide.
func TestEffects(t *testing.T) {
	datadriven.RunTest(t, "testdata/effects", func(_ *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for text := range strings.SplitSeq(d.Input, "\n") {
			class := Classify(text)
			effects := "may commit"
			if class.NeverCommits {
				effects = "never commits"
			}
			if class.WritesNothing {
				effects += ", writes nothing"
			}
			fmt.Fprintf(&out, "%s: %s\n", text, effects)
		}
		return out.String()
	})
}

// FuzzClassify guards against texts that hide a write from Classify: a write stays at least
// a write, whatever is appended to it as a second statement.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"select 1", "select '\\'' ; --", "$a$ $a$", "/* /* */ select", "\"", "begin read only"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		Classify(text)
		joined := Classify("delete from ledger; " + text)
		if joined.Kind < Write {
			t.Fatalf("%q hides a write: %v", text, joined.Kind)
		}
	})
}
