package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// entry returns an entry of the list, with some values replaced. A line whose value is replaced by an empty
// one is left out.
func entry(replaced map[string]string) string {
	var b strings.Builder
	for _, part := range [][2]string{
		{"test", "TestA"},
		{"command", "go test -run TestA ./p"},
		{"seed", "7"},
		{"seen", "it is answered twice"},
		{"issue", "31"},
	} {
		value, ok := replaced[part[0]]
		switch {
		case !ok:
			fmt.Fprintf(&b, "%s: %s\n", part[0], part[1])
		case value != "":
			fmt.Fprintf(&b, "%s: %s\n", part[0], value)
		}
	}
	return b.String()
}

func TestReadKnownWantsAllPartsOfEachEntry(t *testing.T) {
	first := KnownFailure{"TestA", "go test -run TestA ./p", "7", "it is answered twice", "31", 1}
	subtest := first
	subtest.Test, subtest.Line = "TestA/b c", 8
	var many []KnownFailure
	for i := range 5 {
		many = append(many, first)
		many[i].Line = 1 + 6*i
	}
	for name, c := range map[string]struct {
		text string
		want []KnownFailure
		line int    // line of the expected error; 0: no error
		says string // part of the expected error
	}{
		"nothing": {"\n\n# a comment\n", nil, 0, ""},
		"one":     {entry(nil), []KnownFailure{first}, 0, ""},
		"a subtest": {
			entry(nil) + "# why\n\n" + entry(map[string]string{"test": "TestA/b c"}),
			[]KnownFailure{first, subtest},
			0,
			"",
		},
		"more than three":     {strings.Repeat(entry(nil)+"\n", 5), many, 0, ""},
		"no test":             {entry(map[string]string{"test": "BenchmarkA"}), nil, 1, "not the name of a test"},
		"without a test":      {entry(map[string]string{"test": ""}), nil, 1, "no test"},
		"without a command":   {entry(nil) + "\n" + entry(map[string]string{"command": ""}), nil, 7, "no command"},
		"without a seed":      {entry(map[string]string{"seed": ""}), nil, 1, "no seed"},
		"without what's seen": {"\n" + entry(map[string]string{"seen": ""}), nil, 2, "no seen"},
		"without an issue":    {entry(map[string]string{"issue": ""}), nil, 1, "no issue"},
		"the issue's words":   {entry(map[string]string{"issue": "soon"}), nil, 1, "not the number of an issue"},
		"an unknown part":     {entry(nil) + "cause: a race\n", nil, 6, "unknown label"},
		"two in one":          {entry(nil) + entry(nil), nil, 6, "a second test"},
		"the former form":     {"TestA, the link breaks, issue 36\n", nil, 1, "unknown label"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := ReadKnown(strings.NewReader(c.text))
			var wrong *KnownError
			if errors.As(err, &wrong) != (c.line > 0) || wrong != nil && wrong.Line != c.line {
				t.Fatalf("ReadKnown() = %v, want a KnownError at line %d (0: none)", err, c.line)
			}
			if err != nil && !strings.Contains(err.Error(), c.says) {
				t.Errorf("ReadKnown() = %v, want the text %q", err, c.says)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("ReadKnown() (-want +got)\n%s", diff)
			}
		})
	}
}

// events returns the output of go test -json for a run, whose lines are "package:test action" or
// "package action".
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

func TestRunIsGreenIfKnownFailuresFailAndAllElsePasses(t *testing.T) {
	known := []KnownFailure{{Test: "TestKnown", Line: 1}}
	part := []KnownFailure{{Test: "TestAll/known", Line: 1}}
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
		"a known one passes": {
			"p:TestKnown pass\np pass",
			known,
			[]string{"KNOWN-RED.txt:1: TestKnown of p does not fail (pass): remove its entry"},
		},
		"a known one is skipped": {
			"p:TestKnown skip\np pass",
			known,
			[]string{"KNOWN-RED.txt:1: TestKnown of p does not fail (skip): remove its entry"},
		},
		"no test has the name": {
			"p:TestA pass\np pass",
			known,
			[]string{"KNOWN-RED.txt:1: no test has the name TestKnown"},
		},
		"a subtest is known": {"p:TestAll/a pass\np:TestAll/known fail\np:TestAll fail\np fail", part, nil},
		"another subtest fails": {
			"p:TestAll/a fail\np:TestAll/known fail\np:TestAll fail\np fail",
			part,
			[]string{"TestAll/a of p fails"},
		},
		"a part of a known one": {"p:TestKnown/a fail\np:TestKnown fail\np fail", known, nil},
		"a panic beside known": {
			"p:TestKnown fail\np:TestA run\np fail",
			known,
			[]string{"TestA of p has not ended"},
		},
		"a package without a test": {"p:TestA pass\np fail", nil, []string{"p fails"}},
		"one cannot be built": {
			"p build-fail\np fail",
			nil,
			[]string{"1 packages cannot be built", "p fails"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			results, err := ReadResults(events(c.run), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, Evaluate(results, c.known)); diff != "" {
				t.Errorf("Evaluate() (-want +got)\n%s", diff)
			}
		})
	}
}

func TestInputWithoutAnEndedPackageIsAnError(t *testing.T) {
	for _, text := range []string{"", "ok p\n", `{"Action":"run","Package":"p","Test":"TestA"}` + "\n"} {
		if _, err := ReadResults(strings.NewReader(text), io.Discard); err == nil {
			t.Errorf("ReadResults(%q) returned no error", text)
		}
	}
}

func TestOutputOfPackagesAndFailingTestsIsPassedOn(t *testing.T) {
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
		t.Errorf("output of ReadResults() (-want +got)\n%s", diff)
	}
}

func TestRunPrintsKnownFailuresThatItPassesOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte(entry(nil)), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		events string
		green  bool
		want   string
	}{
		"it fails": {"p:TestA fail\np fail", true, ""},
		"it passes": {
			"p:TestA pass\np pass",
			false,
			"red: KNOWN-RED.txt:1: TestA of p does not fail (pass): remove its entry\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			green, err := run(path, events(c.events), &out)
			if err != nil || green != c.green {
				t.Errorf("run() = %v, %v, want %v and no error", green, err, c.green)
			}
			want := "known red, passed over: TestA (issue 31): it is answered twice; " +
				"again with: go test -run TestA ./p, seed 7\n" + c.want
			if diff := cmp.Diff(want, out.String()); diff != "" {
				t.Errorf("output of run() (-want +got)\n%s", diff)
			}
		})
	}
}
