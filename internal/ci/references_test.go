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

// The tests, folders, files and declarations that pages name exist.
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
		t.Errorf("the pages refer to code %d times, want at least 150: the check does not read them", found)
	}
}

// pagePaths returns the paths of the pages, including those on results.
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
		t.Fatalf("%d pages, want at least 30: the check does not find them", len(pages))
	}
	return pages
}

// checkReference reports names that do not exist, and accepts names that do.
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
			t.Errorf("checkReference(%q) returned no error for code that does not exist", span)
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
			t.Errorf("checkReference(%q) = %v, %v, want a reference and no error", span, isReference, err)
		}
	}
}

// Column 5 of the tables of crossings.md names the code that decides each race. That code exists; it may be
// named without its package.
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
		t.Errorf("crossings.md names code %d times, want at least 60: the check does not read it", found)
	}
}

// codeSpans returns the code spans of a page, without code blocks. A span that is wrapped is joined to one
// line.
func codeSpans(page string) (spans []string) {
	for _, paragraph := range paragraphEnd.Split(codeBlock.ReplaceAllString(page, ""), -1) {
		for _, span := range codeSpan.FindAllStringSubmatch(paragraph, -1) {
			spans = append(spans, strings.Join(strings.Fields(span[1]), " "))
		}
	}
	return spans
}

// Code spans are found beside code blocks, in tables and across the end of a line, also after an unpaired
// backquote.
func TestCodeSpansArePaired(t *testing.T) {
	page := "One `a.B` and `two\n  words`.\n\n```\n`block\n```\n\n| `c` | `d` |\n| an open ` mark |\n- `e`\n"
	want := []string{"a.B", "two words", "c", "d", "e"}
	if got := codeSpans(page); !slices.Equal(got, want) {
		t.Errorf("codeSpans() = %q, want %q", got, want)
	}
}

// checkReference returns an error if a code span names a test, a path or a declaration that does not exist.
// isReference is false for spans that name none of these.
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

// checkCommand returns an error if a command names a folder or a test that does not exist.
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

// checkPath returns an error if a path does not exist. One part of it may be alternatives, such as {a,b}.
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

// checkName returns an error if the first part of a qualified name is a package or a type of the repository
// that does not declare the rest, and the name is not a file, a key of a setting, a log event or a kind of
// error either. An exported name of a package that is neither declared nor imported is also an error.
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
		t.Fatalf("log-events.md lists %d former names, want at least 20: the check does not read it", len(former))
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
