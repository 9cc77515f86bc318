// Package uwsgiserver is a uwsgi server for tests. It can bound the number of its workers, and counts its runs
// by idempotency key.
package uwsgiserver

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/testing/scenario"
)

// HealthPath is the path of health checks.
const HealthPath = "/health"

// maxHealthChecks bounds the health checks that are recorded.
const maxHealthChecks = 1 << 18

// Server answers each request with "result of KEY". Its methods are safe for concurrent use.
type Server struct {
	Listener net.Listener
	slots    chan struct{} // has an element for each busy worker; nil: no bound
	workTime func(path string) time.Duration

	mu             sync.Mutex
	runs           map[string]int // by key
	numberRuns     bool
	runPrefix      uint64
	minResultBytes int
	checks         []HealthCheck
	highestToken   map[string]uint64 // of health checks, by lease
}

// HealthCheck is one health check that was received.
type HealthCheck struct {
	At     time.Time
	Lease  string // empty: the sender checks for itself
	Token  uint64
	Holder string
	Stale  bool // a higher token was received before; it was rejected
}

// answerHealthCheck records a health check and returns its status. A check with a lower token than one that
// was received before is rejected.
func (s *Server) answerHealthCheck(r *uwsgi.Request) (status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	check := HealthCheck{
		At:     time.Now(),
		Lease:  r.Get("HTTP_X_DUTY"),
		Holder: r.Get("HTTP_X_DUTY_HOLDER"),
	}
	check.Token, _ = strconv.ParseUint(r.Get("HTTP_X_DUTY_TOKEN"), 10, 64) // 0: none
	if check.Lease != "" {
		check.Stale = check.Token < s.highestToken[check.Lease]
		s.highestToken[check.Lease] = max(s.highestToken[check.Lease], check.Token)
	}
	if len(s.checks) < maxHealthChecks {
		s.checks = append(s.checks, check)
	}
	if check.Stale {
		return http.StatusConflict
	}
	return http.StatusOK
}

// HealthChecks returns the health checks so far, in the order of their arrival.
func (s *Server) HealthChecks() []HealthCheck {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.checks)
}

// NumberRuns makes the result of each run unique, also among all servers.
func (s *Server) NumberRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numberRuns, s.runPrefix = true, rand.Uint64()
}

// SetResultSize sets the minimum size of a result in bytes.
func (s *Server) SetResultSize(size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minResultBytes = size
}

// Start starts a server on loopback. workers is the maximum number of requests that run at once, 0 for no
// bound, and workTime returns how long a request for a path runs.
func Start(workers int, workTime func(path string) time.Duration) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("uwsgiserver: %w", err)
	}
	s := &Server{
		Listener:     listener,
		workTime:     workTime,
		runs:         map[string]int{},
		highestToken: map[string]uint64{},
	}
	if workers > 0 {
		s.slots = make(chan struct{}, workers)
	}
	go scenario.Serve(listener, s.serve)
	return s, nil
}

// serve serves one connection with one request.
func (s *Server) serve(c net.Conn) {
	r, err := scenario.ReadRequest(c)
	if err != nil {
		return
	}
	if r.Get("PATH_INFO") == HealthPath {
		status := s.answerHealthCheck(r)
		// The sender may have closed the connection.
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
		return
	}
	if s.slots != nil {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	body := s.beginRun(r.Get("HTTP_X_DEDUPE_KEY"))
	time.Sleep(s.workTime(r.Get("PATH_INFO")))
	// The sender may have closed the connection.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// beginRun counts a run of a key, which may be empty, and returns its result.
func (s *Server) beginRun(key string) (result string) {
	result = "result of " + key
	if key == "" {
		return result
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	if s.numberRuns {
		result += fmt.Sprintf(", run %x.%d", s.runPrefix, s.runs[key])
	}
	return result + strings.Repeat(".", max(s.minResultBytes-len(result), 0))
}

// Runs returns the number of runs of each key, including those that have not ended.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}
