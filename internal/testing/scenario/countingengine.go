package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// CountingEngine is an engine that completes each run after a fixed time and counts runs.
type CountingEngine struct {
	Listener net.Listener
	workTime time.Duration
	runs     *RunCounts
}

// RunCounts counts the runs of all engines that share it, by the body of the request. It is safe for
// concurrent use.
type RunCounts struct {
	mu     sync.Mutex
	byBody map[string]int // guarded by mu
}

// Each calls fn for each body that was run, with the number of its runs.
func (r *RunCounts) Each(fn func(body string, runs int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for body, n := range r.byBody {
		fn(body, n)
	}
}

// add counts a run of a request with body.
func (r *RunCounts) add(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byBody == nil {
		r.byBody = map[string]int{}
	}
	r.byBody[body]++
}

// NewCountingEngine starts an engine on a loopback port. Each run takes workTime.
func NewCountingEngine(t testing.TB, workTime time.Duration, runs *RunCounts) *CountingEngine {
	e := &CountingEngine{Listener: listenLoopback(t), workTime: workTime, runs: runs}
	go acceptLoop(e.Listener, e.serve)
	return e
}

// serve serves one connection of a runner.
func (e *CountingEngine) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex // guards writes and notices
	notices := 0
	for lines := bufio.NewScanner(c); lines.Scan(); {
		var command struct {
			Type      string `json:"t"`
			RequestID string `json:"rid"`
			Mark      string `json:"mark"`
			Body      []byte `json:"b64"`
		}
		if json.Unmarshal(lines.Bytes(), &command) != nil {
			return
		}
		switch command.Type {
		case "ATTACH":
			_, _ = io.WriteString(c, `{"t":"HELLO","status":"running","time_ms":1}`+"\n")
		case "STAT":
			mu.Lock()
			_, _ = fmt.Fprintf(c, `{"t":"STATS","mark":%q,"v":[0.1,0,0,0]}`+"\n", command.Mark)
			mu.Unlock()
		case "RUN":
			e.runs.add(string(command.Body))
			time.AfterFunc(e.workTime, func() {
				mu.Lock()
				defer mu.Unlock()
				notices++
				_, _ = c.Write(doneNotice(notices, command.RequestID, command.Body)) // the runner may be gone
			})
		}
	}
}

// doneNotice returns the notice that a run has ended.
func doneNotice(number int, requestID string, body []byte) []byte {
	line, err := json.Marshal(map[string]any{
		"t":       "DONE",
		"no":      number,
		"rid":     requestID,
		"status":  "fine",
		"time_ms": 1,
		"b64":     append([]byte("result of "), body...),
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return append(line, '\n')
}
