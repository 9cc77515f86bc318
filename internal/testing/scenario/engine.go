package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// Engine is a test double of the platform's engine. It observes `RUN ID CLASS BODY`, `FEED ID BODY` and
// `ATTACH NO`. It sends `done ID STATUS RESULT`, `need ID BODY`, `no ID COMMAND`, and `again`, which repeats the
// last notice. `lost done ...` and `lost need ...` keep the notice for the next connection without writing it.
// It answers STAT by itself: 0.1 of its cores are busy, or the share set by `cpu SHARE`. After `deaf` it ignores
// all commands but ATTACH and writes no notices, until Close, which breaks the connection. After `away` it breaks the
// connection and does not answer ATTACH, as an engine that is starting, until `back`.
type Engine struct {
	*Observations
	Listener net.Listener
	mu       sync.Mutex
	conn     net.Conn
	notices  []string
	deaf     bool
	away     bool
	cpu      string
	started  map[string]bool
}

// NewEngine starts an engine on a loopback port.
func NewEngine(t testing.TB) *Engine {
	e := &Engine{Observations: newObservations(), Listener: listenLoopback(t), cpu: "0.1", started: map[string]bool{}}
	go acceptLoop(e.Listener, e.serve)
	return e
}

// NewAddress makes the engine listen on one more port and returns its address.
func (e *Engine) NewAddress(t testing.TB) string {
	ln := listenLoopback(t)
	go acceptLoop(ln, e.serve)
	return ln.Addr().String()
}

// Close implements Actor.
func (e *Engine) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = false
	return e.conn.Close()
}

// Send implements Actor.
func (e *Engine) Send(words []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := map[string]any{"no": len(e.notices) + 1}
	lost := words[0] == "lost"
	if lost {
		words = words[1:]
	}
	switch words[0] {
	case "no":
		_, err := fmt.Fprintf(e.conn, `{"t":"NO","status":%q,"rid":%q}`+"\n", words[2], CallID(words[1]))
		return err
	case "cpu":
		e.cpu = words[1]
		return nil
	case "deaf":
		e.deaf = true
		return nil
	case "away", "back":
		e.away = words[0] == "away"
		return e.conn.Close()
	case "again": // repeats a notice that the runner has read
		_, err := io.WriteString(e.conn, e.notices[len(e.notices)-1])
		return err
	case "done":
		m["t"] = "DONE"
		m["status"] = words[2]
		m["b64"] = []byte(strings.Join(words[3:], " "))
	case "need":
		m["t"], m["b64"] = "NEED", []byte(strings.Join(words[2:], " "))
	}
	m["rid"] = CallID(words[1])
	line, err := json.Marshal(m)
	if err != nil {
		return err
	}
	e.notices = append(e.notices, string(line)+"\n")
	if !e.deaf && !lost {
		_, err = io.WriteString(e.conn, e.notices[len(e.notices)-1])
	}
	return err
}

// serve serves one connection of a runner.
func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewScanner(c); r.Scan(); {
		var m struct {
			T     string `json:"t"`
			Rid   string `json:"rid"`
			Route string `json:"route"`
			Mark  string `json:"mark"`
			No    int    `json:"no"`
			B64   []byte `json:"b64"`
		}
		if json.Unmarshal(r.Bytes(), &m) != nil {
			e.Note("not JSON: %s", r.Bytes())
			return
		}
		id := strings.TrimLeft(m.Rid, "0")
		e.mu.Lock()
		switch {
		case m.T == "ATTACH":
			e.conn = c
			if e.away {
				break
			}
			e.Note("ATTACH %d", m.No)
			io.WriteString(
				c,
				`{"t":"HELLO","status":"running","time_ms":1}`+"\n"+strings.Join(e.notices[m.No:], ""),
			)
		case e.deaf:
		case m.T == "STAT":
			fmt.Fprintf(c, `{"t":"STATS","mark":%q,"v":[%s,0,0,0]}`+"\n", m.Mark, e.cpu)
		case m.T == "RUN" && e.started[m.Rid]: // repeated on a new connection: the run has started already
		case m.T == "RUN":
			e.started[m.Rid] = true
			e.Note("RUN %s %s %s", id, m.Route, m.B64)
		default:
			e.Note("%s %s %s", m.T, id, m.B64)
		}
		e.mu.Unlock()
	}
}
