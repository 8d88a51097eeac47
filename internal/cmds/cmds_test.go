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

// volatile are the parts of an output that differ from run to run.
var volatile = regexp.MustCompile(`gs-[A-Za-z0-9_-]{43}|hash = [0-9a-f]{64}|: (listen|bind): .*`)

// TestCommands plays operators from a script.
//
// file NAME keeps its input as a file; run ARGS prints the exit code and what
// was printed. PLATFORM and DIR stand for the platform's URL and the folder of the files.
func TestCommands(t *testing.T) {
	for _, name := range []string{"check", "config"} {
		t.Run(name, func(t *testing.T) {
			p, err := platf.Start("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer p.Stop()
			dir := t.TempDir()
			datadriven.RunTest(t, filepath.Join("testdata", name), func(t *testing.T, d *datadriven.TestData) string {
				places := strings.NewReplacer("PLATFORM", p.URL(), "DIR", dir)
				if d.Cmd == "file" {
					content := places.Replace(d.Input) + "\n"
					if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(content), 0o600); err != nil {
						t.Fatal(err)
					}
					return ""
				}
				return strings.NewReplacer(p.URL(), "PLATFORM", dir, "DIR").Replace(runLine(t, places.Replace(d.Input)))
			})
		})
	}
}

func runLine(t *testing.T, line string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var out bytes.Buffer
	args := []string{"geraniumseam"}
	for _, word := range strings.Fields(line) {
		args = append(args, strings.ReplaceAll(word, "_", " "))
	}
	code := Run(ctx, args, &out, &out)
	return fmt.Sprintf("%sexit %d\n", volatile.ReplaceAllString(out.String(), "…"), code)
}

func TestHelpNamesEveryCommand(t *testing.T) {
	out := runLine(t, "--help")
	for _, name := range []string{"demo", "serve", "check", "config", "customer", "key", "service", "exception", "review", "bench", "version"} {
		if !strings.Contains(out, "   "+name) {
			t.Errorf("help does not name %s:\n%s", name, out)
		}
	}
}
