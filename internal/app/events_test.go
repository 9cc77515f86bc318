package app

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/telemetry/logging"
)

// The on-call page lists each event with its level and fields, and none that there is not.
func TestOnCallPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	page, code := map[string]string{}, map[string]string{}
	for _, row := range regexp.MustCompile(
		"(?m)^\\| `([^`]+)` \\| (\\w+) \\|([^|]*)\\| (.+) \\|$",
	).FindAllStringSubmatch(
		string(text),
		-1,
	) {
		if page[row[1]] = row[2] + ": " + strings.TrimSpace(row[3]); len(row[4]) < 10 {
			t.Errorf("%s: what it means is missing", row[1])
		}
	}
	for _, e := range logging.Events() {
		code[e.Name] = strings.ToLower(e.Level.String()) + ": " + strings.Join(e.Fields, " ")
	}
	if diff := cmp.Diff(code, page); diff != "" {
		t.Errorf("(-code +page)\n%s", diff)
	}
}

// Each event is logged with a value for each field, and nothing goes to a log in another way.
func TestEventsAreWhole(t *testing.T) {
	fset, calls := token.NewFileSet(), 0
	fields := map[string]int{} // by package and variable
	each := func(fn func(pkg string, f *ast.File)) {
		err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(fset, path, nil, 0)
			if err == nil {
				fn(f.Name.Name, f)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	each(func(pkg string, f *ast.File) {
		for _, i := range f.Imports {
			if i.Path.Value == `"log"` {
				t.Errorf("%s: package log is used", fset.Position(i.Pos()))
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			v, ok := n.(*ast.ValueSpec)
			if !ok || len(v.Names) != 1 || len(v.Values) != 1 {
				return true
			}
			ast.Inspect(v.Values[0], func(n ast.Node) bool {
				if c, ok := n.(*ast.CallExpr); ok && isCall(c, "Define") {
					fields[pkg+"."+v.Names[0].Name] = len(c.Args) - 2
				}
				return true
			})
			return true
		})
	})
	each(func(pkg string, f *ast.File) {
		ast.Inspect(f, func(n ast.Node) bool {
			c, ok := n.(*ast.CallExpr)
			if !ok || !isCall(c, "Log") {
				return true
			}
			event, given := c.Fun.(*ast.SelectorExpr).X, len(c.Args)
			if name := dotted(pkg, event); strings.HasSuffix(name, ".host") &&
				given > 0 { // through the core's host
				event, given = c.Args[0], given-1
			}
			if want, ok := fields[dotted(pkg, event)]; ok {
				if calls++; want != given {
					t.Errorf("%s: %d values for %d fields", fset.Position(c.Pos()), given, want)
				}
			}
			return true
		})
	})
	if calls < len(logging.Events())-5 { // those that package logs writes itself are not called so
		t.Errorf("%d calls are seen of %d events", calls, len(logging.Events()))
	}
}

func isCall(c *ast.CallExpr, name string) bool {
	s, ok := c.Fun.(*ast.SelectorExpr)
	return ok && s.Sel.Name == name
}

// dotted is the name of a variable with its package: its own, if none is said.
func dotted(pkg string, e ast.Expr) string {
	switch x := e.(type) {
	case *ast.Ident:
		return pkg + "." + x.Name
	case *ast.SelectorExpr:
		if p, ok := x.X.(*ast.Ident); ok {
			return p.Name + "." + x.Sel.Name
		}
	}
	return ""
}
