package backend

import (
	"bytes"
	"errors"
	"strings"

	"ryepaddle/internal/protocol/httpmessage"
)

// maxBody bounds what a connection holds: a reply may state any length.
const maxBody = 64 << 10

// reply is a whole HTTP response.
type reply struct {
	status     int
	turnedAway bool
	keep       bool // the connection may carry another call
	body       []byte
}

var errBody = errors.New("body over its limit")

// readReply takes one response from the front of b. It returns 0 bytes used when b holds only a
// part of one. At the end of the stream, a body of no stated length is whole.
func readReply(b []byte, end bool) (reply, int, error) {
	h, n, err := httpmessage.Read(b)
	if err != nil || n == 0 {
		return reply{}, 0, err
	}
	r := reply{status: h.Status, turnedAway: h.Get("Turned-Away") == "1"}
	r.keep = h.Proto == "HTTP/1.1" && h.Length >= 0 && !strings.EqualFold(h.Get("Connection"), "close")
	length := h.Length
	if length < 0 && end {
		length = len(b) - n
	}
	if length > maxBody {
		return reply{}, 0, errBody
	}
	if length < 0 || len(b) < n+length {
		return reply{}, 0, nil
	}
	r.body = bytes.Clone(b[n : n+length])
	return r, n + length, nil
}
