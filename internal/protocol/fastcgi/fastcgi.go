// Package fastcgi implements the record layer of the FastCGI 1.0 specification. It does no I/O: it
// decodes records from bytes and appends records to bytes. The platform's frontend uses it.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Record types (specification, section 8).
const (
	BeginRequest    = 1
	AbortRequest    = 2
	EndRequest      = 3
	Params          = 4
	Stdin           = 5
	Stdout          = 6
	Stderr          = 7
	Data            = 8
	GetValues       = 9
	GetValuesResult = 10
	UnknownType     = 11
)

// Responder is the only role that the frontend serves.
const Responder = 1

// KeepConnection is the flag of a BeginRequest that asks to keep the connection open.
const KeepConnection = 1

// Protocol statuses of an EndRequest.
const (
	RequestComplete = 0
	CannotMultiplex = 1
	Overloaded      = 2
	UnknownRole     = 3
)

// Sizes in bytes.
const (
	headerSize = 8
	maxContent = 65535
	maxPadding = 255
	bodySize   = 8 // of the content of a BeginRequest and of an EndRequest
	alignment  = 8 // records are padded to a multiple of it
	// MaxRecord is the largest size of a record.
	MaxRecord = headerSize + maxContent + maxPadding
)

// Offsets in the header of a record, and in the contents of a BeginRequest and an EndRequest.
const (
	typeOffset           = 1
	idOffset             = 2
	contentLengthOffset  = 4
	paddingLengthOffset  = 6
	beginFlagsOffset     = 2
	protocolStatusOffset = 4
)

// version is the protocol version, the first byte of a record's header.
const version = 1

// reserved is the last byte of a record's header.
const reserved = 0

// The length of a name or value is encoded in one byte up to maxShortLength, and otherwise in four
// bytes with the highest bit set.
const (
	maxShortLength = 127
	longLengthFlag = 1 << 31
)

// Errors of malformed records. After ErrVersion, the boundaries of further records are not known.
var (
	ErrVersion   = errors.New("fastcgi: not version 1")
	ErrTruncated = errors.New("fastcgi: truncated content")
)

// RecordTooLongError reports a record over the limit of Read. A reader that skips Size bytes can read the
// records behind it.
type RecordTooLongError struct {
	Type uint8
	ID   uint16
	Size int // of the whole record, in bytes
}

// Error implements error.
func (e *RecordTooLongError) Error() string {
	return fmt.Sprintf("fastcgi: record over its limit: %d bytes", e.Size)
}

// Record is one record. Content is a slice of the bytes that it was decoded from.
type Record struct {
	Type    uint8
	ID      uint16
	Content []byte
}

// Read decodes one record from the front of b and returns how many bytes it takes, or 0 if b holds
// only a part of it. For a record of more than maxSize bytes it returns ErrRecordTooLong as soon as
// b holds the header.
func Read(b []byte, maxSize int) (Record, int, error) {
	if len(b) > 0 && b[0] != version {
		return Record{}, 0, ErrVersion
	}
	if len(b) < headerSize {
		return Record{}, 0, nil
	}
	contentLength := int(binary.BigEndian.Uint16(b[contentLengthOffset:]))
	paddingLength := int(b[paddingLengthOffset])
	size := headerSize + contentLength + paddingLength
	recordType := b[typeOffset]
	id := binary.BigEndian.Uint16(b[idOffset:])
	if size > maxSize {
		return Record{}, 0, &RecordTooLongError{Type: recordType, ID: id, Size: size}
	}
	if len(b) < size {
		return Record{}, 0, nil
	}
	return Record{Type: recordType, ID: id, Content: b[headerSize : headerSize+contentLength]}, size, nil
}

// Append appends a record to b. Content that exceeds one record is split over several. Empty
// content results in one empty record, which ends a stream.
func Append(b []byte, typ uint8, id uint16, content []byte) []byte {
	for first := true; first || len(content) > 0; first = false {
		part := content[:min(len(content), maxContent)]
		content = content[len(part):]
		paddingLength := -len(part) & (alignment - 1)
		b = append(b, version, typ)
		b = binary.BigEndian.AppendUint16(b, id)
		b = binary.BigEndian.AppendUint16(b, uint16(len(part)))
		b = append(b, byte(paddingLength), reserved)
		b = append(b, part...)
		b = append(b, make([]byte, paddingLength)...)
	}
	return b
}

// BeginRequestBody is the content of a BeginRequest.
type BeginRequestBody struct {
	Role           uint16
	KeepConnection bool
}

// ReadBegin decodes the content of a BeginRequest.
func ReadBegin(content []byte) (BeginRequestBody, error) {
	if len(content) < bodySize {
		return BeginRequestBody{}, fmt.Errorf("%w: BeginRequest with a body of %d bytes", ErrTruncated, len(content))
	}
	return BeginRequestBody{
		Role:           binary.BigEndian.Uint16(content),
		KeepConnection: content[beginFlagsOffset]&KeepConnection != 0,
	}, nil
}

// AppendBegin appends a BeginRequest to b.
func AppendBegin(b []byte, id uint16, body BeginRequestBody) []byte {
	content := make([]byte, bodySize)
	binary.BigEndian.PutUint16(content, body.Role)
	if body.KeepConnection {
		content[beginFlagsOffset] = KeepConnection
	}
	return Append(b, BeginRequest, id, content)
}

// AppendEnd appends an EndRequest to b.
func AppendEnd(b []byte, id uint16, appStatus uint32, protocolStatus uint8) []byte {
	content := make([]byte, bodySize)
	binary.BigEndian.PutUint32(content, appStatus)
	content[protocolStatusOffset] = protocolStatus
	return Append(b, EndRequest, id, content)
}

// AppendPair appends a name and its value to the content of a Params or GetValuesResult record.
func AppendPair(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n <= maxShortLength {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|longLengthFlag)
		}
	}
	return append(append(b, name...), value...)
}

// ReadPairs calls fn for each name and value of a complete Params stream. It returns ErrTruncated if
// the stream ends within a pair.
func ReadPairs(b []byte, fn func(name, value string)) error {
	for len(b) > 0 {
		nameLength, rest, ok := readLength(b)
		if !ok {
			return fmt.Errorf("%w: a length", ErrTruncated)
		}
		valueLength, rest, ok := readLength(rest)
		if !ok {
			return fmt.Errorf("%w: a length", ErrTruncated)
		}
		size := nameLength + valueLength
		if size > len(rest) {
			return fmt.Errorf("%w: a pair of %d bytes in %d", ErrTruncated, size, len(rest))
		}
		fn(string(rest[:nameLength]), string(rest[nameLength:size]))
		b = rest[size:]
	}
	return nil
}

// readLength decodes the length of a name or value from the front of b, and returns the rest of b.
func readLength(b []byte) (length int, rest []byte, ok bool) {
	switch {
	case len(b) >= 1 && b[0] <= maxShortLength:
		return int(b[0]), b[1:], true
	case len(b) >= 4:
		return int(binary.BigEndian.Uint32(b) &^ longLengthFlag), b[4:], true
	}
	return 0, nil, false
}
