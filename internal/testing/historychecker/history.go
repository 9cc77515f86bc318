// Package historychecker checks a history of requests against the guarantees of the runner: what callers
// sent and received, and what servers ran. Keys are checked for linearizability with porcupine.
package historychecker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Outcome is how an attempt ended, as its caller saw it.
type Outcome uint8

// The outcomes of an attempt.
const (
	Unknown  Outcome = iota // the connection broke, or there was no answer in time
	Served                  // with a result
	Rejected                // it did not run; a later attempt may run
	Failed                  // it may have run, and no result will be returned
)

// String returns the name of the outcome, as it is printed.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case Rejected:
		return "refused"
	case Failed:
		return "failed"
	}
	return "unknown"
}

// OutcomeOf returns the outcome for a status of the uwsgi frontend.
func OutcomeOf(status int) Outcome {
	switch status {
	case http.StatusOK:
		return Served
	case http.StatusServiceUnavailable:
		return Rejected
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusConflict:
		return Failed
	}
	return Unknown
}

// Response is what one attempt received.
type Response struct {
	Outcome Outcome
	Result  string
	Status  int // on the wire; 0: there was no complete answer
}

// Record is one attempt. Times are relative to the start of the run.
type Record struct {
	Key      string
	Runner   string // receiver of the attempt
	SentAt   time.Duration
	EndedAt  time.Duration
	Response Response
}

// History collects the attempts of all callers. Its methods are safe for concurrent use.
type History struct {
	mu      sync.Mutex
	records []Record
}

// Add adds an attempt that has ended.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, r)
}

// Count returns the number of attempts by outcome.
func (h *History) Count() map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := map[Outcome]int{}
	for _, r := range h.records {
		n[r.Response.Outcome]++
	}
	return n
}

// CountByRunner returns the number of attempts by runner and outcome.
func (h *History) CountByRunner() map[string]map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	by := map[string]map[Outcome]int{}
	for _, r := range h.records {
		if by[r.Runner] == nil {
			by[r.Runner] = map[Outcome]int{}
		}
		by[r.Runner][r.Response.Outcome]++
	}
	return by
}

// Model is the sequential model of a key: a register that is written once, with the first result that a caller
// received. Rejected and Unknown are possible in any state, Failed only before the register is written.
var Model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		written := state.(string)
		response := output.(Response)
		switch response.Outcome {
		case Served:
			return written == "" || written == response.Result, response.Result
		case Failed:
			return written == "", written
		}
		return true, written
	},
}

// Verdict lists violations of the guarantees.
type Verdict []string

// String returns the number of violations and one line for each.
func (v Verdict) String() string {
	if len(v) == 0 {
		return "no promise was broken"
	}
	return fmt.Sprintf("%d broken:\n  %s", len(v), strings.Join(v, "\n  "))
}

// searchTimeout bounds the search for an order of the attempts of one key.
const searchTimeout = 10 * time.Second

// Check checks the attempts of each key against Model. ran is how often servers ran each key: no key may run
// twice, and only keys that were sent may run.
func (h *History) Check(ran map[string]int) Verdict {
	h.mu.Lock()
	records := slices.Clone(h.records)
	h.mu.Unlock()
	operations, served := operationsByKey(records)
	var v Verdict
	for key, ops := range operations {
		switch porcupine.CheckOperationsTimeout(Model, ops, searchTimeout) {
		case porcupine.Illegal:
			v = append(v, fmt.Sprintf("%s has no order of its tries: %s", key, describe(records, key)))
		case porcupine.Unknown:
			v = append(v, fmt.Sprintf("%s was not judged within %v", key, searchTimeout))
		}
		if served[key] && ran[key] == 0 {
			v = append(v, key+" was served and did not run")
		}
	}
	for key, n := range ran {
		if n > 1 {
			v = append(v, fmt.Sprintf("%s ran %d times: %s", key, n, describe(records, key)))
		}
		if operations[key] == nil {
			v = append(v, key+" ran and was not asked for")
		}
	}
	slices.Sort(v)
	return v
}

// operationsByKey returns the attempts of each key for porcupine, and which keys were served.
func operationsByKey(records []Record) (operations map[string][]porcupine.Operation, served map[string]bool) {
	operations = map[string][]porcupine.Operation{}
	served = map[string]bool{}
	for i, r := range records {
		operations[r.Key] = append(operations[r.Key], porcupine.Operation{
			ClientId: i,
			Input:    r.Key,
			Call:     int64(r.SentAt),
			Output:   r.Response,
			Return:   int64(r.EndedAt),
		})
		served[r.Key] = served[r.Key] || r.Response.Outcome == Served
	}
	return operations, served
}

// describe lists the attempts of a key for a violation.
func describe(records []Record, key string) string {
	var words []string
	for _, r := range records {
		if r.Key != key {
			continue
		}
		from, to := r.SentAt.Round(time.Millisecond), r.EndedAt.Round(time.Millisecond)
		words = append(words, fmt.Sprintf("at %s from %v to %v %v %q (%d)",
			r.Runner, from, to, r.Response.Outcome, r.Response.Result, r.Response.Status))
	}
	return strings.Join(words, "; ")
}
