// Package framing encodes payloads as consecutive frames of a stream or a file. Each payload follows a
// header with a magic number, the payload's length and its checksum (CRC-32C), all little-endian.
package framing

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// HeaderSize is the size of the header before each payload in bytes.
const HeaderSize = 12

// Byte offsets in the header.
const (
	lengthOffset   = 4
	checksumOffset = 8
)

// Errors of Next.
var (
	// ErrIncomplete is returned for data that ends within a frame.
	ErrIncomplete = errors.New("framing: the data ends within a frame")
	// ErrNoFrame is returned for data with another magic number or with a length over maxPayload.
	ErrNoFrame = errors.New("framing: wrong magic number or length")
	// ErrChecksum is returned for a payload that does not match its checksum.
	ErrChecksum = errors.New("framing: checksum mismatch")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Append appends the header and the payload to b.
func Append(b []byte, magic uint32, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// Next returns the payload of the frame at the start of b and the size of the frame in bytes. The payload
// shares memory with b.
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
