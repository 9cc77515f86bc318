package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// KnownFailure is a test that is expected to fail, because of a fault that is not fixed yet.
type KnownFailure struct {
	Test    string // name of the test, with its subtest if only that one fails
	Command string // command that reproduces the failure
	Seed    string // seed of that run, or "none"
	Seen    string // what the run showed
	Issue   string // number of the open issue
	Line    int    // line of the list at which the entry begins, from 1
}

// KnownError reports an entry of the list that is malformed.
type KnownError struct {
	Line   int // from 1
	Reason string
}

// Error implements error.
func (e *KnownError) Error() string { return fmt.Sprintf("KNOWN-RED.txt:%d: %s", e.Line, e.Reason) }

// issueNumber matches the number of an issue.
var issueNumber = regexp.MustCompile(`^\d+$`)

// ReadKnown reads a list of known failures. Entries are separated by blank lines and have five
// parts, one a line, in any order; lines that begin with # are comments:
//
//	test: TestName/subtest
//	command: go test -race -run TestName ./internal/lifecycle
//	seed: 42
//	seen: the second attempt is answered twice
//	issue: 31
//
// A malformed entry is a *KnownError.
func ReadKnown(r io.Reader) ([]KnownFailure, error) {
	var known []KnownFailure
	var entry *KnownFailure
	finish := func() error {
		if entry == nil {
			return nil
		}
		if reason := entry.problem(); reason != "" {
			return &KnownError{Line: entry.Line, Reason: reason}
		}
		known = append(known, *entry)
		entry = nil
		return nil
	}
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		text := strings.TrimSpace(lines.Text())
		if strings.HasPrefix(text, "#") {
			continue
		}
		if text == "" {
			if err := finish(); err != nil {
				return nil, err
			}
			continue
		}
		if entry == nil {
			entry = &KnownFailure{Line: number}
		}
		if reason := entry.set(text); reason != "" {
			return nil, &KnownError{Line: number, Reason: reason}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the known failures: %w", err)
	}
	if err := finish(); err != nil {
		return nil, err
	}
	return known, nil
}

// part returns the field for a label of the list, or nil.
func (k *KnownFailure) part(label string) *string {
	switch label {
	case "test":
		return &k.Test
	case "command":
		return &k.Command
	case "seed":
		return &k.Seed
	case "seen":
		return &k.Seen
	case "issue":
		return &k.Issue
	}
	return nil
}

// set sets the field that a line of an entry names, and returns why the line is invalid, or an empty string.
func (k *KnownFailure) set(line string) (reason string) {
	label, value, _ := strings.Cut(line, ":")
	field := k.part(label)
	switch {
	case field == nil:
		return fmt.Sprintf("unknown label %q: want test, command, seed, seen or issue", label)
	case *field != "":
		return fmt.Sprintf("a second %s in one entry: separate entries by a blank line", label)
	}
	*field = strings.TrimSpace(value)
	return ""
}

// problem returns why an entry is invalid, or an empty string.
func (k *KnownFailure) problem() (reason string) {
	for _, label := range []string{"test", "command", "seed", "seen", "issue"} {
		if *k.part(label) == "" {
			return "the entry has no " + label
		}
	}
	switch {
	case !strings.HasPrefix(k.Test, "Test"):
		return fmt.Sprintf("%q is not the name of a test", k.Test)
	case !issueNumber.MatchString(k.Issue):
		return fmt.Sprintf("%q is not the number of an issue", k.Issue)
	}
	return ""
}

// covers reports whether a failing test is the known one, or one of its subtests.
func (k *KnownFailure) covers(test string) bool {
	return test == k.Test || strings.HasPrefix(test, k.Test+"/")
}

// String returns the description that CI prints of a known failure.
func (k *KnownFailure) String() string {
	return fmt.Sprintf(
		"%s (issue %s): %s; again with: %s, seed %s",
		k.Test,
		k.Issue,
		k.Seen,
		k.Command,
		k.Seed,
	)
}
