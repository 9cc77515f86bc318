// Package traffic records the requests that a runner received, and reads recordings for the simulator.
//
// A recording is the magic, the version, and frames: a kind, the length of the payload, its checksum
// and the payload, with numbers in little-endian. The first frame is the header, blocks of requests
// follow, compressed, and the last is the trailer with what was lost. What was cut off or damaged is
// recognized, and the blocks before it are read.
package traffic

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"ryepaddle/internal/wallclock"
)

// Version is that of the format that is written. Newer ones are refused.
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

// maxPayload is the most bytes of a payload. A longer one is taken for damage.
const maxPayload = 16 << 20

// Header says whose traffic it is. As the other values of a file it is stored as an array: the order
// of its fields is part of the format.
type Header struct {
	_         struct{} `cbor:",toarray"`
	Runner    string
	StartedAt wallclock.UnixMicro
	Classes   []string
	Tenants   []string
}

// Request is an attempt of a request that a runner received.
type Request struct {
	_         struct{}            `cbor:",toarray"`
	ArrivedAt wallclock.UnixMicro // at the machine; in a file, since the one before
	Class     uint16              // index into the classes of the header
	Tenant    uint16              // index into its tenants
	Caller    uint32
	SizeKB    float32
	Rank      float32
	KeyHash   uint64 // of its idempotency key; 0: it has none
	BodyHash  uint64 // by which retries are recognized; 0: it has no body
	BodyBytes uint32
}

// Lost counts requests that were not recorded, by reason.
type Lost struct {
	_      struct{} `cbor:",toarray"`
	Queue  int64    `json:"Queue"`  // the writer was too slow
	Bytes  int64    `json:"Bytes"`  // the file had reached its bound
	Errors int64    `json:"Errors"` // the disk failed
}

// Any reports whether anything was lost.
func (l Lost) Any() bool { return l.Total() > 0 }

// Total returns the number of lost requests.
func (l Lost) Total() int64 { return l.Queue + l.Bytes + l.Errors }

// add adds what another recording lost.
func (l *Lost) add(other Lost) {
	l.Queue += other.Queue
	l.Bytes += other.Bytes
	l.Errors += other.Errors
}

// Trailer ends a complete file.
type Trailer struct {
	_        struct{} `cbor:",toarray"`
	Requests int64    // in the file
	Lost     Lost
}

// appendFrame appends a frame with a value.
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

// checksum returns the checksum of a payload, which covers its kind and length too.
func checksum(kind byte, payload []byte) uint64 {
	d := xxhash.NewWithSeed(uint64(kind)<<32 | uint64(len(payload)))
	_, _ = d.Write(payload) // a hash does not fail
	return d.Sum64()
}

// appendBlock appends a frame of requests, with their arrivals as differences.
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

// appendStart appends what a file begins with.
func appendStart(to []byte, h Header) ([]byte, error) {
	to = append(to, magic...)
	to = binary.LittleEndian.AppendUint16(to, Version)
	return appendFrame(to, frameHeader, h)
}
