package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/protocol/uwsgi"
)

// span holds the fields of an exported span that the test checks.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
	Status      struct{ Code, Description string }
}

// tracedServer answers requests with the statuses that the test sends, and passes the trace contexts
// that it receives to the test.
type tracedServer struct {
	*hop
	contexts chan traceparent.Context
	statuses chan string
}

func newTracedServer(t *testing.T, file string) *tracedServer {
	t.Helper()
	s := &tracedServer{contexts: make(chan traceparent.Context, 3), statuses: make(chan string, 3)}
	s.hop = newHop(t, "tries: 1}\ntraces: {file: "+file+", share: 0", func(c net.Conn, r *uwsgi.Request) error {
		context, ok := traceparent.Parse(r.Get(traceparent.Variable))
		if !ok {
			t.Errorf("traceparent at the server = %q, want a valid one", r.Get(traceparent.Variable))
		}
		s.contexts <- context
		_, err := io.WriteString(c, "HTTP/1.1 "+<-s.statuses+" X\r\nContent-Length: 2\r\n\r\nok")
		return err
	})
	return s
}

// send sends a request whose server answers with a status, and returns the trace context that the
// server received.
func (s *tracedServer) send(t *testing.T, parent, status string) traceparent.Context {
	t.Helper()
	c, err := net.Dial("tcp", s.listen["uwsgi"])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	packet, err := uwsgi.Append(nil, &uwsgi.Request{Variables: []uwsgi.Variable{
		{Name: "PATH_INFO", Value: "/ops/quick-check"},
		{Name: "HTTP_X_CUSTOMER", Value: "north"},
		{Name: "REQUEST_METHOD", Value: "POST"},
		{Name: traceparent.Variable, Value: parent},
	}})
	if err != nil {
		t.Fatal(err)
	}
	s.statuses <- status
	if _, err := c.Write(packet); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil {
		t.Fatal(err)
	}
	return <-s.contexts
}

// readSpans reads the spans that a program exported before it exited.
func readSpans(t *testing.T, file string) []span {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var spans []span
	for d := json.NewDecoder(bytes.NewReader(text)); ; {
		var s span
		if err := d.Decode(&s); errors.Is(err, io.EOF) {
			return spans
		} else if err != nil {
			t.Fatal(err)
		}
		spans = append(spans, s)
	}
}

// Failed requests and requests whose callers set the sampled flag are traced. The server receives the span of
// its attempt as parent.
func TestTraces(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "spans")
	s := newTracedServer(t, file)
	const trace, parent = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	s.send(t, "00-"+trace+"-"+parent+"-00", "200") // not sampled
	failed, wanted := s.send(t, "", "500"), s.send(t, "00-"+trace+"-"+parent+"-01", "200")
	s.cmd.Process.Signal(syscall.SIGTERM)
	<-s.exit
	spans := readSpans(t, file)
	var got []string
	for _, s := range spans {
		got = append(got, s.Name+" "+s.Status.Code+" "+s.Status.Description)
	}
	want := []string{
		"wait Unset ",
		"try Error fault",
		"quick-check Error its server failed it",
		"wait Unset ",
		"try Unset ",
		"quick-check Unset ",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("spans (-want +got)\n%s", diff)
	}
	for n, context := range []traceparent.Context{failed, wanted} {
		try, whole := spans[3*n+1], spans[3*n+2]
		id := context.String()
		if id[3:35] != try.SpanContext.TraceID || id[36:52] != try.SpanContext.SpanID ||
			try.Parent.SpanID != whole.SpanContext.SpanID {
			t.Errorf("traceparent at the server = %s, want attempt %+v with parent %+v", id, try, whole)
		}
	}
	if w := spans[5]; w.SpanContext.TraceID != trace || w.Parent.SpanID != parent ||
		wanted.Sampled == failed.Sampled {
		t.Errorf("span of the sampled request = %+v, want a child of the caller's span, and sampled", w)
	}
}
