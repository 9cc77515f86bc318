package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// mostKnown is how many tests may be known to fail.
const mostKnown = 3

// KnownFailure is a test that is known to fail for a fault that is not mended yet.
type KnownFailure struct {
	Test  string // with its subtest, if only that fails
	Cause string
	Issue string
}

// KnownError is a line that is not a known failure.
type KnownError struct {
	Line   int
	Reason string
}

func (e *KnownError) Error() string { return fmt.Sprintf("KNOWN-RED.txt:%d: %s", e.Line, e.Reason) }

// issueForm is how an issue is named at the end of a line.
var issueForm = regexp.MustCompile(`^issue \d+$`)

// ReadKnown reads a list of known failures: a line each, `TestName, cause, issue N`.
func ReadKnown(r io.Reader) (known []KnownFailure, err error) {
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		failure, reason := parseKnown(text)
		switch {
		case reason != "":
			return nil, &KnownError{number, reason}
		case len(known) == mostKnown:
			return nil, &KnownError{number, fmt.Sprintf("more than %d tests are listed", mostKnown)}
		}
		known = append(known, failure)
	}
	return known, lines.Err()
}

// parseKnown reads one line, or says what is wrong with it.
func parseKnown(text string) (failure KnownFailure, reason string) {
	name, rest, _ := strings.Cut(text, ",")
	last := strings.LastIndex(rest, ",")
	if last < 0 {
		return failure, "want `TestName, cause, issue N`"
	}
	failure = KnownFailure{
		strings.TrimSpace(name),
		strings.TrimSpace(rest[:last]),
		strings.TrimSpace(rest[last+1:]),
	}
	switch {
	case !strings.HasPrefix(failure.Test, "Test"):
		return failure, fmt.Sprintf("%q is no test's name", failure.Test)
	case failure.Cause == "":
		return failure, "no cause is given"
	case !issueForm.MatchString(failure.Issue):
		return failure, fmt.Sprintf("%q is no issue: want `issue N`", failure.Issue)
	}
	return failure, ""
}

// covers tells whether a failing test is the known one, or a part of it.
func (k *KnownFailure) covers(test string) bool {
	return test == k.Test || strings.HasPrefix(test, k.Test+"/")
}
