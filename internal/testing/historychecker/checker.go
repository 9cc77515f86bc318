// Package checker looks from outside at what callers asked and were told, and at what servers ran,
// and says which promises were broken.
package historychecker

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is how a try ended, as its caller saw it.
type Outcome uint8

// The ends.
const (
	Unknown  Outcome = iota // its connection broke, or it had no answer in time
	Served                  // with a result
	Rejected                // it never ran; a later one may
	Failed                  // it may have run, and no result is to be had
)

func (e Outcome) String() string { return [...]string{"unknown", "served", "refused", "failed"}[e] }

// OutcomeOf reads a status of the second front.
func OutcomeOf(status int) Outcome {
	switch status {
	case 200:
		return Served
	case 503:
		return Rejected
	case 502, 504, 409:
		return Failed
	}
	return Unknown
}

// Response is what one try of a key was told.
type Response struct {
	Outcome Outcome
	Result  string
	Status  int // as it was on the wire; 0: nothing whole came
}

// Record is one try: when it was asked and answered, where, and what it was told. Times are since
// the beginning of the run.
type Record struct {
	Key, At      string
	Asked, Ended time.Duration
	Response     Response
}

// History is what callers saw. Its methods may be called from any goroutine.
type History struct {
	mu      sync.Mutex
	records []Record
}

// Add notes a try that has ended.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
}

// Count is how many tries ended in each way.
func (h *History) Count() map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := map[Outcome]int{}
	for _, r := range h.records {
		n[r.Response.Outcome]++
	}
	return n
}

// CountAt is the same for each runner.
func (h *History) CountAt() map[string]map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	by := map[string]map[Outcome]int{}
	for _, r := range h.records {
		if by[r.At] == nil {
			by[r.At] = map[Outcome]int{}
		}
		by[r.At][r.Response.Outcome]++
	}
	return by
}

// Model is the register that a key is: written once, by the run whose result was given first. A
// refusal and an unknown end say nothing of it; that it may have run and has no result can be true
// only before it was given.
var Model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		given, told := state.(string), output.(Response)
		switch told.Outcome {
		case Served:
			return given == "" || given == told.Result, told.Result
		case Failed:
			return given == "", given
		}
		return true, given
	},
}

// Verdict is what is wrong; nothing, if it is empty.
type Verdict []string

func (v Verdict) String() string {
	if len(v) == 0 {
		return "no promise was broken"
	}
	return fmt.Sprintf("%d broken:\n  %s", len(v), strings.Join(v, "\n  "))
}

// searchFor bounds the search for an order of the tries of one key.
const searchFor = 10 * time.Second

// Check holds the tries of each key against the register, and the runs of all servers against once.
// The keys that were asked are known; a run of another is a fault too.
func (h *History) Check(ran map[string]int) Verdict {
	h.mu.Lock()
	records := slices.Clone(h.records)
	h.mu.Unlock()
	byKey := map[string][]porcupine.Operation{}
	served := map[string]bool{}
	for i, r := range records {
		byKey[r.Key] = append(
			byKey[r.Key],
			porcupine.Operation{
				ClientId: i,
				Input:    r.Key,
				Call:     int64(r.Asked),
				Output:   r.Response,
				Return:   int64(r.Ended),
			},
		)
		served[r.Key] = served[r.Key] || r.Response.Outcome == Served
	}
	var v Verdict
	for key, ops := range byKey {
		switch porcupine.CheckOperationsTimeout(Model, ops, searchFor) {
		case porcupine.Illegal:
			v = append(v, fmt.Sprintf("%s has no order of its tries: %s", key, tell(records, key)))
		case porcupine.Unknown:
			v = append(v, fmt.Sprintf("%s was not judged within %v", key, searchFor))
		}
		if served[key] && ran[key] == 0 {
			v = append(v, key+" was served and did not run")
		}
	}
	for key, n := range ran {
		if n > 1 {
			v = append(v, fmt.Sprintf("%s ran %d times: %s", key, n, tell(records, key)))
		}
		if byKey[key] == nil {
			v = append(v, key+" ran and was not asked for")
		}
	}
	slices.Sort(v)
	return v
}

// tell is the tries of a key in words.
func tell(records []Record, key string) string {
	var words []string
	for _, r := range records {
		if r.Key == key {
			words = append(
				words,
				fmt.Sprintf(
					"at %s from %v to %v %v %q (%d)",
					r.At,
					r.Asked.Round(time.Millisecond),
					r.Ended.Round(time.Millisecond),
					r.Response.Outcome,
					r.Response.Result,
					r.Response.Status,
				),
			)
		}
	}
	return strings.Join(words, "; ")
}
