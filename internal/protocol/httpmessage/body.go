package httpmessage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Errors of malformed bodies.
var (
	ErrChunk          = errors.New("a chunk that cannot be read")
	ErrTrailerTooLong = errors.New("trailer over its limit")
)

// Bounds of a chunked body.
const (
	maxChunkLineBytes = 256 // size and extensions
	maxTrailerBytes   = 8 << 10
	maxSizeDigits     = 15 // hexadecimal digits that fit into an int64
)

// crlf ends each line and the data of each chunk.
const crlf = "\r\n"

// framing is the way in which the end of a body is determined.
type framing uint8

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
)

// chunkState is the part of a chunked body that comes next.
type chunkState uint8

const (
	chunkSizeLine chunkState = iota
	chunkData
	chunkDataEnd // the line end after the data
	trailerSection
)

// Body is an incremental reader of a message body. It buffers nothing.
type Body struct {
	framing      framing
	remaining    int64 // bytes of the body, or of the current chunk
	state        chunkState
	trailerBytes int // read so far
	done         bool
}

// BodyOfLength returns a reader of a body of n bytes.
func BodyOfLength(n int64) *Body { return &Body{framing: framedByLength, remaining: n} }

// ChunkedBody returns a reader of a body with the chunked transfer coding (RFC 9112, 7.1).
func ChunkedBody() *Body { return &Body{framing: framedByChunks} }

// BodyUntilClose returns a reader of a body that ends with the stream.
func BodyUntilClose() *Body { return &Body{framing: framedByClose} }

// Next decodes the next part of the body from the front of b, and returns how many bytes of b it
// used. end states that the stream ends after b. data is a slice of b. done reports the end of the
// body; no input is used after it. If no bytes are used and done is false, more input is needed. For
// a body that is incomplete at the end of the stream it returns io.ErrUnexpectedEOF.
func (r *Body) Next(b []byte, end bool) (data []byte, used int, done bool, err error) {
	if r.done {
		return nil, 0, true, nil
	}
	switch r.framing {
	case framedByLength:
		data = r.take(b)
		used = len(data)
		done = r.remaining == 0
	case framedByClose:
		data = b
		used = len(b)
		done = end
	default:
		data, used, done, err = r.nextChunkPart(b)
	}
	r.done = done
	// The stream may also end within the size line of a chunk, with input that is not a complete line.
	if err == nil && !done && end && (used == 0 || used == len(b)) {
		err = io.ErrUnexpectedEOF
	}
	return data, used, done, err
}

// take returns the part of b that belongs to the body or the current chunk, and subtracts its length
// from the remaining bytes.
func (r *Body) take(b []byte) []byte {
	n := int(min(r.remaining, int64(len(b))))
	r.remaining -= int64(n)
	return b[:n]
}

// nextChunkPart decodes the next part of a chunked body.
func (r *Body) nextChunkPart(b []byte) (data []byte, used int, done bool, err error) {
	switch r.state {
	case chunkSizeLine:
		used, err = r.readSizeLine(b)
		return nil, used, false, err
	case chunkData:
		data = r.take(b)
		if r.remaining == 0 {
			r.state = chunkDataEnd
		}
		return data, len(data), false, nil
	case chunkDataEnd:
		used, err = r.readDataEnd(b)
		return nil, used, false, err
	}
	used, done, err = r.readTrailerLine(b)
	return nil, used, done, err
}

// readSizeLine decodes the line before a chunk. A size of 0 ends the data.
func (r *Body) readSizeLine(b []byte) (used int, err error) {
	line, used, err := crlfLine(b, maxChunkLineBytes, ErrChunk)
	if err != nil || used == 0 {
		return 0, err
	}
	size, err := chunkSize(line)
	if err != nil {
		return 0, err
	}
	r.remaining = size
	r.state = chunkData
	if size == 0 {
		r.state = trailerSection
	}
	return used, nil
}

// readDataEnd decodes the line end after a chunk's data.
func (r *Body) readDataEnd(b []byte) (used int, err error) {
	isPrefix := strings.HasPrefix(crlf, string(b[:min(len(b), len(crlf))]))
	if !isPrefix {
		return 0, fmt.Errorf("%w: it is longer than its size", ErrChunk)
	}
	if len(b) < len(crlf) {
		return 0, nil
	}
	r.state = chunkSizeLine
	return len(crlf), nil
}

// readTrailerLine decodes one line of the trailer section, which ends with an empty line. Fields
// are validated and discarded.
func (r *Body) readTrailerLine(b []byte) (used int, done bool, err error) {
	line, used, err := crlfLine(b, maxTrailerBytes-r.trailerBytes, ErrTrailerTooLong)
	if err != nil || used == 0 {
		return 0, false, err
	}
	r.trailerBytes += used
	if len(line) == 0 {
		return used, true, nil
	}
	if _, err := parseField(string(line)); err != nil {
		return 0, false, err
	}
	return used, false, nil
}

// crlfLine returns the line at the front of b without its line end, and how many bytes it takes
// including the line end, or 0 if it is incomplete. For a line of more than maxBytes it returns the
// error tooLong.
func crlfLine(b []byte, maxBytes int, tooLong error) (line []byte, used int, err error) {
	i := bytes.IndexByte(b[:min(len(b), maxBytes+1)], '\n')
	switch {
	case i < 0 && len(b) > maxBytes:
		return nil, 0, tooLong
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r':
		return nil, 0, fmt.Errorf("%w: a bare line feed", ErrChunk)
	}
	return b[:i-1], i + 1, nil
}

// chunkSize decodes the size in bytes from the size line of a chunk. Extensions are ignored.
func chunkSize(line []byte) (int64, error) {
	size, extensions, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > maxSizeDigits || bytes.ContainsAny(extensions, "\r\x00") {
		return 0, fmt.Errorf("%w: size %q", ErrChunk, line)
	}
	n := int64(0)
	for _, c := range size {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int64(c-'0')
		case c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F':
			n = n<<4 | int64(c|0x20-'a'+10)
		default:
			return 0, fmt.Errorf("%w: size %q", ErrChunk, line)
		}
	}
	return n, nil
}

// AppendChunk appends a chunk to b. An empty chunk ends the body.
func AppendChunk(b, data []byte) []byte {
	b = fmt.Appendf(b, "%x\r\n", len(data))
	b = append(b, data...)
	return append(b, crlf...)
}
