package ci

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	codeSpan      = regexp.MustCompile("`([^`]+)`")
	codeBlock     = regexp.MustCompile("(?ms)^ *```.*?^ *```$")
	paragraphEnd  = regexp.MustCompile(`\n\s*\n|\n(?:[#|]|\s*[-*] )`)
	testName      = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	sourcePath    = regexp.MustCompile(`^(?:internal|cmd)/[\w./*{},-]+$`)
	commandPath   = regexp.MustCompile(`(?:^| )\./((?:internal|cmd|example)/[\w/-]+)`)
	commandTest   = regexp.MustCompile(`-(?:run|bench) ((?:Test|Benchmark|Fuzz)\w+)`)
	qualifiedName = regexp.MustCompile(`^[A-Za-z]\w*(?:\.[A-Za-z]\w*)+$`)
	exportedName  = regexp.MustCompile(`^[a-z][a-z0-9]*\.[A-Z]`)
	alternatives  = regexp.MustCompile(`^(.*)\{([^}]*)\}(.*)$`)
	formerNameRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `[^`]+` \\|$")
)

// All pages name tests, folders, files and code that exist.
func TestPagesReferToExistingCode(t *testing.T) {
	pages := pagePaths(t)
	index := newCodeIndex(t)
	former := formerNames(t)
	found := 0
	for _, page := range pages {
		for _, span := range codeSpans(readPage(t, page)) {
			isReference, err := checkReference(index, former, span)
			if err != nil {
				t.Errorf("%s: %v", page, err)
			}
			if isReference {
				found++
			}
		}
	}
	if found < 150 {
		t.Errorf("the pages refer to code %d times: the check does not read them", found)
	}
}

// pagePaths returns the pages and those on results.
func pagePaths(t *testing.T) (pages []string) {
	t.Helper()
	for _, pattern := range []string{"docs/*.md", "docs/results/*/*.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, paths...)
	}
	if len(pages) < 30 {
		t.Fatalf("%d pages: the check does not find them", len(pages))
	}
	return pages
}

// The check of the pages finds names that do not exist.
func TestReferencesToMissingCodeAreFound(t *testing.T) {
	index := newCodeIndex(t)
	former := nameSet{"store.formerevent": true}
	for _, span := range []string{
		"TestNoSuchTest",
		"TestNoSuchTest/a row",
		"BenchmarkNoSuchBenchmark",
		"internal/nosuchpackage",
		"internal/{app,nosuchpackage}",
		"internal/nosuchfolder/*",
		"cmd/runner/nosuchfile.go",
		"eventloop.NoSuchFunction",
		"eventloop.Conn.noSuchMethod",
		"store.nosuchkey",
		"Controller.noSuchMethod",
		"nosuchpackage.Clock",
		"go test -run TestNoSuchTest ./internal/ci",
		"go test -run TestPagesReferToExistingCode ./internal/nosuchpackage",
	} {
		if _, err := checkReference(index, former, span); err == nil {
			t.Errorf("%s is taken for a name that exists", span)
		}
	}
	for _, span := range []string{
		"TestPagesReferToExistingCode",
		"internal/{app,ci}",
		"internal/peers/*",
		"eventloop.Conn.CloseGracefully",
		"store.dir",
		"store.formerevent",
		"Controller.admit",
		"go test -run TestPagesRefer ./internal/ci",
	} {
		if isReference, err := checkReference(index, former, span); err != nil || !isReference {
			t.Errorf("%s: a reference %v, %v", span, isReference, err)
		}
	}
}

// The page on races names code that exists in the column of where each is decided, also without a package.
func TestRacesNameTheCodeThatDecides(t *testing.T) {
	const column = 5
	index := newCodeIndex(t)
	found := 0
	for line := range strings.Lines(readPage(t, filepath.Join(root, "docs", "crossings.md"))) {
		cells := strings.Split(line, "|")
		if len(cells) <= column {
			continue
		}
		for _, span := range codeSpans(cells[column]) {
			parts := strings.Split(span, ".")
			name := parts[len(parts)-1]
			if found++; !index.declared[name] && len(index.packages[name]) == 0 {
				t.Errorf("crossings.md names %s, which does not exist", span)
			}
		}
	}
	if found < 60 {
		t.Errorf("crossings.md names code %d times: the check does not read it", found)
	}
}

// codeSpans returns the texts in code style of a page, without blocks of code. A text that is wrapped counts
// as one line.
func codeSpans(page string) (spans []string) {
	for _, paragraph := range paragraphEnd.Split(codeBlock.ReplaceAllString(page, ""), -1) {
		for _, span := range codeSpan.FindAllStringSubmatch(paragraph, -1) {
			spans = append(spans, strings.Join(strings.Fields(span[1]), " "))
		}
	}
	return spans
}

// Texts in code style are found beside blocks of code, in tables and over the end of a line.
func TestCodeSpansArePaired(t *testing.T) {
	page := "One `a.B` and `two\n  words`.\n\n```\n`block\n```\n\n| `c` | `d` |\n| an open ` mark |\n- `e`\n"
	want := []string{"a.B", "two words", "c", "d", "e"}
	if got := codeSpans(page); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// checkReference returns an error if a text in code style names a test, a path or a declaration that does
// not exist. isReference is false for other texts.
func checkReference(index *codeIndex, former nameSet, span string) (isReference bool, err error) {
	switch {
	case testName.MatchString(span):
		if name := testName.FindString(span); !index.declared[name] {
			return true, fmt.Errorf("there is no %s", name)
		}
		return true, nil
	case sourcePath.MatchString(span):
		return true, checkPath(span)
	case qualifiedName.MatchString(span):
		return checkName(index, former, span)
	case strings.Contains(span, " "):
		return checkCommand(index, span)
	}
	return false, nil
}

// checkCommand returns an error if a command names a folder that does not exist, or runs no test.
func checkCommand(index *codeIndex, command string) (isReference bool, err error) {
	for _, m := range commandPath.FindAllStringSubmatch(command, -1) {
		isReference, err = true, errors.Join(err, checkPath(m[1]))
	}
	for _, m := range commandTest.FindAllStringSubmatch(command, -1) {
		isReference = true
		if !index.declaresPrefix(m[1]) {
			err = errors.Join(err, fmt.Errorf("there is no %s", m[1]))
		}
	}
	return isReference, err
}

// checkPath returns an error if a path, of which one part may be a list of alternatives, does not exist.
func checkPath(path string) error {
	if m := alternatives.FindStringSubmatch(path); m != nil {
		for part := range strings.SplitSeq(m[2], ",") {
			if err := checkPath(m[1] + part + m[3]); err != nil {
				return err
			}
		}
		return nil
	}
	matches, err := filepath.Glob(filepath.Join(root, path))
	if err == nil && len(matches) == 0 {
		err = fmt.Errorf("there is no %s", path)
	}
	return err
}

// checkName returns an error if a qualified name whose first part is a package or a type of the repository
// is not declared there, and is no file, key of a setting, log event or kind of error either.
func checkName(index *codeIndex, former nameSet, name string) (isReference bool, err error) {
	parts := strings.Split(name, ".")
	scope := index.scope(parts[0])
	if len(scope) == 0 {
		if exportedName.MatchString(name) && !index.imports[parts[0]] {
			return true, fmt.Errorf("%s: there is no package %s", name, parts[0])
		}
		return false, nil
	}
	if index.files[name] || index.strings[name] || index.isKeyPath(parts) || former[name] {
		return true, nil
	}
	for _, part := range parts[1:] {
		if !scope[part] {
			return true, fmt.Errorf("%s: %s has no %s", name, parts[0], part)
		}
	}
	return true, nil
}

// formerNames returns the former names of log events and kinds of errors, which pages may still mention.
func formerNames(t *testing.T) nameSet {
	t.Helper()
	former := nameSet{}
	text := readPage(t, filepath.Join(root, "docs", "log-events.md"))
	for _, row := range formerNameRow.FindAllStringSubmatch(text, -1) {
		former[row[1]] = true
	}
	if len(former) < 20 {
		t.Fatalf("log-events.md lists %d former names: the check does not read it", len(former))
	}
	return former
}

// readPage returns the text of a page.
func readPage(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
