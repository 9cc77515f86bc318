package scenario

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/protocol/fastcgi"
)

// CountingServer is an engine that runs whatever it is told to, and remembers what ran.
type CountingServer struct {
	Listener net.Listener
	took     time.Duration
	runs     *Runs
}

// Runs counts runs by the body of their request, of all mills that share it.
type Runs struct {
	mu sync.Mutex
	by map[string]int
}

// Each calls fn for each body that ran.
func (r *Runs) Each(fn func(body string, runs int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for body, n := range r.by {
		fn(body, n)
	}
}

// NewCountingServer listens for a runner, whose runs take so long.
func NewCountingServer(t testing.TB, took time.Duration, runs *Runs) *CountingServer {
	m := &CountingServer{listen(t), took, runs}
	go serve(m.Listener, m.serve)
	return m
}

func (m *CountingServer) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex
	no := 0
	for r := bufio.NewScanner(c); r.Scan(); {
		var q struct {
			T    string `json:"t"`
			Rid  string `json:"rid"`
			Mark string `json:"mark"`
			B64  []byte `json:"b64"`
		}
		if json.Unmarshal(r.Bytes(), &q) != nil {
			return
		}
		switch q.T {
		case "ATTACH":
			io.WriteString(c, `{"t":"HELLO","status":"running","time_ms":1}`+"\n")
		case "STAT":
			mu.Lock()
			fmt.Fprintf(c, `{"t":"STATS","mark":%q,"v":[0.1,0,0,0]}`+"\n", q.Mark)
			mu.Unlock()
		case "RUN":
			m.runs.mu.Lock()
			if m.runs.by == nil {
				m.runs.by = map[string]int{}
			}
			m.runs.by[string(q.B64)]++
			m.runs.mu.Unlock()
			time.AfterFunc(m.took, func() {
				mu.Lock()
				defer mu.Unlock()
				no++
				line, _ := json.Marshal(
					map[string]any{
						"t":       "DONE",
						"no":      no,
						"rid":     q.Rid,
						"status":  "fine",
						"time_ms": 1,
						"b64":     append([]byte("result of "), q.B64...),
					},
				)
				c.Write(append(line, '\n')) // to one that is killed it does not come
			})
		}
	}
}

// Try sends one request on a connection of its own, and gives the status; 0: the connection was
// refused or broke.
func Try(addr, id, class, key string) (status int, body string, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	var pairs []byte
	for _, p := range [][2]string{{
		"SCRIPT_NAME",
		"/ops/" + class,
	}, {"REQUEST_METHOD", "POST"}, {"HTTP_X_CALL_ID", id},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{"HTTP_X_SOURCE", "1"},
		{"HTTP_X_CUSTOMER", "north"},
		{"HTTP_X_HEAP_KB", "24.5"}, {"HTTP_X_IMPORTANCE", "0.5"}, {"HTTP_X_DEDUPE_KEY", key}} {
		pairs = fastcgi.AppendPair(pairs, p[0], p[1])
	}
	out := fastcgi.AppendBegin(nil, 1, fastcgi.BeginRequestBody{Role: fastcgi.Responder})
	out = fastcgi.Append(fastcgi.Append(out, fastcgi.Params, 1, pairs), fastcgi.Params, 1, nil)
	out = fastcgi.Append(fastcgi.Append(out, fastcgi.Stdin, 1, []byte(key)), fastcgi.Stdin, 1, nil)
	if _, err := c.Write(out); err != nil {
		return 0, "", err
	}
	all, err := io.ReadAll(c)
	if err != nil {
		return 0, "", err
	}
	var stdout []byte
	for len(all) > 0 {
		rec, used, err := fastcgi.Read(all, fastcgi.MaxRecord)
		if err != nil || used == 0 {
			return 0, "", errors.New("an answer that is cut off")
		}
		all = all[used:]
		if rec.Type == fastcgi.Stdout {
			stdout = append(stdout, rec.Content...)
		}
		if rec.Type == fastcgi.EndRequest {
			head, body, _ := strings.Cut(string(stdout), "\r\n\r\n")
			_, err := fmt.Sscanf(head, "Status: %d", &status)
			return status, body, err
		}
	}
	return 0, "", errors.New("no answer")
}
