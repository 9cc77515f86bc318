package platform_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/frontend/platform"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/fastcgi"
	"ryepaddle/internal/testing/scenario"
)

// idleFor is how long a connection may rest on the runner of these tests, and longIdle is longer
// than what a request that has begun may take.
const (
	idleFor  = 200 * time.Millisecond
	longIdle = 3 * time.Second
	sweep    = 100 * time.Millisecond // how often the front looks after its connections

	beginSize = 8 + 8         // bytes of the record that begins a request
	midRecord = beginSize + 5 // a place in the head of the next one
)

// runner is the front with a core whose runs end as the test says, on a loop that it steps.
type runner struct {
	*scenario.SteppedLoop
	t     *testing.T
	front *platform.Frontend
	core  *lifecycle.Manager
	runs  []*lifecycle.Attempt
}

func (r *runner) Run(a *lifecycle.Attempt)   { r.runs = append(r.runs, a) }
func (r *runner) Abandon(*lifecycle.Attempt) {}

// end ends the oldest run.
func (r *runner) end() {
	r.t.Helper()
	if len(r.runs) == 0 {
		r.t.Fatal("nothing runs")
	}
	a := r.runs[0]
	r.runs = r.runs[1:]
	r.core.AttemptEnded(
		a,
		lifecycle.Succeeded,
		&lifecycle.Result{Status: 200, Body: []byte("result of " + a.Request.ID)},
	)
}

func newRunner(t *testing.T, idle time.Duration) *runner {
	t.Helper()
	r := &runner{SteppedLoop: scenario.NewSteppedLoop(t), t: t}
	r.front = platform.New(r.Loop, nil, 0)
	set := admission.Settings{
		Cores:                 4,
		MemoryKB:              50_000,
		RunningMemoryFactor:   8,
		MaxRunningPerCore:     6,
		ReportsAbandoned:      true,
		DrainGrace:            time.Second,
		Servers:               3,
		IdleConnectionTimeout: 30 * time.Second,
		Classes: []admission.Class{
			{Name: "check", LatencyObjective: 4 * time.Second, Timeout: 9 * time.Second, PriorityWeight: 1},
		},
	}
	var err error
	r.core, err = lifecycle.New(set, 1, lifecycle.Environment{Now: r.Now, Unix: r.Unix,
		After:     func(d time.Duration, fn func()) func() { return r.After(d, fn).Stop },
		Measure:   func(fn func(lifecycle.Gauges)) { fn(lifecycle.UnknownGauges()) },
		SetHealth: r.front.SetHealth,
		Advertise: r.front.SetAdvertisedValue,
		CloseIdle: func(time.Duration) {},
		Route:     func(int) lifecycle.Runner { return r }})
	if err != nil {
		t.Fatal(err)
	}
	r.core.Start()
	if err := r.front.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 100, r.core); err != nil {
		t.Fatal(err)
	}
	r.front.SetIdleTimeout(idle)
	return r
}

// connect opens a connection of a balancer that is taken.
func (r *runner) connect(send string) *net.TCPConn {
	r.t.Helper()
	before := r.front.Connections()
	c := r.DialAddr(r.front.Addr().String(), send)
	r.Until(func() bool { return r.front.Connections() > before })
	return c
}

// parseRequest is a whole request by its number, on which the connection is kept.
func (r *runner) request(id int) string { return r.requestOn(id, id) }

// requestOn is one whose number on its connection is another than its name.
func (r *runner) requestOn(id, name int) string {
	params := []byte{}
	for _, p := range [][2]string{{
		"REQUEST_METHOD",
		"POST",
	}, {"SCRIPT_NAME", "/ops/check"}, {"HTTP_X_CALL_ID", fmt.Sprintf("%016x", name)},
		{"HTTP_X_SOURCE", "1"},
		{"HTTP_X_CUSTOMER", ""},
		{"HTTP_X_HEAP_KB", "20"},
		{"HTTP_X_IMPORTANCE", "0.5"},
		{"HTTP_X_QUEUE_START", strconv.FormatInt(int64(r.Unix())/1000, 10)}} {
		params = fastcgi.AppendPair(params, p[0], p[1])
	}
	b := fastcgi.AppendBegin(
		nil,
		uint16(id),
		fastcgi.BeginRequestBody{Role: fastcgi.Responder, KeepConnection: true},
	)
	b = fastcgi.Append(b, fastcgi.Params, uint16(id), params)
	b = fastcgi.Append(b, fastcgi.Params, uint16(id), nil)
	return string(fastcgi.Append(b, fastcgi.Stdin, uint16(id), nil))
}

