package backend

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/lifecycle"
)

// replyCases are replies with the outcome of their call, how many bytes are used (-1: an error), and
// whether the connection may be kept.
var replyCases = map[string]struct {
	text string
	want lifecycle.Outcome
	used int
	keep bool
}{
	"success": {
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nrowHTTP",
		lifecycle.Succeeded,
		41,
		true,
	},
	"connection closes": {
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		lifecycle.Succeeded,
		57,
		false,
	},
	"rejected": {
		"HTTP/1.1 503 No\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n",
		lifecycle.CallRejected,
		54,
		true,
	},
	"503 without Turned-Away": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", lifecycle.Faulted, 38, true},
	"not started": {
		"HTTP/1.1 409 No\r\nTurned-Away: 1\r\nContent-Length: 0\r\n\r\n",
		lifecycle.NotStarted,
		54,
		true,
	},
	"timed out": {
		"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n",
		lifecycle.TimedOut,
		38,
		true,
	},
	"faulted":                {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", lifecycle.Faulted, 38, true},
	"incomplete body":        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nro", 0, 0, false},
	"body without a length":  {"HTTP/1.1 200 OK\r\n\r\nrow", 0, 0, false},
	"a status of two digits": {"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n", 0, -1, false},
	"two lengths": {
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nrow",
		0,
		-1,
		false,
	},
	"control character in a name": {"HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 0\r\n\r\n", 0, -1, false},
	"a body over its limit":       {"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n", 0, -1, false},
}

func TestRepliesAreParsed(t *testing.T) {
	for name, c := range replyCases {
		t.Run(name, func(t *testing.T) {
			r, used, err := parseReply([]byte(c.text))
			var o lifecycle.Outcome
			if used > 0 {
				o = outcomeOf(r)
			}
			if err != nil {
				used = -1
			}
			if diff := cmp.Diff(
				[]any{c.want, c.used, c.keep},
				[]any{o, used, r.keepAlive && used > 0},
			); diff != "" {
				t.Errorf("error %v; outcome, bytes used, kept (-want +got)\n%s", err, diff)
			}
		})
	}
}
