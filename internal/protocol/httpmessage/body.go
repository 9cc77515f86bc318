package httpmessage

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// The ways in which a body can be wrong.
var (
	ErrChunk          = errors.New("a chunk that cannot be read")
	ErrTrailerTooLong = errors.New("trailer over its limit")
)

const (
	mostChunkLine = 256 // its extensions with it; none is known here
	mostTrailer   = 8 << 10
	mostDigits    = 15 // of a chunk's size in hex; more would not fit a signed number
)

type framing uint8

const (
	byLength framing = iota
	byChunks
	toEnd
)

type chunkState uint8

const (
	inSize chunkState = iota
	inData
	behindData
	inTrailer
)

// Body reads the body of a message as it comes, whatever pieces it comes in. It keeps none of it.
type Body struct {
	framing framing
	left    int64 // of the length, or of a chunk
	state   chunkState
	trailer int // bytes of it so far
	over    bool
}

// BodyOfLength reads a body of so many bytes.
func BodyOfLength(n int64) *Body { return &Body{framing: byLength, left: n} }

// ChunkedBody reads a body in chunks.
func ChunkedBody() *Body { return &Body{framing: byChunks} }

// BodyUntilClose reads a body that ends with the stream.
func BodyUntilClose() *Body { return &Body{framing: toEnd} }

// Next takes what it can from the front of b. Data is a part of b; done tells that the body is
// over, and nothing behind it was taken. Nothing used and not done means that more has to come. At
// the end of the stream a body that is not over is cut off, which is io.ErrUnexpectedEOF.
func (r *Body) Next(b []byte, end bool) (data []byte, used int, done bool, err error) {
	if r.over {
		return nil, 0, true, nil
	}
	switch r.framing {
	case byLength:
		n := int(min(r.left, int64(len(b))))
		r.left -= int64(n)
		data, used, done = b[:n], n, r.left == 0
	case toEnd:
		data, used, done = b, len(b), end
	default:
		data, used, done, err = r.chunk(b)
	}
	// or in the middle of a chunk's line
	if r.over = done; err == nil && !done && end && (used == 0 || used == len(b)) {
		err = io.ErrUnexpectedEOF
	}
	return data, used, done, err
}

// chunk takes one step in a body of chunks.
func (r *Body) chunk(b []byte) (data []byte, used int, done bool, err error) {
	switch r.state {
	case inSize:
		line, n, err := crlfLine(b, mostChunkLine, ErrChunk)
		if err != nil || n == 0 {
			return nil, 0, false, err
		}
		size, err := chunkSize(line)
		if err != nil {
			return nil, 0, false, err
		}
		if r.left, r.state = size, inData; size == 0 {
			r.state = inTrailer
		}
		return nil, n, false, nil
	case inData:
		n := int(min(r.left, int64(len(b))))
		if r.left -= int64(n); r.left == 0 {
			r.state = behindData
		}
		return b[:n], n, false, nil
	case behindData:
		if len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n' {
			return nil, 0, false, fmt.Errorf("%w: it is longer than its size", ErrChunk)
		}
		if len(b) < 2 {
			return nil, 0, false, nil
		}
		r.state = inSize
		return nil, 2, false, nil
	}
	line, n, err := crlfLine(b, mostTrailer-r.trailer, ErrTrailerTooLong)
	if err != nil || n == 0 {
		return nil, 0, false, err
	}
	r.trailer += n
	if len(line) == 0 {
		return nil, n, true, nil
	}
	if _, err := parseField(string(line)); err != nil { // read, and not passed on
		return nil, 0, false, err
	}
	return nil, n, false, nil
}

// crlfLine is the line at the front of b without its end; 0 bytes used: it has not come whole.
func crlfLine(b []byte, most int, long error) (line []byte, used int, err error) {
	i := bytes.IndexByte(b[:min(len(b), most+1)], '\n')
	switch {
	case i < 0 && len(b) > most:
		return nil, 0, long
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r':
		return nil, 0, fmt.Errorf("%w: a bare line feed", ErrChunk)
	}
	return b[:i-1], i + 1, nil
}

// chunkSize reads the size at the front of a chunk's line. Extensions are passed over.
func chunkSize(line []byte) (int64, error) {
	size, ext, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > mostDigits || bytes.ContainsAny(ext, "\r\x00") {
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

// AppendChunk adds a chunk; an empty one ends the body.
func AppendChunk(b, data []byte) []byte {
	b = fmt.Appendf(b, "%x\r\n", len(data))
	return append(append(b, data...), '\r', '\n')
}