// answers are the requests that a connection has ended, by their numbers: the status of a response,
// or "overloaded".
func answers(t *testing.T, text string) map[int]string {
	t.Helper()
	got, out := map[int]string{}, map[uint16][]byte{}
	for b := []byte(text); len(b) > 0; {
		rec, n, err := fastcgi.Read(b, fastcgi.MaxRecord)
		if err != nil || n == 0 {
			t.Fatalf("what came is not whole: %d bytes left, %v", len(b), err)
		}
		b = b[n:]
		switch rec.Type {
		case fastcgi.Stdout:
			out[rec.ID] = append(out[rec.ID], rec.Content...)
		case fastcgi.EndRequest:
			status, _, _ := strings.Cut(strings.TrimPrefix(string(out[rec.ID]), "Status: "), "\r\n")
			if rec.Content[4] == fastcgi.Overloaded {
				status = "overloaded"
			}
			if _, twice := got[int(rec.ID)]; twice {
				t.Fatalf("request %d is answered twice", rec.ID)
			}
			got[int(rec.ID)] = status
		}
	}
	return got
}

// expect reads a connection to its end, which has to be in order, and compares its answers.
func (r *runner) expect(c net.Conn, want map[int]string) {
	r.t.Helper()
	end := r.AwaitEnd(scenario.ReadToEnd(c))
	if got := answers(r.t, end.Text); end.Err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		r.t.Fatalf("answers %v, end %v; want %v and an end in order", got, end.Err, want)
	}
}

// serve ends runs until so many have been.
func (r *runner) serve(n int) {
	r.t.Helper()
	for range n {
		r.Until(func() bool { return len(r.runs) > 0 })
		r.end()
	}
	r.Advance(0)
}

// A request that comes in the very turn in which its connection would be closed as idle is served.
func TestRequestCrossesTheCloseOfItsIdleConnection(t *testing.T) {
	r := newRunner(t, idleFor)
	c := r.connect(r.request(1))
	r.serve(1)
	r.Send(c, r.request(2))
	r.AwaitAndPass(idleFor + sweep)
	r.serve(1)
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	r.expect(c, map[int]string{1: "200", 2: "200"})
}

// A request that comes in pieces on a connection that has rested is not taken for one that never
// ends, nor its connection for an idle one.
func TestRequestInPiecesOnAnIdleConnectionIsServed(t *testing.T) {
	for name, idle := range map[string]time.Duration{"that may rest": longIdle, "that is trimmed": idleFor} {
		t.Run(name, func(t *testing.T) {
			r := newRunner(t, idle)
			c := r.connect(r.request(1))
			r.serve(1)
			r.Advance(idle - sweep/2)
			whole := r.request(2)
			// in the head of the first record, and in the second one
			for _, cut := range []int{3, midRecord} {
				r.Send(c, whole[:cut])
				r.AwaitAndPass(0)
				r.Advance(2 * sweep)
				whole = whole[cut:]
			}
			r.Send(c, whole)
			r.serve(1)
			if err := c.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			r.expect(c, map[int]string{1: "200", 2: "200"})
		})
	}
}

// Half a request as the front leaves: the rest may still come, and gets its answer.
func TestHalfARequestIsReadDuringADrain(t *testing.T) {
	for _, cut := range []int{3, midRecord} {
		r := newRunner(t, longIdle)
		c := r.connect(r.request(1))
		r.serve(1)
		whole := r.request(2)
		r.Send(c, whole[:cut])
		r.AwaitAndPass(0)
		r.front.Drain()
		r.Advance(2 * sweep)
		r.Send(c, whole[cut:])
		r.serve(1)
		r.expect(c, map[int]string{1: "200", 2: "200"})
	}
}

// The answer to one request must not end a connection on which another has begun to come, or has
// come in the same moment.
func TestAnswerCrossesAnotherRequest(t *testing.T) {
	for name, cut := range map[string]int{"begun": midRecord, "unread": 0} {
		t.Run(name, func(t *testing.T) {
			r := newRunner(t, longIdle)
			c := r.connect(r.request(1))
			r.Until(func() bool { return len(r.runs) == 1 })
			r.front.Drain()
			whole := r.request(2)
			if cut > 0 {
				r.Send(c, whole[:cut])
				r.AwaitAndPass(0)
			}
			r.After(time.Millisecond, r.end) // in the turn in which the rest is there
			r.Send(c, whole[cut:])
			r.AwaitAndPass(time.Millisecond)
			r.serve(1)
			r.expect(c, map[int]string{1: "200", 2: "200"})
		})
	}
}

// A balancer gives up a request whose answer is on its way, and then uses its number again: the
// abort is about nothing any more, and the new request is served.
func TestRequestIDIsReusedAsAnAbortCrossesTheAnswer(t *testing.T) {
	r := newRunner(t, longIdle)
	c := r.connect(r.request(1))
	r.serve(1)
	answer := make([]byte, 4096)
	n, err := c.Read(answer)
	if err != nil {
		t.Fatal(err)
	}
	if got := answers(t, string(answer[:n])); got[1] != "200" {
		t.Fatalf("the first answer: %v", got)
	}
	r.Send(c, string(fastcgi.Append(nil, fastcgi.AbortRequest, 1, nil))+r.requestOn(1, 2))
	r.serve(1)
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	r.expect(c, map[int]string{1: "200"})
}

