// Package scenario is the helper of the project's tests: a small language of lines, and stand-ins
// for all that the runner speaks to, which the lines name.
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
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// patience is how long an expected thing may take. No test waits for it unless it fails.
const patience = 10 * time.Second

// Actor is somebody whom the lines of a scenario name.
type Actor interface {
	Send(words []string) error
	Next(within time.Duration) (string, bool) // what it has seen next
	Close() error
}

// Play carries out the lines of a script. Blank lines and those that begin with # are skipped.
func Play(t testing.TB, script string, actors map[string]Actor) {
	t.Helper()
	for n, line := range strings.Split(strings.TrimSpace(script), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if err := play(words, actors); err != nil {
			t.Fatalf("line %d, %q: %v", n+1, strings.TrimSpace(line), err)
		}
	}
}

func play(words []string, actors map[string]Actor) error {
	if words[0] == "wait" {
		d, err := time.ParseDuration(words[1])
		time.Sleep(d)
		return err
	}
	a := actors[words[0]]
	if a == nil || len(words) < 2 {
		return fmt.Errorf("no such actor or verb")
	}
	switch rest := strings.Join(words[2:], " "); words[1] {
	case "send":
		return a.Send(words[2:])
	case "close":
		return a.Close()
	case "expect":
		within := patience
		if rest == "nothing" {
			within = 0
		}
		got, ok := a.Next(within)
		if !ok {
			got = "nothing"
		}
		if diff := cmp.Diff(rest, got); diff != "" {
			return fmt.Errorf("(-want +got)\n%s", diff)
		}
		return nil
	}
	return fmt.Errorf("unknown verb %q", words[1])
}

// Observations is the queue of what an actor has seen.
type Observations struct {
	mu    sync.Mutex
	lines []string
	more  chan struct{}
}

func newSeen() *Observations { return &Observations{more: make(chan struct{}, 1)} }

// Note adds what was seen.
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
func (s *Observations) Next(within time.Duration) (string, bool) {
	for late := time.After(within); ; {
		s.mu.Lock()
		if len(s.lines) > 0 {
			line := s.lines[0]
			s.lines = s.lines[1:]
			s.mu.Unlock()
			return line, true
		}
		s.mu.Unlock()
		if within == 0 {
			return "", false
		}
		select {
		case <-s.more:
		case <-late:
			return "", false
		}
	}
}

// options reads words of the form name=value.
func options(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		m[name] = value
	}
	return m
}
