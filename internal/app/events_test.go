package app

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/telemetry/logging"
)

// The on-call page must list exactly the events of the code, with their levels and fields.
func TestOnCallPageListsEvents(t *testing.T) {
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
			t.Errorf("%s: the page does not say what the event means", row[1])
		}
	}
	for _, e := range logging.Events() {
		code[e.Name] = strings.ToLower(e.Level.String()) + ": " + strings.Join(e.Fields, " ")
	}
	if diff := cmp.Diff(code, page); diff != "" {
		t.Errorf("events (-code +page)\n%s", diff)
	}
}

// source is a parsed file of the program.
type source struct {
	*ast.File
	fset *token.FileSet
}

// sources parses all files under internal, except tests.
func sources(t *testing.T) []source {
	t.Helper()
	var files []source
	fset := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(fset, path, nil, 0)
		files = append(files, source{file, fset})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// eventFields returns the number of fields of the events that a file defines, by package and variable.
func eventFields(file source) map[string]int {
	fields := map[string]int{}
	ast.Inspect(file.File, func(n ast.Node) bool {
		variable, ok := n.(*ast.ValueSpec)
		if !ok || len(variable.Names) != 1 || len(variable.Values) != 1 {
			return true
		}
		ast.Inspect(variable.Values[0], func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && isCall(call, "logging", "Define") {
				fields[file.Name.Name+"."+variable.Names[0].Name] = len(call.Args) - 2
			}
			return true
		})
		return true
	})
	return fields
}

// logCall is a call that logs an event.
type logCall struct {
	event  string // package and variable
	values int
	at     token.Position
}

// logCalls returns the calls in a file that log one of the events.
func logCalls(file source, fields map[string]int) []logCall {
	var calls []logCall
	ast.Inspect(file.File, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !isCall(call, "", "Log") {
			return true
		}
		event, values := qualifiedName(file, call.Fun.(*ast.SelectorExpr).X), len(call.Args)
		if values > 0 {
			first := qualifiedName(file, call.Args[0])
			if _, ok := fields[first]; ok { // the event is an argument of the function, as of Environment.Log
				event, values = first, values-1
			}
		}
		if _, ok := fields[event]; ok {
			calls = append(calls, logCall{event, values, file.fset.Position(call.Pos())})
		}
		return true
	})
	return calls
}

// Each event must be logged somewhere, always with one value for each field, and package log must not be
// used.
func TestEventsAreLoggedWithAllFields(t *testing.T) {
	files, fields := sources(t), map[string]int{}
	for _, file := range files {
		maps.Copy(fields, eventFields(file))
		for _, imported := range file.Imports {
			if imported.Path.Value == `"log"` {
				t.Errorf("%s: imports package log; want package logging", file.fset.Position(imported.Pos()))
			}
		}
	}
	logged := map[string]bool{}
	for _, file := range files {
		for _, call := range logCalls(file, fields) {
			logged[call.event] = true
			if want := fields[call.event]; call.values != want {
				t.Errorf("%s: event is logged with %d values, want %d", call.at, call.values, want)
			}
		}
	}
	for event := range fields {
		if !logged[event] {
			t.Errorf("found no call that logs %s", event)
		}
	}
	if len(logged) < len(logging.Events())-5 { // package logging does not log its own events by calls of Log
		t.Errorf("found calls that log %d of %d events, want all but 5 at most", len(logged), len(logging.Events()))
	}
}

// isCall reports whether a call is of the function or method name, and of package pkg unless pkg is empty.
func isCall(call *ast.CallExpr, pkg, name string) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != name {
		return false
	}
	x, ok := selector.X.(*ast.Ident)
	return pkg == "" || ok && x.Name == pkg
}

// qualifiedName returns the name of a variable with its package, which is the file's own for a plain name.
func qualifiedName(file source, e ast.Expr) string {
	switch x := e.(type) {
	case *ast.Ident:
		return file.Name.Name + "." + x.Name
	case *ast.SelectorExpr:
		if pkg, ok := x.X.(*ast.Ident); ok {
			return pkg.Name + "." + x.Sel.Name
		}
	}
	return ""
}
