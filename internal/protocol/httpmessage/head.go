// Package httpmessage parses HTTP/1.x responses (RFC 9112) and CGI responses (RFC 3875, 6), as the
// back end and uwsgi servers send them, and the message bodies of requests and responses. It does no
// I/O. Packages backend and upstream parse responses with it, and the uwsgi frontend the bodies of
// requests.
package httpmessage

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// MaxHeadBytes is the largest size of a head in bytes.
const MaxHeadBytes = 16 << 10

// ErrHeadTooLong reports a head of more than MaxHeadBytes.
var ErrHeadTooLong = errors.New("head over its limit")

// SyntaxError reports a part of a message that is malformed or ambiguous.
type SyntaxError struct {
	Part  string // such as "status line" or the name of a header field
	Value string // as received; empty: Part describes the fault
}

// Error implements error.
func (e *SyntaxError) Error() string {
	if e.Value == "" {
		return e.Part
	}
	return fmt.Sprintf("%s %q", e.Part, e.Value)
}

// Field is one header field.
type Field struct{ Name, Value string }

// Head is the status line and the header fields of a response.
type Head struct {
	Proto   string // HTTP/1.0, HTTP/1.1, or CGI for a head without a status line
	Status  int
	Fields  []Field
	Length  int  // bytes of the body; -1: not stated
	Chunked bool // the body has the chunked transfer coding
}

// Get returns the value of a header field, or an empty string.
func (h *Head) Get(name string) string {
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// isInterim reports whether the response is interim (1xx), so that a final one follows it.
func (h *Head) isInterim() bool { return h.Status < http.StatusOK }

// hasNoBody reports whether a response with this status never has a body (RFC 9112, 6.3).
func (h *Head) hasNoBody() bool {
	return h.Status == http.StatusNoContent || h.Status == http.StatusNotModified
}

// headEnd is the end of the last line of a head, followed by the empty line that ends the head.
var headEnd = []byte("\r\n\r\n")

// Read decodes the head of a final response from the front of b. It returns how many bytes the head
// takes, including the interim responses before it, or 0 if b holds only a part of it. Lines have to
// end with CRLF, and identity is the only transfer coding that is accepted.
func Read(b []byte) (*Head, int, error) {
	for used := 0; ; {
		head, _, ok := bytes.Cut(b[used:], headEnd)
		if len(head) > MaxHeadBytes {
			return nil, 0, ErrHeadTooLong
		}
		if !ok {
			return nil, 0, nil
		}
		used += len(head) + len(headEnd)
		h, err := parse(string(head))
		if err != nil {
			return nil, 0, err
		}
		if !h.isInterim() {
			return h, used, nil
		}
	}
}

// parse decodes a head, without the empty line that ends it.
func parse(text string) (*Head, error) {
	lines := strings.Split(text, "\r\n")
	h := &Head{Length: -1}
	if err := h.parseStatusLine(lines[0]); err != nil {
		return nil, err
	}
	for _, line := range lines[1:] {
		if err := h.parseStrictField(line); err != nil {
			return nil, err
		}
	}
	if h.hasNoBody() {
		h.Length = 0
	}
	return h, nil
}

// isSpaceControlOrNonASCII reports whether a character is a space, a control character or not in
// ASCII.
func isSpaceControlOrNonASCII(r rune) bool { return r <= ' ' || r >= 0x7f }

// parseStrictField decodes a header field and adds it. It rejects transfer codings other than
// identity, since the body has to be framed by its length alone.
func (h *Head) parseStrictField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsFunc(name, isSpaceControlOrNonASCII) {
		return &SyntaxError{"header", line}
	}
	f := Field{Name: name, Value: strings.Trim(value, " \t")}
	if strings.ContainsAny(f.Value, "\r\n\x00") {
		return &SyntaxError{"header", line}
	}
	h.Fields = append(h.Fields, f)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(f.Value, 10, 31)
		if err != nil || h.Length >= 0 && h.Length != int(n) {
			return &SyntaxError{"Content-Length", f.Value}
		}
		h.Length = int(n)
	case strings.EqualFold(name, "Transfer-Encoding") && !strings.EqualFold(f.Value, "identity"):
		return &SyntaxError{"Transfer-Encoding", f.Value}
	}
	return nil
}
