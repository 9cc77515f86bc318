// Package fastcgi reads and writes the records of FastCGI 1.0. It holds no sockets: bytes in,
// records out.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Types of records.
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

// Roles, flags and protocol statuses.
const (
	Responder      = 1
	KeepConnection = 1

	RequestComplete = 0
	CannotMultiplex = 1
	Overloaded      = 2
	UnknownRole     = 3
)

const (
	version    = 1
	headerSize = 8
	maxContent = 65535
	// MaxRecord is the most bytes that one record takes.
	MaxRecord = headerSize + maxContent + 255
)

// The ways in which a record can be wrong.
var (
	ErrVersion       = errors.New("fastcgi: not version 1") // the peer speaks something else
	ErrRecordTooLong = errors.New("fastcgi: record over its limit")
)

// Record is one record. Content is a part of the bytes that it was read from.
type Record struct {
	Type    uint8
	ID      uint16
	Content []byte
}

// Read takes one record from the front of b. It returns 0 bytes used when b holds only a part of
// one. One that is longer than most is an error as soon as its head has come.
func Read(b []byte, most int) (Record, int, error) {
	if len(b) > 0 && b[0] != version {
		return Record{}, 0, ErrVersion
	}
	if len(b) < headerSize {
		return Record{}, 0, nil
	}
	n := int(binary.BigEndian.Uint16(b[4:]))
	size := headerSize + n + int(b[6])
	if size > most {
		return Record{}, 0, fmt.Errorf("%w: %d bytes", ErrRecordTooLong, size)
	}
	if len(b) < size {
		return Record{}, 0, nil
	}
	return Record{
		Type:    b[1],
		ID:      binary.BigEndian.Uint16(b[2:]),
		Content: b[headerSize : headerSize+n],
	}, size, nil
}

// Append adds one record to b. Content over the size of a record is split; empty content makes one
// empty record.
func Append(b []byte, typ uint8, id uint16, content []byte) []byte {
	for first := true; first || len(content) > 0; first = false {
		part := content[:min(len(content), maxContent)]
		content = content[len(part):]
		pad := -len(part) & 7
		b = append(b, version, typ, byte(id>>8), byte(id), byte(len(part)>>8), byte(len(part)), byte(pad), 0)
		b = append(b, part...)
		b = append(b, make([]byte, pad)...)
	}
	return b
}

// BeginRequestBody is the content of a BeginRequest.
type BeginRequestBody struct {
	Role           uint16
	KeepConnection bool
}

// ReadBegin reads the content of a BeginRequest.
func ReadBegin(content []byte) (BeginRequestBody, error) {
	if len(content) < 8 {
		return BeginRequestBody{}, fmt.Errorf("fastcgi: begin of %d bytes", len(content))
	}
	return BeginRequestBody{Role: binary.BigEndian.Uint16(content), KeepConnection: content[2]&KeepConnection != 0}, nil
}

// AppendBegin adds a BeginRequest.
func AppendBegin(b []byte, id uint16, v BeginRequestBody) []byte {
	content := make([]byte, 8)
	binary.BigEndian.PutUint16(content, v.Role)
	if v.KeepConnection {
		content[2] = KeepConnection
	}
	return Append(b, BeginRequest, id, content)
}

// AppendEnd adds an EndRequest.
func AppendEnd(b []byte, id uint16, appStatus uint32, protocolStatus uint8) []byte {
	content := make([]byte, 8)
	binary.BigEndian.PutUint32(content, appStatus)
	content[4] = protocolStatus
	return Append(b, EndRequest, id, content)
}

// AppendPair adds one name and value to the content of a Params or GetValuesResult record.
func AppendPair(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 128 {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
		}
	}
	return append(append(b, name...), value...)
}

// ReadPairs calls fn for each name and value of a whole stream.
func ReadPairs(b []byte, fn func(name, value string)) error {
	for len(b) > 0 {
		var size [2]int
		for i := range size {
			switch {
			case len(b) >= 1 && b[0] < 128:
				size[i], b = int(b[0]), b[1:]
			case len(b) >= 4:
				size[i], b = int(binary.BigEndian.Uint32(b)&^(1<<31)), b[4:]
			default:
				return errors.New("fastcgi: a length is cut off")
			}
		}
		if size[0]+size[1] > len(b) {
			return fmt.Errorf("fastcgi: a pair of %d bytes in %d", size[0]+size[1], len(b))
		}
		fn(string(b[:size[0]]), string(b[size[0]:size[0]+size[1]]))
		b = b[size[0]+size[1]:]
	}
	return nil
}
