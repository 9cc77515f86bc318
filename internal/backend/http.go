package backend

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHead = 8 << 10
	maxBody = 1 << 20
)

// reply is a whole HTTP response.
type reply struct {
	status     int
	turnedAway bool
	keep       bool // the connection may carry another call
	body       []byte
}

var errHead = errors.New("head over its limit")

// readReply takes one response from the front of b. It returns 0 bytes used when b holds only a part of one. At the
// end of the stream, a body of no stated length is whole.
func readReply(b []byte, end bool) (reply, int, error) {
	head, size, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		if len(b) > maxHead {
			return reply{}, 0, errHead
		}
		return reply{}, 0, nil
	}
	lines := strings.Split(string(head), "\r\n")
	proto, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 100 || status > 599 {
		return reply{}, 0, fmt.Errorf("status line %q", lines[0])
	}
	if status < 200 { // a notice that the real one follows
		r, n, err := readReply(size, end)
		if n > 0 {
			n += len(head) + 4
		}
		return r, n, err
	}
	r, length := reply{status: status, keep: proto == "HTTP/1.1"}, -1
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return reply{}, 0, fmt.Errorf("header %q", line)
		}
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > maxBody {
				return reply{}, 0, fmt.Errorf("length %q", value)
			}
		case "connection":
			r.keep = r.keep && !strings.EqualFold(value, "close")
		case "transfer-encoding":
			return reply{}, 0, fmt.Errorf("transfer encoding %q", value)
		case "turned-away":
			r.turnedAway = value == "1"
		}
	}
	switch {
	case status == 204 || status == 304:
		length = 0
	case length < 0 && !end:
		return reply{}, 0, nil
	case length < 0:
		length, r.keep = len(size), false
	}
	if len(size) < length {
		return reply{}, 0, nil
	}
	r.body = bytes.Clone(size[:length])
	return r, len(head) + 4 + length, nil
}
