package fault_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"geraniumseam.dev/internal/fault"
)

const (
	// root is the root of the workspace; the directory of a package follows from its import path.
	root       = "../.."
	modulePath = "geraniumseam.dev/"
	faultPath  = modulePath + "internal/fault"
	ownerPath  = modulePath + "internal/owner"

	promisesPage = root + "/docs/design/promises.md"
	// promisesHeading precedes the table of places.
	promisesHeading = "## Since issue 29\n"
)

// constructors are the functions of the owner that give a result one of the outcomes of "not run".
var constructors = map[string]fault.Outcome{
	"notSent": fault.NotSent, "refused": fault.ServerRefused, "rolledBack": fault.RolledBack, "Work.lost": fault.NoEffect,
}

// place is a function of a package that says that a request has not run, and the fact that it names.
type place struct{ pkg, function, outcome string }

func (p place) String() string { return fmt.Sprintf("%s: %s says %s", p.pkg, p.function, p.outcome) }

// errExternal is the error of importing a package from outside the workspace.
var errExternal = errors.New("not a package of the workspace")

// workspace type-checks the packages of the workspace from their sources. What it knows of other
// packages is only their names, so that it needs no compiled code.
type workspace struct {
	t        *testing.T
	files    *token.FileSet
	info     *types.Info
	packages map[string]*types.Package
	syntax   map[string][]*ast.File
	// tests are the names of the test functions.
	tests map[string]bool
}

func readWorkspace(t *testing.T) *workspace {
	t.Helper()
	w := &workspace{
		t: t, files: token.NewFileSet(), packages: map[string]*types.Package{}, syntax: map[string][]*ast.File{}, tests: map[string]bool{},
		info: &types.Info{Uses: map[*ast.Ident]types.Object{}},
	}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		switch base := entry.Name(); {
		case err != nil:
			return err
		case entry.IsDir() && name != root && (strings.HasPrefix(base, ".") || base == "testdata"):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(base, ".go"):
			return nil
		}
		return w.parse(name)
	})
	if err != nil {
		t.Fatal(err)
	}
	for imported := range w.syntax {
		if _, err := w.Import(imported); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func (w *workspace) parse(name string) error {
	parsed, err := parser.ParseFile(w.files, name, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	if strings.HasSuffix(name, "_test.go") {
		for _, d := range parsed.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				w.tests[f.Name.Name] = true
			}
		}
		return nil
	}
	dir, err := filepath.Rel(root, filepath.Dir(name))
	imported := path.Join(modulePath, filepath.ToSlash(dir))
	w.syntax[imported] = append(w.syntax[imported], parsed)
	return err
}

// Import implements types.Importer.
func (w *workspace) Import(imported string) (*types.Package, error) {
	if found := w.packages[imported]; found != nil {
		return found, nil
	}
	if w.syntax[imported] == nil {
		return nil, errExternal
	}
	// Names from outside the workspace remain without a type, which is not an error here.
	config := types.Config{Importer: w, Error: func(error) {}}
	checked, _ := config.Check(imported, w.files, w.syntax[imported], w.info)
	w.packages[imported] = checked
	return checked, nil
}

// promises returns the objects whose uses are promises.
func (w *workspace) promises() map[types.Object]fault.Outcome {
	found := map[types.Object]fault.Outcome{}
	names := map[string]fault.Outcome{
		"NotSent": fault.NotSent, "ServerRefused": fault.ServerRefused, "RolledBack": fault.RolledBack, "NoEffect": fault.NoEffect,
	}
	for name, outcome := range names {
		found[w.packages[faultPath].Scope().Lookup(name)] = outcome
	}
	for name, outcome := range constructors {
		receiver, method, isMethod := strings.Cut(name, ".")
		object := w.packages[ownerPath].Scope().Lookup(receiver)
		if isMethod && object != nil {
			object, _, _ = types.LookupFieldOrMethod(types.NewPointer(object.Type()), true, w.packages[ownerPath], method)
		}
		found[object] = outcome
	}
	if found[nil] != 0 || len(found) != len(names)+len(constructors) {
		w.t.Fatal("an outcome of not-run, or a constructor of a result with one, is gone or renamed")
	}
	return found
}

