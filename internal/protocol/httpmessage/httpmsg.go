// Package httpmsg reads the heads of HTTP-style responses, as the back end and uwsgi servers send
// them, and of requests. It holds no sockets.
package httpmessage

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxHeadBytes is the longest head that is read.
const MaxHeadBytes = 16 << 10

// ErrHeadTooLong tells that a head is over its limit.
var ErrHeadTooLong = errors.New("head over its limit")

// Field is one header.
type Field struct{ Name, Value string }

// Head is the first part of a response.
type Head struct {
	Proto   string // HTTP/1.0, HTTP/1.1, or CGI for a head without a status line
	Status  int
	Fields  []Field
	Length  int  // of the body; -1 when it is not stated
	Chunked bool // the body comes in chunks
}

// Get is the value of a header, or nothing.
func (h *Head) Get(name string) string {
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// Read takes a head from the front of b, over any interim ones before it. It returns 0 bytes used
// when b holds only a part of it.
func Read(b []byte) (*Head, int, error) {
	for used := 0; ; {
		head, _, ok := bytes.Cut(b[used:], []byte("\r\n\r\n"))
		if len(head) > MaxHeadBytes {
			return nil, 0, ErrHeadTooLong
		}
		if !ok {
			return nil, 0, nil
		}
		used += len(head) + 4
		h, err := parse(string(head))
		if err != nil {
			return nil, 0, err
		}
		if h.Status >= 200 {
			return h, used, nil
		}
	}
}

func parse(text string) (*Head, error) {
	lines := strings.Split(text, "\r\n")
	proto, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || proto != "HTTP/1.0" && proto != "HTTP/1.1" || status < 100 ||
		status > 599 {
		return nil, fmt.Errorf("status line %q", lines[0])
	}
	h := &Head{Proto: proto, Status: status, Length: -1}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" ||
			strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
			return nil, fmt.Errorf("header %q", line)
		}
		f := Field{name, strings.Trim(value, " \t")}
		if strings.ContainsAny(f.Value, "\r\n\x00") {
			return nil, fmt.Errorf("header %q", line)
		}
		h.Fields = append(h.Fields, f)
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(f.Value, 10, 31)
			if err != nil || h.Length >= 0 && h.Length != int(n) {
				return nil, fmt.Errorf("Content-Length %q", f.Value)
			}
			h.Length = int(n)
		case strings.EqualFold(name, "Transfer-Encoding") && !strings.EqualFold(f.Value, "identity"):
			return nil, fmt.Errorf("Transfer-Encoding %q", f.Value)
		}
	}
	if status == 204 || status == 304 {
		h.Length = 0
	}
	return h, nil
}
