// Package ci holds checks of the repository itself, which run with its tests.
package ci

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
)

const root = "../.."

// eachGoFile parses each Go file of the repository, including tests.
func eachGoFile(t *testing.T, visit func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal"):
			return filepath.SkipDir
		case filepath.Ext(path) != ".go":
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// declared returns the names of all functions, methods and types of the repository, including tests.
func declared(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	eachGoFile(t, func(_ string, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				names[n.Name.Name] = true
			case *ast.TypeSpec:
				names[n.Name.Name] = true
			}
			return true
		})
	})
	return names
}

// The functions, types and tests that request-path.md and shutdown.md name exist, and so do the tests that
// crossings.md names.
func TestPagesNameExistingFunctions(t *testing.T) {
	names := declared(t)
	code := regexp.MustCompile("`([A-Za-z]+(?:\\.[A-Za-z]+)*)(?:/[^`]*)?`")
	for page, wants := range map[string]func(name string) bool{
		"request-path.md": func(string) bool { return true },
		"shutdown.md":     func(string) bool { return true },
		"crossings.md":    func(name string) bool { return strings.HasPrefix(name, "Test") && name != "Test" },
	} {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, m := range code.FindAllStringSubmatch(string(text), -1) {
			parts := strings.Split(m[1], ".")
			name := parts[len(parts)-1]
			if m[1] == "DrainGrace" || m[1] == "drain.done" || m[1] == "internal" || !wants(name) {
				continue // a setting, an event, a folder
			}
			if found++; !names[name] {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
		if found < 10 {
			t.Errorf("%s names %d functions, want at least 10: the check does not read it", page, found)
		}
	}
}
