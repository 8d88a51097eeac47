package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// exempt are the folders whose programs don't run as instances.
var exempt = []string{"internal/clock", "internal/bench", "internal/cmds", "internal/logs", "platform/ptest"}

// TestOneClockForAges guards against ages and orders by the time of day, which jumps: after a jump back,
// instances took an old configuration for confirmed (CONFIG), and after a jump forward they closed all links
// between them with the requests on them (LOST).
func TestOneClockForAges(t *testing.T) {
	const root = "../.."
	files := 0
	for _, tree := range []string{"internal", "platform", "cmd", "pkg"} {
		err := filepath.WalkDir(filepath.Join(root, tree), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			name := strings.TrimPrefix(filepath.ToSlash(path), root+"/")
			for _, folder := range exempt {
				if entry.IsDir() && name == folder {
					return fs.SkipDir
				}
			}
			if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return nil
			}
			files++
			return checkFile(t, path, name)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 100 {
		t.Errorf("only %d files were checked", files)
	}
}

// checkFile reports each use of a clock of package time.
func checkFile(t *testing.T, path, name string) error {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if base, ok := selector.X.(*ast.Ident); ok && base.Name == "time" && (selector.Sel.Name == "Now" || selector.Sel.Name == "Since") {
			t.Errorf("%s:%d: time.%s; use clock.Now or clock.Since for ages, clock.Deadline for sockets, clock.TimeOfDay for people",
				name, set.Position(n.Pos()).Line, selector.Sel.Name)
		}
		return true
	})
	return nil
}
