package httpmsg

import (
	"bytes"
	"fmt"
	"strings"
)

// Request is the head of a request.
type Request struct {
	Method string
	Path   string // without its query
	Fields []Field
}

// ReadRequest takes the head of a request from the front of b (RFC 9112, 3). It returns 0 bytes used when b holds only a
// part of it, and ErrHead when it is longer than most.
func ReadRequest(b []byte, most int) (*Request, int, error) {
	head, _, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if len(head) > most {
		return nil, 0, ErrHead
	}
	if !ok {
		return nil, 0, nil
	}
	lines := strings.Split(string(head), "\r\n")
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return nil, 0, fmt.Errorf("request line %q", lines[0])
	}
	q := &Request{Method: parts[0]}
	q.Path, _, _ = strings.Cut(parts[1], "?")
	for _, line := range lines[1:] {
		f, err := parseField(line)
		if err != nil {
			return nil, 0, err
		}
		q.Fields = append(q.Fields, f)
	}
	return q, len(head) + 4, nil
}
