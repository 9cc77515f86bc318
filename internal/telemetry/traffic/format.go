// Package traffic records the requests that a runner received, and reads recordings for the simulator.
//
// A recording consists of the magic, the version, and frames. A frame has a kind, the length of the
// payload, a checksum and the payload; its numbers are little-endian. The first frame is the header,
// compressed blocks of requests follow, and the last is the trailer with the numbers of lost requests.
// A truncated or damaged frame is recognized, and the blocks before it are read.
package traffic

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"ryepaddle/internal/wallclock"
)

// Version is the version of the format that is written. Files of newer versions are refused.
const Version = 1

const magic = "RYETRAF\n"

// Kinds of frames.
const (
	frameHeader  = 'H'
	frameBlock   = 'B'
	frameTrailer = 'E'
)

// Layout of a frame before its payload, in bytes.
const (
	frameLengthOffset   = 1
	frameChecksumOffset = 5
	frameHeadSize       = 13
)

// maxPayload is the maximum length of a payload in bytes. A longer one is treated as damage.
const maxPayload = 16 << 20

// Header tells which runner recorded the traffic, and names its classes and tenants. Like the other
// values of a file it is stored as an array: the order of its fields is part of the format.
type Header struct {
	_         struct{} `cbor:",toarray"`
	Runner    string
	StartedAt wallclock.UnixMicro
	Classes   []string
	Tenants   []string
}

// Request is a request as a runner received it. Each retry by a caller is a Request of its own.
type Request struct {
	_         struct{}            `cbor:",toarray"`
	ArrivedAt wallclock.UnixMicro // at the machine; in a file, the time since the previous request of the block
	Class     uint16              // index into the classes of the header
	Tenant    uint16              // index into the tenants of the header
	Caller    uint32
	SizeKB    float32 // memory of the request while it is queued, in kB
	Rank      float32 // rank by priority weight, from 0 to below 1
	KeyHash   uint64  // of the idempotency key; 0: it has none
	BodyHash  uint64  // by which retries without a key are recognized; 0: it has no body
	BodyBytes uint32
}

// Lost counts requests that were not recorded, by reason.
type Lost struct {
	_      struct{} `cbor:",toarray"`
	Queue  int64    `json:"Queue"`  // the writer was too slow
	Bytes  int64    `json:"Bytes"`  // the file had reached its maximum size
	Errors int64    `json:"Errors"` // the disk failed
}

// Any reports whether anything was lost.
func (l Lost) Any() bool { return l.Total() > 0 }

// Total returns the number of lost requests.
func (l Lost) Total() int64 { return l.Queue + l.Bytes + l.Errors }

// add adds the counts of another recording.
func (l *Lost) add(other Lost) {
	l.Queue += other.Queue
	l.Bytes += other.Bytes
	l.Errors += other.Errors
}

// Trailer is the last frame of a complete file.
type Trailer struct {
	_        struct{} `cbor:",toarray"`
	Requests int64    // in the file
	Lost     Lost
}

// appendFrame appends a frame with the encoding of a value. Blocks are compressed.
func appendFrame(to []byte, kind byte, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return to, err
	}
	if kind == frameBlock {
		payload = s2.Encode(nil, payload)
	}
	to = append(to, kind)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint64(to, checksum(kind, payload))
	return append(to, payload...), nil
}

// checksum returns the checksum of a frame, which covers the payload, the kind and the length.
func checksum(kind byte, payload []byte) uint64 {
	d := xxhash.NewWithSeed(uint64(kind)<<32 | uint64(len(payload)))
	_, _ = d.Write(payload) // a hash returns no error
	return d.Sum64()
}

// appendBlock appends a block of requests. Arrivals are encoded as the time since the previous request.
func appendBlock(to []byte, requests []Request) ([]byte, error) {
	block := make([]Request, len(requests))
	previous := wallclock.UnixMicro(0)
	for i, q := range requests {
		block[i] = q
		block[i].ArrivedAt = q.ArrivedAt - previous
		previous = q.ArrivedAt
	}
	return appendFrame(to, frameBlock, block)
}

// appendStart appends the start of a file: the magic, the version and the header.
func appendStart(to []byte, h Header) ([]byte, error) {
	to = append(to, magic...)
	to = binary.LittleEndian.AppendUint16(to, Version)
	return appendFrame(to, frameHeader, h)
}
