// Package scenario supports tests of the runner: test doubles of all parties that it talks to, and a small script
// language that controls them.
//
//	balancer send 1 hand-in key=a body=code
//	engine expect RUN 1 hand-in code
//	engine send done 1 fine 5/5
//	balancer expect 1 200 5/5
//	engine expect nothing
//	balancer close
//	wait 20ms
package scenario

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// expectTimeout bounds the wait for an expected observation. Only a failing test waits that long.
const expectTimeout = 10 * time.Second

// Actor is a test double. Scripts refer to it by name.
type Actor interface {
	// Send performs an action.
	Send(words []string) error
	// Next returns the next observation, waiting up to timeout; ok is false if there is none.
	Next(timeout time.Duration) (observation string, ok bool)
	Close() error
}

// Play executes the lines of a script. Blank lines and lines whose first word is # are skipped. The test fails at
// the first line that cannot be executed or whose expectation is not met.
func Play(t testing.TB, script string, actors map[string]Actor) {
	t.Helper()
	for n, line := range strings.Split(strings.TrimSpace(script), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if err := playLine(words, actors); err != nil {
			t.Fatalf("line %d, %q: %v", n+1, strings.TrimSpace(line), err)
		}
	}
}

// playLine executes one line.
func playLine(words []string, actors map[string]Actor) error {
	if words[0] == "wait" {
		d, err := time.ParseDuration(words[1])
		time.Sleep(d)
		return err
	}
	a := actors[words[0]]
	if a == nil || len(words) < 2 {
		return errors.New("unknown actor or missing verb")
	}
	switch rest := strings.Join(words[2:], " "); words[1] {
	case "send":
		return a.Send(words[2:])
	case "close":
		return a.Close()
	case "expect":
		timeout := expectTimeout
		if rest == "nothing" {
			timeout = 0
		}
		got, ok := a.Next(timeout)
		if !ok {
			got = "nothing"
		}
		if diff := cmp.Diff(rest, got); diff != "" {
			return fmt.Errorf("wrong observation (-want +got)\n%s", diff)
		}
		return nil
	}
	return fmt.Errorf("unknown verb %q", words[1])
}

// Observations is a queue of the observations of an actor. It is safe for concurrent use.
type Observations struct {
	mu    sync.Mutex
	lines []string
	more  chan struct{} // signals that lines were added
}

// newObservations returns an empty queue.
func newObservations() *Observations { return &Observations{more: make(chan struct{}, 1)} }

// Note adds an observation.
func (s *Observations) Note(format string, v ...any) {
	s.mu.Lock()
	s.lines = append(s.lines, strings.TrimSpace(fmt.Sprintf(format, v...)))
	s.mu.Unlock()
	select {
	case s.more <- struct{}{}:
	default:
	}
}

// Next implements Actor.
func (s *Observations) Next(timeout time.Duration) (string, bool) {
	for expired := time.After(timeout); ; {
		s.mu.Lock()
		if len(s.lines) > 0 {
			line := s.lines[0]
			s.lines = s.lines[1:]
			s.mu.Unlock()
			return line, true
		}
		s.mu.Unlock()
		if timeout == 0 {
			return "", false
		}
		select {
		case <-s.more:
		case <-expired:
			return "", false
		}
	}
}

// parseOptions parses words of the form name=value.
func parseOptions(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		m[name] = value
	}
	return m
}
