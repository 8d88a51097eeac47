package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"geraniumseam.dev/stand/platf"
)

// variableOutput matches the parts of an output that differ from run to run.
var variableOutput = regexp.MustCompile(`gs-[A-Za-z0-9_-]{43}|hash = [0-9a-f]{64}|: (listen|bind): .*`)

// TestCommands runs scripts of operator commands against a simulated platform.
//
// "file NAME" writes its input to a file. "run" runs the command line in its input, in
// which _ stands for a space within an argument, and prints the command's output and exit
// code. PLATFORM stands for the platform's URL, DIR for the directory of the files.
func TestCommands(t *testing.T) {
	for _, name := range []string{"check", "config", "evacuate"} {
		t.Run(name, func(t *testing.T) {
			p, err := platf.Start("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer p.Stop()
			dir := t.TempDir()
			datadriven.RunTest(t, filepath.Join("testdata", name), func(t *testing.T, d *datadriven.TestData) string {
				placeholders := strings.NewReplacer("PLATFORM", p.URL(), "DIR", dir)
				if d.Cmd == "file" {
					content := placeholders.Replace(d.Input) + "\n"
					if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(content), 0o600); err != nil {
						t.Fatal(err)
					}
					return ""
				}
				return strings.NewReplacer(p.URL(), "PLATFORM", dir, "DIR").Replace(runCommand(t, placeholders.Replace(d.Input)))
			})
		})
	}
}

// runCommand returns the output and the exit code of a command line.
func runCommand(t *testing.T, line string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var out bytes.Buffer
	args := []string{"geraniumseam"}
	for _, arg := range strings.Fields(line) {
		args = append(args, strings.ReplaceAll(arg, "_", " "))
	}
	code := Run(ctx, args, &out, &out)
	return fmt.Sprintf("%sexit %d\n", variableOutput.ReplaceAllString(out.String(), "…"), code)
}

func TestHelpListsEveryCommand(t *testing.T) {
	out := runCommand(t, "--help")
	for _, name := range []string{"demo", "serve", "check", "config", "customer", "key", "service", "exception", "evacuate", "review", "bench", "version"} {
		if !strings.Contains(out, "   "+name) {
			t.Errorf("help does not list command %s:\n%s", name, out)
		}
	}
}
