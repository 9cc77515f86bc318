// Package uwsgi reads and writes the packets of the uwsgi protocol and the HTTP-style responses
// that follow them. It holds no sockets: bytes in, messages out.
package uwsgi

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"ryepaddle/internal/protocol/httpmessage"
)

const (
	headerSize = 4
	// MaxVariablesBytes is the most bytes that the variables of one packet take.
	MaxVariablesBytes = 65535
)

// The ways in which a packet can be wrong.
var (
	ErrModifier          = errors.New("uwsgi: not a request packet")
	ErrPing              = errors.New("uwsgi: a ping with variables")
	ErrVariablesTooLong  = errors.New("uwsgi: variables over their limit")
	ErrTruncatedVariable = errors.New("uwsgi: a variable is cut off")
	ErrContentLength     = errors.New("uwsgi: bad CONTENT_LENGTH")
	ErrBodyTooLong       = errors.New("uwsgi: body over its limit")
)

// Variable is one variable of a request, under its CGI name.
type Variable struct{ Name, Value string }

// Request is one request packet and the body behind it.
type Request struct {
	Variables []Variable
	Body      []byte
}

// Get is the value of a variable, or nothing. Of two by one name the first counts.
func (r *Request) Get(name string) string {
	for _, v := range r.Variables {
		if v.Name == name {
			return v.Value
		}
	}
	return ""
}

// The modifiers that are served: of requests, and of pings, whose second modifier tells a ping from
// its answer.
const (
	ModifierRequest = 0
	ModifierPing    = 100
	pingAsk         = 0
	pingAnswer      = 1
)

// Head is a packet without the body behind it.
type Head struct {
	Ping      bool // it asks whether anybody is there; Vars is empty
	Variables []Variable
}

// ReadHead takes a packet from the front of b. It returns 0 bytes used when b holds only a part of
// one. What is over its limit, in bytes, or of a kind that is not served, is an error as soon as it
// is stated.
func ReadHead(b []byte, maxVars int) (*Head, int, error) {
	if len(b) > 0 && b[0] != ModifierRequest && b[0] != ModifierPing {
		return nil, 0, fmt.Errorf("%w: modifier %d", ErrModifier, b[0])
	}
	if len(b) < headerSize {
		return nil, 0, nil
	}
	size := int(binary.LittleEndian.Uint16(b[1:]))
	if b[0] == ModifierPing {
		switch {
		case b[3] != pingAsk:
			return nil, 0, fmt.Errorf("%w: an answer to a ping that nobody sent", ErrModifier)
		case size != 0:
			return nil, 0, ErrPing
		}
		return &Head{Ping: true}, headerSize, nil
	}
	if size > maxVars {
		return nil, 0, fmt.Errorf("%w: %d bytes", ErrVariablesTooLong, size)
	}
	if len(b) < headerSize+size {
		return nil, 0, nil
	}
	r := &Request{}
	if err := r.readVars(b[headerSize : headerSize+size]); err != nil {
		return nil, 0, err
	}
	return &Head{Variables: r.Variables}, headerSize + size, nil
}

// AppendPing adds the answer to a ping.
func AppendPing(b []byte) []byte { return append(b, ModifierPing, 0, 0, pingAnswer) }

// Read takes a request with a body of a stated length from the front of b. It returns 0 bytes used
// when b holds only a part of one. What is over a limit, in bytes, is an error as soon as it is
// stated, before it has come.
func Read(b []byte, maxVars, maxBody int) (*Request, int, error) {
	h, n, err := ReadHead(b, maxVars)
	switch {
	case err != nil || n == 0:
		return nil, 0, err
	case h.Ping:
		return nil, 0, fmt.Errorf("%w: a ping", ErrModifier)
	}
	r, size := &Request{Variables: h.Variables}, n-headerSize
	length := 0
	if text := r.Get("CONTENT_LENGTH"); text != "" {
		n, err := strconv.ParseUint(text, 10, 62)
		if err != nil {
			return nil, 0, fmt.Errorf("%w: %q", ErrContentLength, text)
		}
		if n > uint64(maxBody) {
			return nil, 0, fmt.Errorf("%w: %d bytes", ErrBodyTooLong, n)
		}
		length = int(n)
	}
	whole := headerSize + size + length
	if len(b) < whole {
		return nil, 0, nil
	}
	r.Body = bytes.Clone(b[headerSize+size : whole])
	return r, whole, nil
}

func (r *Request) readVars(b []byte) error {
	take := func() (string, bool) {
		if len(b) < 2 {
			return "", false
		}
		n := int(binary.LittleEndian.Uint16(b))
		if len(b) < 2+n {
			return "", false
		}
		s := string(b[2 : 2+n])
		b = b[2+n:]
		return s, true
	}
	for len(b) > 0 {
		name, ok := take()
		if !ok {
			return ErrTruncatedVariable
		}
		value, ok := take()
		if !ok {
			return ErrTruncatedVariable
		}
		r.Variables = append(r.Variables, Variable{name, value})
	}
	return nil
}

// Append adds a request to b.
func Append(b []byte, r *Request) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	for _, v := range r.Variables {
		if len(v.Name) > MaxVariablesBytes || len(v.Value) > MaxVariablesBytes {
			return nil, ErrVariablesTooLong
		}
		b = binary.LittleEndian.AppendUint16(b, uint16(len(v.Name)))
		b = append(b, v.Name...)
		b = binary.LittleEndian.AppendUint16(b, uint16(len(v.Value)))
		b = append(b, v.Value...)
	}
	size := len(b) - start - headerSize
	if size > MaxVariablesBytes {
		return nil, ErrVariablesTooLong
	}
	binary.LittleEndian.PutUint16(b[start+1:], uint16(size))
	return append(b, r.Body...), nil
}

// Response is a whole response.
type Response struct {
	Status int
	Fields []httpmessage.Field
	Body   []byte
}

// hopByHop are the headers that are about one connection, which a translator does not pass on. The
// length is stated anew.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Transfer-Encoding",
	"Upgrade",
	"Trailer",
	"TE",
}

// IsHopByHop tells whether a header is about one connection, which a translator does not pass on.
func IsHopByHop(name string) bool {
	return slices.ContainsFunc(hopByHop, func(hop string) bool { return strings.EqualFold(hop, name) })
}

// AppendHead adds the head of a response whose body follows as it comes. A body of no stated length
// ends with the stream.
func AppendHead(b []byte, status int, fields []httpmessage.Field, length int64) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		if f.Valid() { // a header that would become two never goes out, wherever it came from
			b = fmt.Appendf(b, "%s: %s\r\n", f.Name, f.Value)
		}
	}
	if length >= 0 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", length)
	}
	return append(b, "Connection: close\r\n\r\n"...)
}

// AppendResponse adds a response to b. It states the length of the body unless only the head was
// asked for.
func AppendResponse(b []byte, r *Response, headOnly bool) []byte {
	length := int64(len(r.Body))
	if headOnly || r.Status == 204 || r.Status == 304 {
		length = -1
	}
	b = AppendHead(b, r.Status, r.Fields, length)
	if headOnly {
		return b
	}
	return append(b, r.Body...)
}
