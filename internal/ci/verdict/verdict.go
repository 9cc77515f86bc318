package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of `go test -json`.
type event struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// The actions that are evaluated.
const (
	actionRun       = "run"
	actionPass      = "pass"
	actionFail      = "fail"
	actionSkip      = "skip"
	actionOutput    = "output"
	actionBuildFail = "build-fail"
)

// testName identifies a test or subtest.
type testName struct{ pkg, test string }

// Results holds the outcomes of the tests and packages of a run.
type Results struct {
	tests      map[testName]string   // last action of each test; actionRun: the test has not ended
	packages   map[string]string     // action that ended each package
	unbuilt    int                   // packages that could not be built
	transcript map[testName][]string // output of the tests that have not ended
}

// maxLineBytes bounds a line of the input.
const maxLineBytes = 16 << 20

// ReadResults reads a run to its end. It copies the output of packages and of failing tests to out. Input
// that is not the output of go test -json, or in which no package ends, is an error.
func ReadResults(r io.Reader, out io.Writer) (*Results, error) {
	results := &Results{
		tests:      map[testName]string{},
		packages:   map[string]string{},
		transcript: map[testName][]string{},
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("not the output of go test -json: %w: %s", err, lines.Text())
		}
		results.add(&e, out)
	}
	if len(results.packages) == 0 && lines.Err() == nil {
		return nil, errors.New("no package has ended")
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the output of go test: %w", err)
	}
	return results, nil
}

// add records one event.
func (r *Results) add(e *event, out io.Writer) {
	name := testName{e.Package, e.Test}
	switch e.Action {
	case actionBuildFail:
		r.unbuilt++
	case actionOutput:
		if e.Test == "" {
			fmt.Fprint(out, e.Output)
		} else {
			r.transcript[name] = append(r.transcript[name], e.Output)
		}
	case actionRun:
		r.tests[name] = actionRun
	case actionPass, actionFail, actionSkip:
		if e.Test == "" {
			r.packages[e.Package] = e.Action
			return
		}
		r.tests[name] = e.Action
		if e.Action == actionFail {
			fmt.Fprint(out, strings.Join(r.transcript[name], ""))
		}
		delete(r.transcript, name)
	}
}

// Evaluate returns the problems that make a run red. A run without problems is green.
func Evaluate(r *Results, known []KnownFailure) (problems []string) {
	if r.unbuilt > 0 {
		problems = append(problems, fmt.Sprintf("%d packages cannot be built", r.unbuilt))
	}
	excused := map[string]bool{} // packages that fail because of a known failure
	for name, action := range r.tests {
		switch {
		case action == actionRun:
			problems = append(problems, fmt.Sprintf("%s of %s has not ended", name.test, name.pkg))
		case action != actionFail || r.hasFailingSubtest(name):
		case slices.ContainsFunc(known, func(k KnownFailure) bool { return k.covers(name.test) }):
			excused[name.pkg] = true
		default:
			problems = append(problems, fmt.Sprintf("%s of %s fails", name.test, name.pkg))
		}
	}
	for pkg, action := range r.packages {
		if action == actionFail && !excused[pkg] {
			problems = append(problems, pkg+" fails")
		}
	}
	for i := range known {
		problems = append(problems, r.checkKnown(&known[i])...)
	}
	slices.Sort(problems)
	return problems
}

// hasFailingSubtest reports whether one of the subtests of a test fails.
func (r *Results) hasFailingSubtest(name testName) bool {
	for other, action := range r.tests {
		if action == actionFail && other.pkg == name.pkg && strings.HasPrefix(other.test, name.test+"/") {
			return true
		}
	}
	return false
}

// checkKnown returns the problems of an entry of the list: no test has its name, or the test does not fail.
func (r *Results) checkKnown(k *KnownFailure) (problems []string) {
	found := false
	for name, action := range r.tests {
		if name.test != k.Test {
			continue
		}
		found = true
		if action != actionFail {
			problems = append(
				problems,
				fmt.Sprintf("KNOWN-RED.txt:%d: %s of %s does not fail (%s): remove its entry",
					k.Line, name.test, name.pkg, action),
			)
		}
	}
	if !found {
		problems = append(problems, fmt.Sprintf("KNOWN-RED.txt:%d: no test has the name %s", k.Line, k.Test))
	}
	return problems
}