// places counts the promises of each place.
func (w *workspace) places() map[place]int {
	promises := w.promises()
	counts := map[place]int{}
	for imported, syntax := range w.syntax {
		for _, file := range syntax {
			for _, d := range file.Decls {
				if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "_" {
					// Nothing runs it: it is the check of stringer that its constants are unchanged.
					continue
				}
				compared := comparedNames(d)
				ast.Inspect(d, func(n ast.Node) bool {
					name, ok := n.(*ast.Ident)
					if outcome, promised := promises[w.info.Uses[name]]; ok && promised && !compared[name] {
						counts[place{strings.TrimPrefix(imported, modulePath), declarationName(d), outcome.String()}]++
					}
					return true
				})
			}
		}
	}
	return counts
}

var comparisons = []token.Token{token.EQL, token.NEQ, token.LSS, token.LEQ, token.GTR, token.GEQ}

// comparedNames returns the names whose value is only compared with another.
func comparedNames(d ast.Decl) map[*ast.Ident]bool {
	compared := map[*ast.Ident]bool{}
	add := func(operands ...ast.Expr) {
		for _, operand := range operands {
			switch e := ast.Unparen(operand).(type) {
			case *ast.Ident:
				compared[e] = true
			case *ast.SelectorExpr:
				compared[e.Sel] = true
			}
		}
	}
	ast.Inspect(d, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BinaryExpr:
			if slices.Contains(comparisons, n.Op) {
				add(n.X, n.Y)
			}
		case *ast.CaseClause:
			add(n.List...)
		}
		return true
	})
	return compared
}

// declarationName returns the name of a function, with its receiver if it has one, or of the first
// variable of another declaration.
func declarationName(d ast.Decl) string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			return d.Name.Name
		}
		receiver := types.ExprString(d.Recv.List[0].Type)
		return strings.TrimPrefix(receiver, "*") + "." + d.Name.Name
	case *ast.GenDecl:
		for _, s := range d.Specs {
			if v, ok := s.(*ast.ValueSpec); ok {
				return v.Names[0].Name
			}
		}
	}
	return "a declaration"
}

// row is a row of the table: a place and the test that shows that it keeps its promise.
type row struct {
	place
	shown string
}

var (
	quoted   = regexp.MustCompile("^`(.+)`$")
	testName = regexp.MustCompile("`(Test[^`]+)`")
)

// readRows reads the table of places.
func readRows(t *testing.T) []row {
	t.Helper()
	content, err := os.ReadFile(promisesPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(content), promisesHeading)
	if !found {
		t.Fatalf("%s lacks the heading %q", promisesPage, promisesHeading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []row
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for at := range cells {
			cells[at] = strings.TrimSpace(cells[at])
		}
		if !strings.HasPrefix(line, "|") || cells[0] == "package" || strings.HasPrefix(cells[0], "---") {
			continue
		}
		if len(cells) != 5 || !quoted.MatchString(cells[0]) || !quoted.MatchString(cells[1]) || cells[3] == "" || cells[4] == "" {
			t.Errorf("row %q: want a quoted package, a quoted function, an outcome, why it is known and what shows it", strings.TrimSpace(line))
			continue
		}
		rows = append(rows, row{place{strings.Trim(cells[0], "`"), strings.Trim(cells[1], "`"), cells[2]}, cells[4]})
	}
	return rows
}

// TestEveryPromiseIsListed guards against a new place that tells a caller that its request has not
// run without a proof: each place that names one of the outcomes of "not run" has a row in
// docs/design/promises.md, with the fact that proves it and the test that shows it, and each row a place.
func TestEveryPromiseIsListed(t *testing.T) {
	w := readWorkspace(t)
	found := w.places()
	listed := map[place]int{}
	for _, r := range readRows(t) {
		listed[r.place]++
		for _, match := range testName.FindAllStringSubmatch(r.shown, -1) {
			if !w.tests[match[1]] {
				t.Errorf("%s: there is no test %s, which its row names", r.place, match[1])
			}
		}
	}
	var wrong []string
	for p, count := range found {
		if count > listed[p] {
			wrong = append(wrong, fmt.Sprintf("%s in %d places, of which docs/design/promises.md lists %d: add a row with the fact that proves it", p, count, listed[p]))
		}
	}
	for p, count := range listed {
		if count > found[p] {
			wrong = append(wrong, fmt.Sprintf("%s in %d places, of which %d are left: remove the row from docs/design/promises.md", p, count, found[p]))
		}
	}
	slices.Sort(wrong)
	for _, message := range wrong {
		t.Error(message)
	}
}
