// Package uwsgi implements the packets of the uwsgi protocol, and the HTTP-style responses that
// follow them. It does no I/O: it decodes messages from bytes and appends messages to bytes. The
// uwsgi frontend uses it as a server, and package upstream as a client.
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

// Sizes in bytes.
const (
	headerSize = 4
	lengthSize = 2 // of the length before a name or a value
	// MaxVariablesBytes is the largest size of the variables of one packet.
	MaxVariablesBytes = 65535
)

// Offsets in the header of a packet.
const (
	modifier1Offset = 0
	sizeOffset      = 1
	modifier2Offset = 3
)

// Errors of malformed packets.
var (
	ErrModifier          = errors.New("uwsgi: not a request packet")
	ErrPing              = errors.New("uwsgi: a ping with variables")
	ErrVariablesTooLong  = errors.New("uwsgi: variables over their limit")
	ErrTruncatedVariable = errors.New("uwsgi: a variable is cut off")
	ErrContentLength     = errors.New("uwsgi: bad CONTENT_LENGTH")
	ErrBodyTooLong       = errors.New("uwsgi: body over its limit")
)

// Variable is one variable of a request, with its CGI name.
type Variable struct{ Name, Value string }

// Request is a request packet with the body that follows it.
type Request struct {
	Variables []Variable
	Body      []byte
}

// Get returns the value of the first variable with the given name, or an empty string.
func (r *Request) Get(name string) string {
	for _, v := range r.Variables {
		if v.Name == name {
			return v.Value
		}
	}
	return ""
}

// First modifiers of the packets that ReadHead accepts.
const (
	ModifierRequest = 0
	ModifierPing    = 100
)

// Second modifiers of a ping and of its answer.
const (
	pingRequest = 0
	pingAnswer  = 1
)

// Head is a packet without the body that follows it.
type Head struct {
	Ping      bool // a liveness check of the peer; it has no variables
	Variables []Variable
}

// ReadHead decodes a packet from the front of b and returns how many bytes it takes, or 0 if b
// holds only a part of it. For a packet of another kind, or one whose variables exceed maxVariables
// bytes, it returns an error as soon as b holds the header.
func ReadHead(b []byte, maxVariables int) (*Head, int, error) {
	if len(b) == 0 {
		return nil, 0, nil
	}
	modifier := b[modifier1Offset]
	if modifier != ModifierRequest && modifier != ModifierPing {
		return nil, 0, fmt.Errorf("%w: modifier %d", ErrModifier, modifier)
	}
	if len(b) < headerSize {
		return nil, 0, nil
	}
	size := int(binary.LittleEndian.Uint16(b[sizeOffset:]))
	if modifier == ModifierPing {
		switch {
		case b[modifier2Offset] != pingRequest:
			return nil, 0, fmt.Errorf("%w: an unsolicited answer to a ping", ErrModifier)
		case size != 0:
			return nil, 0, ErrPing
		}
		return &Head{Ping: true}, headerSize, nil
	}
	if size > maxVariables {
		return nil, 0, fmt.Errorf("%w: %d bytes", ErrVariablesTooLong, size)
	}
	if len(b) < headerSize+size {
		return nil, 0, nil
	}
	variables, err := readVariables(b[headerSize : headerSize+size])
	if err != nil {
		return nil, 0, err
	}
	return &Head{Variables: variables}, headerSize + size, nil
}

// AppendPing appends the answer to a ping to b.
func AppendPing(b []byte) []byte { return append(b, ModifierPing, 0, 0, pingAnswer) }

// Read decodes a request with a body of a stated length from the front of b and returns how many
// bytes it takes, or 0 if b holds only a part of it. For variables or a body over their limits, in
// bytes, it returns an error as soon as b holds their length.
func Read(b []byte, maxVariables, maxBody int) (*Request, int, error) {
	head, headSize, err := ReadHead(b, maxVariables)
	switch {
	case err != nil || headSize == 0:
		return nil, 0, err
	case head.Ping:
		return nil, 0, fmt.Errorf("%w: a ping", ErrModifier)
	}
	r := &Request{Variables: head.Variables}
	bodySize, err := r.contentLength(maxBody)
	if err != nil {
		return nil, 0, err
	}
	size := headSize + bodySize
	if len(b) < size {
		return nil, 0, nil
	}
	r.Body = bytes.Clone(b[headSize:size])
	return r, size, nil
}

// contentLength returns the stated length of the body in bytes, or 0 if none is stated.
func (r *Request) contentLength(maxBody int) (int, error) {
	text := r.Get("CONTENT_LENGTH")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 62)
	if err != nil {
		return 0, fmt.Errorf("%w: %q", ErrContentLength, text)
	}
	if n > uint64(maxBody) {
		return 0, fmt.Errorf("%w: %d bytes", ErrBodyTooLong, n)
	}
	return int(n), nil
}

// readVariables decodes all variables of a packet.
func readVariables(b []byte) ([]Variable, error) {
	var variables []Variable
	for len(b) > 0 {
		name, rest, ok := readString(b)
		if !ok {
			return nil, ErrTruncatedVariable
		}
		value, rest, ok := readString(rest)
		if !ok {
			return nil, ErrTruncatedVariable
		}
		variables = append(variables, Variable{Name: name, Value: value})
		b = rest
	}
	return variables, nil
}

// readString decodes a string with its length before it, and returns the rest of b.
func readString(b []byte) (s string, rest []byte, ok bool) {
	if len(b) < lengthSize {
		return "", nil, false
	}
	end := lengthSize + int(binary.LittleEndian.Uint16(b))
	if len(b) < end {
		return "", nil, false
	}
	return string(b[lengthSize:end]), b[end:], true
}

// Append appends a request to b. It returns ErrVariablesTooLong if the variables do not fit
// into a packet.
func Append(b []byte, r *Request) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, headerSize)...)
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
	binary.LittleEndian.PutUint16(b[start+sizeOffset:], uint16(size))
	return append(b, r.Body...), nil
}

// Response is a complete response.
type Response struct {
	Status int
	Fields []httpmessage.Field
	Body   []byte
}

// hopByHop lists the headers that concern a single connection (RFC 9110, 7.6.1). A gateway does not
// forward them.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Transfer-Encoding",
	"Upgrade",
	"Trailer",
	"TE",
}

// IsHopByHop reports whether a header concerns a single connection and is not forwarded.
func IsHopByHop(name string) bool {
	return slices.ContainsFunc(hopByHop, func(hop string) bool { return strings.EqualFold(hop, name) })
}

// AppendHead appends the head of a response to b. length is the length of the body in bytes. If it
// is negative, the head states no length, and the body ends with the connection.
func AppendHead(b []byte, status int, fields []httpmessage.Field, length int64) []byte {
	b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		if f.Valid() { // never write a header that could be read as two
			b = fmt.Appendf(b, "%s: %s\r\n", f.Name, f.Value)
		}
	}
	if length >= 0 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", length)
	}
	return append(b, "Connection: close\r\n\r\n"...)
}

// AppendResponse appends a response to b. If headOnly is set, the body and its length are left out.
func AppendResponse(b []byte, r *Response, headOnly bool) []byte {
	length := int64(len(r.Body))
	if headOnly || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified {
		length = -1
	}
	b = AppendHead(b, r.Status, r.Fields, length)
	if headOnly {
		return b
	}
	return append(b, r.Body...)
}
