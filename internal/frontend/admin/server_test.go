package admin

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/eventloop"
)

// program is a StatusSource that is ready if it has no reason not to be.
type program struct{ reason string }

func (p *program) Ready() (string, bool) { return p.reason, p.reason == "" }
func (p *program) Statistics() any       { return map[string]int{"open_requests": 14} }

// startServer runs a server on an event loop of its own until the test ends, and returns its address.
func startServer(t *testing.T, source StatusSource) string {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen(l, netip.MustParseAddrPort("127.0.0.1:0"), source)
	if err != nil {
		t.Fatal(err)
	}
	addr, done := server.Addr().String(), make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Deliver(l.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		l.Close()
	})
	return addr
}

// ask writes a request in pieces, and returns the response up to the end of the connection.
func ask(t *testing.T, addr string, pieces ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("reading the response to %q: %v", pieces, err)
	}
	return string(got)
}

// requestCases are requests to a program that can serve or is draining, with their responses.
var requestCases = []struct {
	name                  string
	draining              bool
	request, status, body string
}{
	{"ready", false, "GET /ops/readiness HTTP/1.1\r\nHost: n0\r\n\r\n", "200 OK", `{"ready":true}`},
	{
		"not ready",
		true,
		"GET /ops/readiness HTTP/1.1\r\nHost: n0\r\n\r\n",
		"503 Service Unavailable",
		`{"error":"it leaves"}`,
	},
	{"statistics", false, "GET /ops/stats HTTP/1.1\r\n\r\n", "200 OK", `{"open_requests":14}`},
	{
		"statistics while draining",
		true,
		"GET /ops/stats HTTP/1.1\r\n\r\n",
		"200 OK",
		`{"open_requests":14}`,
	},
	{"query in the path", false, "GET /ops/stats?pretty=1 HTTP/1.0\r\n\r\n", "200 OK", `{"open_requests":14}`},
	{
		"unknown path",
		false,
		"GET /ops HTTP/1.1\r\n\r\n",
		"404 Not Found",
		`{"error":"no such call: there are /ops/readiness and /ops/stats"}`,
	},
	{
		"method not allowed",
		false,
		"POST /ops/stats HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
		"405 Method Not Allowed",
		`{"error":"the method is GET"}`,
	},
	{"not HTTP", false, "hello\r\n\r\n", "400 Bad Request", `{"error":"malformed HTTP request \"hello\""}`},
	{
		"unsupported HTTP version",
		false,
		"GET /ops/stats HTTP/3\r\n\r\n",
		"400 Bad Request",
		`{"error":"malformed HTTP version \"HTTP/3\""}`,
	},
	{
		"malformed header",
		false,
		"GET /ops/stats HTTP/1.1\r\nbad header\r\n\r\n",
		"400 Bad Request",
		`{"error":"malformed MIME header: missing colon: \"bad header\""}`,
	},
	{
		"pipelined second request",
		false,
		"GET /ops/stats HTTP/1.1\r\n\r\nGET /ops/readiness HTTP/1.1\r\n\r\n",
		"200 OK",
		`{"open_requests":14}`,
	},
}

func TestRequestsGetStatusAndBody(t *testing.T) {
	serving, draining := startServer(t, &program{}), startServer(t, &program{reason: "it leaves"})
	for _, x := range requestCases {
		addr := serving
		if x.draining {
			addr = draining
		}
		t.Run(x.name, func(t *testing.T) {
			for _, pieces := range [][]string{{x.request}, strings.SplitAfter(x.request, "/")} {
				head, body, _ := strings.Cut(ask(t, addr, pieces...), "\r\n\r\n")
				status, fields, _ := strings.Cut(head, "\r\n")
				if diff := cmp.Diff(
					[]string{"HTTP/1.1 " + x.status, x.body},
					[]string{status, body},
				); diff != "" {
					t.Errorf("status and body (-want +got)\n%s", diff)
				}
				if want := fmt.Sprintf("Content-Length: %d\r\n", len(x.body)); !strings.Contains(
					fields+"\r\n",
					want,
				) {
					t.Errorf("want %q in the header fields, got %q", want, fields)
				}
			}
		})
	}
}

func TestHeadOverItsLimitIsRejected(t *testing.T) {
	got := ask(t, startServer(t, &program{}), "GET /ops/stats HTTP/1.1\r\nX: "+strings.Repeat("a", maxHeadBytes))
	if !strings.HasPrefix(got, "HTTP/1.1 431 ") {
		t.Errorf("response to a head over its limit = %q, want status 431", got)
	}
}

// Callers that never complete a request must not keep others from being served: the oldest of their
// connections are closed.
func TestSilentCallersMakeRoom(t *testing.T) {
	addr := startServer(t, &program{})
	var silent []net.Conn
	for range 4 * maxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /ops/st"); err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	if got := ask(t, addr, "GET /ops/readiness HTTP/1.1\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
		t.Errorf("response beside %d silent callers = %q, want status 200", len(silent), got)
	}
	// The latest silent connection was not closed, and gets a response after readTimeout.
	last := silent[len(silent)-1]
	last.SetDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(last)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 408 ") {
		t.Errorf("response to an incomplete request = %q, error %v; want status 408", got, err)
	}
}
