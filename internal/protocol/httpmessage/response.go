package httpmessage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// maxInterim bounds the number of interim (1xx) responses before the final one.
const maxInterim = 16

// Status codes have statusDigits digits, from minStatus to maxStatus.
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// protoCGI is the Head.Proto of a head without a status line.
const protoCGI = "CGI"

// Errors of responses.
var (
	ErrTooManyInterim     = errors.New("too many interim responses")
	ErrSwitchingProtocols = errors.New("status 101: the server switched protocols without a request to do so")
)

// Event is one part of a response.
type Event struct {
	Head *Head  // the complete head; nil in the other events
	Data []byte // part of the body, a slice of the input
	Done bool   // the response is complete
}

// ResponseReader is an incremental reader of one response of a uwsgi server. The head begins with a
// status line or is a CGI head without one, and its lines end with CRLF or LF. The body has a stated
// length or the chunked transfer coding, or ends with the stream. Ambiguous input is an error. The
// reader buffers nothing but the head.
type ResponseReader struct {
	headOnly bool // response to a HEAD request
	head     *Head
	body     *Body
	interim  int
}

// NewResponseReader returns a reader. headOnly states that the method of the request was HEAD, so
// that no body follows.
func NewResponseReader(headOnly bool) *ResponseReader { return &ResponseReader{headOnly: headOnly} }

// Head returns the head of the final response, or nil before it is complete.
func (r *ResponseReader) Head() *Head { return r.head }

// Next decodes one part of the response from the front of b, and returns how many bytes of b it
// used. end states that the stream ends after b. If no bytes are used and the event is empty, more
// input is needed. For a response that is incomplete at the end of the stream it returns
// io.ErrUnexpectedEOF.
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
		case h.Status == http.StatusSwitchingProtocols:
			return Event{}, 0, ErrSwitchingProtocols
		case h.isInterim():
			r.interim++
			if r.interim > maxInterim {
				return Event{}, 0, ErrTooManyInterim
			}
			return Event{}, n, nil
		}
		r.head = h
		r.body = r.frame(h)
		return Event{Head: h}, n, nil
	}
	data, used, done, err := r.body.Next(b, end)
	return Event{Data: data, Done: done}, used, err
}

// frame determines how the body is framed (RFC 9112, 6.3).
func (r *ResponseReader) frame(h *Head) *Body {
	switch {
	case r.headOnly || h.hasNoBody():
		return BodyOfLength(0)
	case h.Chunked:
		return ChunkedBody()
	case h.Length >= 0:
		return BodyOfLength(int64(h.Length))
	}
	return BodyUntilClose()
}

// readHead decodes a head from the front of b and returns how many bytes it takes, or 0 if b holds
// only a part of it.
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
			return nil, 0, fmt.Errorf("%w: a bare carriage return", &SyntaxError{"header", string(line)})
		}
		at += i + 1
		if len(line) == 0 {
			h, err := parseHead(lines)
			return h, at, err
		}
		lines = append(lines, string(line))
	}
}

// parseHead decodes the lines of a head: a status line and header fields or, for a CGI response,
// header fields alone.
func parseHead(lines []string) (*Head, error) {
	if len(lines) == 0 {
		return nil, &SyntaxError{Part: "an empty head"}
	}
	h := &Head{Length: -1, Proto: protoCGI}
	if strings.HasPrefix(lines[0], "HTTP/") {
		if err := h.parseStatusLine(lines[0]); err != nil {
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
		return nil, &SyntaxError{Part: "both Content-Length and a chunked body"}
	}
	if h.Status == 0 { // RFC 3875, 6.2 and 6.3.3
		h.Status = http.StatusOK
		if h.Get("Location") != "" {
			h.Status = http.StatusFound
		}
	}
	return h, nil
}

// parseStatusLine sets the protocol and the status.
func (h *Head) parseStatusLine(line string) error {
	proto, rest, _ := strings.Cut(line, " ")
	status, ok := parseStatus(rest)
	if !ok || proto != "HTTP/1.0" && proto != "HTTP/1.1" {
		return &SyntaxError{"status line", line}
	}
	h.Proto = proto
	h.Status = status
	return nil
}

// parseStatus decodes a status code. A reason phrase may follow it.
func parseStatus(text string) (status int, ok bool) {
	code, _, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(code)
	return n, err == nil && len(code) == statusDigits && n >= minStatus && n <= maxStatus
}

// parseField decodes one header field.
func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	f := Field{name, strings.Trim(value, " \t")}
	if !ok || !f.Valid() {
		return Field{}, &SyntaxError{"header", line}
	}
	return f, nil
}

// Valid reports whether the header field, once written, is read back unchanged.
func (f Field) Valid() bool {
	return IsToken(f.Name) && !strings.ContainsAny(f.Value, "\r\n\x00")
}

// IsToken reports whether s is a token (RFC 9110, 5.6.2), which names of fields and methods have to
// be.
func IsToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return isSpaceControlOrNonASCII(r) || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, r)
	})
}

// add adds a header field. It applies the fields that frame the body, and takes the status of a CGI
// head from the field Status. Repeated lengths or statuses have to agree.
func (h *Head) add(f Field) error {
	switch {
	case strings.EqualFold(f.Name, "Content-Length"):
		for part := range strings.SplitSeq(f.Value, ",") {
			n, err := strconv.ParseUint(strings.Trim(part, " \t"), 10, 62)
			if err != nil || h.Length >= 0 && h.Length != int(n) {
				return &SyntaxError{"Content-Length", f.Value}
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
			return &SyntaxError{"Transfer-Encoding", f.Value}
		}
	case h.Proto == protoCGI && strings.EqualFold(f.Name, "Status"):
		n, ok := parseStatus(f.Value)
		if !ok || h.Status != 0 && h.Status != n {
			return &SyntaxError{"field Status", f.Value}
		}
		h.Status = n
		return nil // it takes the place of a status line, and is not a header field
	}
	h.Fields = append(h.Fields, f)
	return nil
}
