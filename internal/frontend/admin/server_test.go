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

// program is ready unless it says why not.
type program struct{ why string }

func (p *program) Ready() (string, bool) { return p.why, p.why == "" }
func (p *program) Statistics() any       { return map[string]int{"open_requests": 14} }

// connections has a door on a loop of its own, until the test ends.
func open(t *testing.T, of StatusSource) string {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	d, err := Listen(l, netip.MustParseAddrPort("127.0.0.1:0"), of)
	if err != nil {
		t.Fatal(err)
	}
	addr, done := d.Addr().String(), make(chan error, 1)
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

// ask writes a call in pieces, and gives all that comes until the door closes.
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
		t.Fatalf("%q: %v", pieces, err)
	}
	return string(got)
}

// requestCases are requests to a program that can serve, or that drains, with what they get.
var requestCases = []struct {
	name               string
	draining           bool
	call, status, body string
}{
	{"ready", false, "GET /ops/readiness HTTP/1.1\r\nHost: n0\r\n\r\n", "200 OK", `{"ready":true}`},
	{
		"not ready",
		true,
		"GET /ops/readiness HTTP/1.1\r\nHost: n0\r\n\r\n",
		"503 Service Unavailable",
		`{"error":"it leaves"}`,
	},
	{"figures", false, "GET /ops/stats HTTP/1.1\r\n\r\n", "200 OK", `{"open_requests":14}`},
	{
		"figures of one that leaves",
		true,
		"GET /ops/stats HTTP/1.1\r\n\r\n",
		"200 OK",
		`{"open_requests":14}`,
	},
	{"query", false, "GET /ops/stats?pretty=1 HTTP/1.0\r\n\r\n", "200 OK", `{"open_requests":14}`},
	{
		"another path",
		false,
		"GET /ops HTTP/1.1\r\n\r\n",
		"404 Not Found",
		`{"error":"no such call: there are /ops/readiness and /ops/stats"}`,
	},
	{
		"another method",
		false,
		"POST /ops/stats HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
		"405 Method Not Allowed",
		`{"error":"the method is GET"}`,
	},
	{"no HTTP", false, "hello\r\n\r\n", "400 Bad Request", `{"error":"malformed HTTP request \"hello\""}`},
	{
		"another version",
		false,
		"GET /ops/stats HTTP/3\r\n\r\n",
		"400 Bad Request",
		`{"error":"malformed HTTP version \"HTTP/3\""}`,
	},
	{
		"a bad header",
		false,
		"GET /ops/stats HTTP/1.1\r\nbad header\r\n\r\n",
		"400 Bad Request",
		`{"error":"malformed MIME header: missing colon: \"bad header\""}`,
	},
	{
		"a second call",
		false,
		"GET /ops/stats HTTP/1.1\r\n\r\nGET /ops/readiness HTTP/1.1\r\n\r\n",
		"200 OK",
		`{"open_requests":14}`,
	},
}

func TestRequestsGetStatusAndBody(t *testing.T) {
	serving, draining := open(t, &program{}), open(t, &program{why: "it leaves"})
	for _, x := range requestCases {
		addr := serving
		if x.draining {
			addr = draining
		}
		t.Run(x.name, func(t *testing.T) {
			for _, pieces := range [][]string{{x.call}, strings.SplitAfter(x.call, "/")} {
				head, body, _ := strings.Cut(ask(t, addr, pieces...), "\r\n\r\n")
				status, fields, _ := strings.Cut(head, "\r\n")
				if diff := cmp.Diff(
					[]string{"HTTP/1.1 " + x.status, x.body},
					[]string{status, body},
				); diff != "" {
					t.Errorf("(-want +got)\n%s", diff)
				}
				if want := fmt.Sprintf("Content-Length: %d\r\n", len(x.body)); !strings.Contains(
					fields+"\r\n",
					want,
				) {
					t.Errorf("%q not in %q", want, fields)
				}
			}
		})
	}
}

func TestHeadOverItsLimitIsRejected(t *testing.T) {
	got := ask(t, open(t, &program{}), "GET /ops/stats HTTP/1.1\r\nX: "+strings.Repeat("a", maxHeadBytes))
	if !strings.HasPrefix(got, "HTTP/1.1 431 ") {
		t.Errorf("a head over its limit gets %q", got)
	}
}

// Callers that send nothing take no place from those that ask.
func TestSilentCallersMakeRoom(t *testing.T) {
	addr := open(t, &program{})
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
		t.Errorf("beside %d silent callers: %q", len(silent), got)
	}
	// The one that came last is still there, and is told when its time is over.
	last := silent[len(silent)-1]
	last.SetDeadline(time.Now().Add(10 * time.Second))
	got, err := io.ReadAll(last)
	if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 408 ") {
		t.Errorf("a call that does not come whole gets %q, %v", got, err)
	}
}