// What cannot be read ends a connection, but not the requests that were read on it before.
func TestMalformedInputAfterARequestKeepsItsAnswer(t *testing.T) {
	r := newRunner(t, longIdle)
	c := r.connect(r.request(1) + r.request(2)[:midRecord] + strings.Repeat("\xff", 9000))
	r.serve(1)
	r.expect(c, map[int]string{1: "200"})
}

// A request whose rest does not come in time is turned away alone: the others on its connection get
// their answers.
func TestIncompleteRequestTimesOut(t *testing.T) {
	r := newRunner(t, longIdle)
	c := r.connect(r.request(1) + r.request(2)[:midRecord])
	r.Until(func() bool { return len(r.runs) == 1 })
	r.Advance(2*time.Second + sweep)
	r.serve(1)
	r.expect(c, map[int]string{1: "200", 2: "overloaded"})
}

// A bad request ends its connection after the others on it: one that has begun is still read, and a
// new one is turned away.
func TestMalformedRequestKeepsTheAnswersOfOthers(t *testing.T) {
	r := newRunner(t, longIdle)
	bad := bytes.Replace([]byte(r.request(3)), []byte("/ops/check"), []byte("/ops/chalk"), 1)
	rest := r.request(2)
	c := r.connect(r.request(1) + rest[:beginSize] + string(bad) + r.request(4) + rest[beginSize:])
	r.serve(2)
	r.expect(c, map[int]string{1: "200", 2: "200", 3: "400", 4: "overloaded"})
}

// Idle connections make room for others, the oldest first, but not one on which a request has just
// come.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	r := newRunner(t, longIdle)
	r.front.SetMaxConnections(3)
	var resting []*net.TCPConn
	for id := 1; id <= 3; id++ {
		resting = append(resting, r.connect(r.request(id)))
		r.serve(1)
		r.Advance(time.Millisecond)
	}
	late := r.DialAddr(r.front.Addr().String(), r.request(5)) // the listener is ready first
	// it has rested longest, and is idle no more
	r.Send(resting[0], r.request(4))
	r.serve(1)
	r.Advance(time.Second) // those that were left are gone
	r.serve(1)
	for _, c := range []*net.TCPConn{late, resting[0]} {
		if err := c.CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	r.expect(resting[0], map[int]string{1: "200", 4: "200"})
	r.expect(late, map[int]string{5: "200"})
}

// A peer that rests until the process ends does not hold it up, and one that always sends is left
// some time.
func TestPeersThatStayAreClosedAfterADrain(t *testing.T) {
	r := newRunner(t, longIdle)
	rests, sends := r.connect(r.request(1)), r.connect(r.request(2))
	r.serve(2)
	r.Send(sends, r.request(3)) // from now on something is always unread
	r.front.Drain()
	if r.front.IsListening() {
		t.Fatal("it still listens")
	}
	for id := 4; r.front.Connections() > 0; id++ {
		if id > 3000 {
			t.Fatal("connections stay open")
		}
		_, _ = sends.Write([]byte(r.request(id))) // it fails once the connection is gone
		for len(r.runs) > 0 {
			r.end() // with the next one unread
		}
		r.Advance(time.Millisecond)
	}
	r.expect(rests, map[int]string{1: "200"})
}

// parts are requests that begin and do not come whole, by their numbers.
func parts(first, last int) string {
	var b []byte
	for id := first; id <= last; id++ {
		b = fastcgi.AppendBegin(
			b,
			uint16(id),
			fastcgi.BeginRequestBody{Role: fastcgi.Responder, KeepConnection: true},
		)
		b = fastcgi.Append(b, fastcgi.Params, uint16(id), make([]byte, 8000))
	}
	return string(b)
}

// A flood of parts on many connections costs the largest of them its parts, and not the answer that
// it is owed.
func TestFloodOfIncompleteRequestsKeepsOwedAnswers(t *testing.T) {
	r := newRunner(t, longIdle)
	c := r.connect(r.request(1))
	r.Until(func() bool { return len(r.runs) == 1 })
	// it fails where the connection is closed
	write := func(c net.Conn, text string) { _, _ = io.WriteString(c, text) }
	go write(c, parts(2, 32))
	for range 8 {
		go write(r.connect(""), parts(1, 30))
	}
	refused := make(chan string, 1)
	go func() {
		b := make([]byte, 64<<10)
		n, _ := c.Read(b)
		refused <- string(b[:n])
	}()
	for {
		select {
		case text := <-refused:
			r.end()
			end := r.AwaitEnd(scenario.ReadToEnd(c))
			got := answers(t, text+end.Text)
			if end.Err != nil || len(got) != 32 || got[1] != "200" || got[32] != "overloaded" {
				t.Fatalf("answers %v, end %v", got, end.Err)
			}
			return
		case <-time.After(time.Millisecond):
			r.Advance(0)
		}
	}
}
