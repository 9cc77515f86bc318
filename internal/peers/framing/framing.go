// Package framing puts payloads one after the other into a stream or a file, each behind a header
// with a magic number, its length and its checksum (CRC-32C), all little-endian.
package framing

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// HeaderSize is the number of bytes before each payload.
const HeaderSize = 12

// Offsets in the header.
const (
	lengthOffset   = 4
	checksumOffset = 8
)

// Errors of Next.
var (
	// ErrIncomplete is the error of data that ends before the payload does.
	ErrIncomplete = errors.New("framing: the data ends within a frame")
	// ErrNoFrame is the error of data with another magic number, or with a length over the bound.
	ErrNoFrame = errors.New("framing: not a frame")
	// ErrChecksum is the error of a payload that does not have its checksum.
	ErrChecksum = errors.New("framing: a damaged frame")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends a payload behind its header.
func Append(b []byte, magic uint32, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// Next returns the payload at the front of b, which it shares, and the number of bytes that it takes
// with its header.
func Next(b []byte, magic uint32, maxPayload int) (payload []byte, used int, err error) {
	if len(b) < HeaderSize {
		return nil, 0, ErrIncomplete
	}
	length := int(binary.LittleEndian.Uint32(b[lengthOffset:]))
	if binary.LittleEndian.Uint32(b) != magic || length > maxPayload {
		return nil, 0, ErrNoFrame
	}
	if len(b)-HeaderSize < length {
		return nil, 0, ErrIncomplete
	}
	payload = b[HeaderSize : HeaderSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return nil, 0, ErrChecksum
	}
	return payload, HeaderSize + length, nil
}
