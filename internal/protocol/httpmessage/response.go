package httpmessage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// mostInterim is how many 1xx responses may come before the one that counts.
const mostInterim = 16

// ErrTooManyInterim tells that no end of them is in sight.
var ErrTooManyInterim = errors.New("too many interim responses")

// Event is one thing that was read of a response.
type Event struct {
	Head *Head  // it has come whole; nil: this is something else
	Data []byte // of the body, a part of what was read
	Done bool   // the response is over
}

// ResponseReader reads one response of a uwsgi server as it comes: with a status line or a head in
// CGI's form, lines ended by CRLF or a bare line feed, and a body of a stated length, in chunks, or
// to the end of the stream. What could be read in two ways is an error. It keeps no more than a
// head.
type ResponseReader struct {
	headOnly bool // the answer to HEAD
	head     *Head
	body     *Body
	interim  int
}

// NewResponseReader begins a response. headOnly tells that only the head was asked for.
func NewResponseReader(headOnly bool) *ResponseReader { return &ResponseReader{headOnly: headOnly} }

// Head is the head, once it has come; else nil.
func (r *ResponseReader) Head() *Head { return r.head }

// Next takes one thing from the front of b. No event and nothing used means that more has to come;
// a response that is cut off at the end of the stream is io.ErrUnexpectedEOF.
func (r *ResponseReader) Next(b []byte, end bool) (ev Event, used int, err error) {
	if r.head == nil {
		h, n, err := readHead(b)
		switch {
		case err != nil:
			return Event{}, 0, err
		case n == 0 && end:
			return Event{}, 0, io.ErrUnexpectedEOF
		case n == 0:
			return Event{}, 0, nil
		case h.Status == 101:
			return Event{}, 0, errors.New("status 101: the protocol was changed though nobody asked for it")
		case h.Status < 200:
			if r.interim++; r.interim > mostInterim {
				return Event{}, 0, ErrTooManyInterim
			}
			return Event{}, n, nil
		}
		r.head, r.body = h, r.frame(h)
		return Event{Head: h}, n, nil
	}
	data, used, done, err := r.body.Next(b, end)
	return Event{Data: data, Done: done}, used, err
}

// frame settles where the body ends (RFC 9112, 6.3).
func (r *ResponseReader) frame(h *Head) *Body {
	switch {
	case r.headOnly || h.Status == 204 || h.Status == 304:
		return BodyOfLength(0)
	case h.Chunked:
		return ChunkedBody()
	case h.Length >= 0:
		return BodyOfLength(int64(h.Length))
	}
	return BodyUntilClose()
}

// readHead takes a head from the front of b; 0 bytes used: it has not come whole.
func readHead(b []byte) (*Head, int, error) {
	var lines []string
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 || at+i > MaxHeadBytes {
			if len(b) > MaxHeadBytes {
				return nil, 0, ErrHeadTooLong
			}
			return nil, 0, nil
		}
		line := bytes.TrimSuffix(b[at:at+i], []byte("\r"))
		if bytes.IndexByte(line, '\r') >= 0 {
			return nil, 0, fmt.Errorf("header %q: a bare carriage return", line)
		}
		at += i + 1
		if len(line) == 0 {
			h, err := parseHead(lines)
			return h, at, err
		}
		lines = append(lines, string(line))
	}
}

// parseHead reads a status line and headers, or, in CGI's form, headers alone.
func parseHead(lines []string) (*Head, error) {
	if len(lines) == 0 {
		return nil, errors.New("an empty head")
	}
	h := &Head{Length: -1, Proto: "CGI"}
	if strings.HasPrefix(lines[0], "HTTP/") {
		if err := h.statusLine(lines[0]); err != nil {
			return nil, err
		}
		lines = lines[1:]
	}
	for _, line := range lines {
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		if err := h.add(f); err != nil {
			return nil, err
		}
	}
	if h.Chunked && h.Length >= 0 {
		return nil, errors.New("a body both of a stated length and in chunks")
	}
	if h.Status == 0 { // RFC 3875, 6.2 and 6.3.3
		if h.Status = 200; h.Get("Location") != "" {
			h.Status = 302
		}
	}
	return h, nil
}

func (h *Head) statusLine(line string) (err error) {
	proto, rest, _ := strings.Cut(line, " ")
	if proto != "HTTP/1.0" && proto != "HTTP/1.1" {
		return fmt.Errorf("status line %q", line)
	}
	h.Proto = proto
	if h.Status, err = parseStatus(rest); err != nil {
		return fmt.Errorf("status line %q", line)
	}
	return nil
}

func parseStatus(text string) (int, error) {
	code, _, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || n < 100 || n > 599 {
		return 0, fmt.Errorf("status %q", text)
	}
	return n, nil
}

// parseField reads one header.
func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	f := Field{name, strings.Trim(value, " \t")}
	if !ok || !f.Valid() {
		return Field{}, fmt.Errorf("header %q", line)
	}
	return f, nil
}

// Valid tells whether a header can be written without becoming something else.
func (f Field) Valid() bool {
	return f.Name != "" && !strings.ContainsFunc(f.Name, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	}) && !strings.ContainsAny(f.Value, "\r\n\x00")
}

// add takes a header, and what it says of the body. Those that state it twice have to agree.
func (h *Head) add(f Field) error {
	switch {
	case strings.EqualFold(f.Name, "Content-Length"):
		for part := range strings.SplitSeq(f.Value, ",") {
			n, err := strconv.ParseUint(strings.Trim(part, " \t"), 10, 62)
			if err != nil || h.Length >= 0 && h.Length != int(n) {
				return fmt.Errorf("Content-Length %q", f.Value)
			}
			h.Length = int(n)
		}
		if slices.ContainsFunc(h.Fields, func(o Field) bool { return strings.EqualFold(o.Name, f.Name) }) {
			return nil
		}
		f.Value = strconv.Itoa(h.Length)
	case strings.EqualFold(f.Name, "Transfer-Encoding"):
		switch {
		case strings.EqualFold(f.Value, "identity"):
		case strings.EqualFold(f.Value, "chunked") && h.Proto == "HTTP/1.1" && !h.Chunked:
			h.Chunked = true
		default:
			return fmt.Errorf("Transfer-Encoding %q", f.Value)
		}
	case h.Proto == "CGI" && strings.EqualFold(f.Name, "Status"):
		n, err := parseStatus(f.Value)
		if err != nil || h.Status != 0 && h.Status != n {
			return fmt.Errorf("field Status %q", f.Value)
		}
		h.Status = n
		return nil // it is the status line's
	}
	h.Fields = append(h.Fields, f)
	return nil
}
