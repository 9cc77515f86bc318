package cluster

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const scriptText = `0s aside n1
1s kill n2 --wipe --back 1s
2s stop n1 3s
2s cut n1 s1
2s cut n1 clients 1s
3s hold n1 s2 1s --there
3s hold n1 s2 --back-way
4s delay n1 s1 50ms
4s drip n1 s1 100
4s chop n3 clients 90
5s heal n1 s1
6s start n2 --old
7s drain n3 --back 0s
9s wait`

// badLines maps invalid lines to a part of the wanted error.
var badLines = map[string]string{
	"kill n1":           "time",
	"1s":                "verb",
	"1s explode n1":     "unknown verb",
	"1s cut n1":         "2 names",
	"1s kill":           "1 names",
	"1s stop n1":        "needs a time",
	"1s stop n1 -1s":    "needs a time",
	"1s drip n1 s1 0":   "number",
	"1s kill n1 5s":     "too many arguments",
	"1s kill n1 --back": "--back",
	"1s kill n1 --hard": "unknown flag",
	"-1s wait":          "time",
	"1s chop n1 s1 x":   "number",
}

func TestScriptRoundTrip(t *testing.T) {
	var lines []string
	for _, f := range parseScript(t, "# faults\n\n"+scriptText) {
		lines = append(lines, f.String())
	}
	if diff := cmp.Diff(strings.Split(scriptText, "\n"), lines); diff != "" {
		t.Error(diff)
	}
	for _, f := range RandomFaults(7, 100, time.Minute, 5, 3, true, true) {
		if diff := cmp.Diff([]Fault{f}, parseScript(t, f.String())); diff != "" {
			t.Errorf("%v parsed again (-want +got)\n%s", f, diff)
		}
	}
}

func TestBadLinesAreToldWithTheirNumber(t *testing.T) {
	for line, want := range badLines {
		_, err := ParseScript("\n" + line)
		if err == nil {
			t.Errorf("ParseScript() of %q = nil error, want one", line)
			continue
		}
		if !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("error for %q = %v; want the reason and line 2", line, err)
		}
	}
}

func TestFaultsOfUnknownPartiesAreRefused(t *testing.T) {
	c := &Cluster{Nodes: []*Node{{Name: "n1"}}}
	for _, line := range []string{"0s kill n9", "0s cut n1 n2", "0s cut n9 s1"} {
		if c.Play(parseScript(t, line), nil) == nil {
			t.Errorf("Play() of %q = nil, want an error", line)
		}
	}
}
