package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A line names a test, a cause and an issue, and there are three at the most.
func TestReadKnown(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []KnownFailure
		line int // that is wrong; 0: none
	}{
		"nothing":           {"\n\n", nil, 0},
		"one":               {"TestA, the link breaks, and twice, issue 36\n", []KnownFailure{{"TestA", "the link breaks, and twice", "issue 36"}}, 0},
		"a subtest":         {"TestA/b c, cause, issue 1\n", []KnownFailure{{"TestA/b c", "cause", "issue 1"}}, 0},
		"no test":           {"BenchmarkA, cause, issue 1\n", nil, 1},
		"without a cause":   {"\nTestA, , issue 1\n", nil, 2},
		"without an issue":  {"TestA, cause\n", nil, 1},
		"the issue's words": {"TestA, cause, soon\n", nil, 1},
		"a fourth":          {"TestA, c, issue 1\nTestB, c, issue 1\nTestC, c, issue 1\nTestD, c, issue 1\n", nil, 4},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ReadKnown(strings.NewReader(c.text))
			var wrong *KnownError
			if errors.As(err, &wrong) != (c.line > 0) || wrong != nil && wrong.Line != c.line {
				t.Fatalf("%v, want line %d", err, c.line)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

// events writes a run as go test -json does: `package/test action` each.
func events(run string) io.Reader {
	var b strings.Builder
	for line := range strings.Lines(run) {
		words := strings.Fields(line)
		if len(words) == 2 {
			pkg, test, _ := strings.Cut(words[0], ":")
			fmt.Fprintf(&b, `{"Action":%q,"Package":%q,"Test":%q}`+"\n", words[1], pkg, test)
		}
	}
	return strings.NewReader(b.String())
}

// A run is green if all tests pass but those that are listed, which have to fail.
func TestJudge(t *testing.T) {
	known := []KnownFailure{{"TestKnown", "cause", "issue 1"}}
	part := []KnownFailure{{"TestAll/known", "cause", "issue 1"}}
	for name, c := range map[string]struct {
		run   string
		known []KnownFailure
		want  []string
	}{
		"all pass":          {"p:TestA pass\np pass\nq skip", nil, nil},
		"one fails":         {"p:TestA fail\np fail", nil, []string{"TestA of p fails", "p fails"}},
		"a known one fails": {"p:TestA pass\np:TestKnown fail\np fail", known, nil},
		"another fails beside it": {"p:TestA fail\np:TestKnown fail\np fail\nq:TestB fail\nq fail", known,
			[]string{"TestA of p fails", "TestB of q fails", "q fails"}},
		"a known one passes":       {"p:TestKnown pass\np pass", known, []string{"KNOWN-RED.txt: TestKnown of p does not fail (pass): take it off the list"}},
		"a known one is skipped":   {"p:TestKnown skip\np pass", known, []string{"KNOWN-RED.txt: TestKnown of p does not fail (skip): take it off the list"}},
		"no test has the name":     {"p:TestA pass\np pass", known, []string{"KNOWN-RED.txt: no test has the name TestKnown"}},
		"a subtest is known":       {"p:TestAll/a pass\np:TestAll/known fail\np:TestAll fail\np fail", part, nil},
		"another subtest fails":    {"p:TestAll/a fail\np:TestAll/known fail\np:TestAll fail\np fail", part, []string{"TestAll/a of p fails"}},
		"a part of a known one":    {"p:TestKnown/a fail\np:TestKnown fail\np fail", known, nil},
		"a panic beside known":     {"p:TestKnown fail\np:TestA run\np fail", known, []string{"TestA of p has not ended"}},
		"a package without a test": {"p:TestA pass\np fail", nil, []string{"p fails"}},
		"one cannot be built":      {"p build-fail\np fail", nil, []string{"1 packages cannot be built", "p fails"}},
	} {
		t.Run(name, func(t *testing.T) {
			results, err := ReadResults(events(c.run), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, Judge(results, c.known)); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

// What is no output of go test, or ends before any package has, is an error and never green.
func TestReadResultsOfNothing(t *testing.T) {
	for _, text := range []string{"", "ok p\n", `{"Action":"run","Package":"p","Test":"TestA"}` + "\n"} {
		if _, err := ReadResults(strings.NewReader(text), io.Discard); err == nil {
			t.Errorf("%q is taken", text)
		}
	}
}

// What packages print is passed on, and of tests what those print that fail.
func TestOutputIsPassedOn(t *testing.T) {
	const run = `{"Action":"output","Package":"p","Test":"TestA","Output":"of a\n"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestB","Output":"of b\n"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Output":"FAIL p\n"}
{"Action":"fail","Package":"p"}
`
	var out strings.Builder
	if _, err := ReadResults(strings.NewReader(run), &out); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("of b\nFAIL p\n", out.String()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
