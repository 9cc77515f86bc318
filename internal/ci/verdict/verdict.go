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
	Action  string
	Package string
	Test    string
	Output  string
}

// The actions that end a test or a package, and the one that begins a test.
const (
	actionRun       = "run"
	actionPass      = "pass"
	actionFail      = "fail"
	actionSkip      = "skip"
	actionOutput    = "output"
	actionBuildFail = "build-fail"
)

// testName is one test of a package.
type testName struct{ pkg, test string }

// Results is how the tests and packages of a run ended.
type Results struct {
	tests      map[testName]string // the action that ended each, or run
	packages   map[string]string
	unbuilt    int                   // packages that could not be built
	transcript map[testName][]string // the output of tests that have not passed
}

// longestLine bounds a line of the output.
const longestLine = 16 << 20

// ReadResults reads a run to its end. It passes on what packages print, and what tests print that
// fail.
func ReadResults(r io.Reader, out io.Writer) (*Results, error) {
	results := &Results{
		tests:      map[testName]string{},
		packages:   map[string]string{},
		transcript: map[testName][]string{},
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("no output of go test -json: %w: %s", err, lines.Text())
		}
		results.add(&e, out)
	}
	if len(results.packages) == 0 && lines.Err() == nil {
		return nil, errors.New("no package has ended")
	}
	return results, lines.Err()
}

// add takes one event.
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

// Judge gives what makes a run red; nothing: it is green.
func Judge(r *Results, known []KnownFailure) (problems []string) {
	if r.unbuilt > 0 {
		problems = append(problems, fmt.Sprintf("%d packages cannot be built", r.unbuilt))
	}
	excused := map[string]bool{} // packages with a known failure
	for name, ended := range r.tests {
		switch {
		case ended == actionRun:
			problems = append(problems, fmt.Sprintf("%s of %s has not ended", name.test, name.pkg))
		case ended != actionFail || r.hasFailingPart(name):
		case slices.ContainsFunc(known, func(k KnownFailure) bool { return k.covers(name.test) }):
			excused[name.pkg] = true
		default:
			problems = append(problems, fmt.Sprintf("%s of %s fails", name.test, name.pkg))
		}
	}
	for pkg, ended := range r.packages {
		if ended == actionFail && !excused[pkg] {
			problems = append(problems, pkg+" fails")
		}
	}
	for i := range known {
		problems = append(problems, r.checkKnown(&known[i])...)
	}
	slices.Sort(problems)
	return problems
}

// hasFailingPart tells whether a test fails for one of its subtests.
func (r *Results) hasFailingPart(name testName) bool {
	for other, ended := range r.tests {
		if ended == actionFail && other.pkg == name.pkg && strings.HasPrefix(other.test, name.test+"/") {
			return true
		}
	}
	return false
}

// checkKnown gives what is wrong with a known failure: no test has its name, or it does not fail.
func (r *Results) checkKnown(k *KnownFailure) (problems []string) {
	found := false
	for name, ended := range r.tests {
		if name.test != k.Test {
			continue
		}
		if found = true; ended != actionFail {
			problems = append(
				problems,
				fmt.Sprintf(
					"KNOWN-RED.txt: %s of %s does not fail (%s): take it off the list",
					name.test,
					name.pkg,
					ended,
				),
			)
		}
	}
	if !found {
		problems = append(problems, "KNOWN-RED.txt: no test has the name "+k.Test)
	}
	return problems
}
