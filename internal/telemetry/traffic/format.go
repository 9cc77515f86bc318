// Package traffic records what came to a runner, and reads it again for the simulator. A file is
// compact, carries its version, and has a checksum on each block, so that what was cut off or
// spoilt is noticed and the rest still serves.
//
// A file is the magic, the version, and then frames: a kind, the length of what follows, its
// checksum, and that. The first frame is the head; blocks of requests follow, compressed; the last
// is the end, with what was lost. Numbers are little-endian.
package traffic

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// Version of the format that is written. Older ones would be read as well; there are none yet.
const Version = 1

const magic = "RYETRAF\n"

// The kinds of frame.
const (
	frameHead  = 'H'
	frameBlock = 'B'
	frameEnd   = 'E'
)

const (
	frameLen  = 1 + 4 + 8 // kind, length, checksum
	mostFrame = 16 << 20  // a longer one is taken for noise
)

// Header says whose traffic it is.
type Header struct {
	_         struct{} `cbor:",toarray"`
	Runner    string
	StartedAt int64 // Unix time, microseconds
	Classes   []string
	Tenants   []string
}

// Request is one try that a runner read.
type Request struct {
	_         struct{} `cbor:",toarray"`
	ArrivedAt int64    // Unix time at which it reached the machine; in a file, since the one before
	Class     uint16   // of the head's
	Tenant    uint16
	Caller    uint32
	SizeKB    float32
	Rank      float32
	KeyHash   uint64 // hash of its dedupe key; 0: none
	BodyHash  uint64 // hash of its body, by which further tries are told
	BodyBytes uint32
}

// Lost counts requests that were not recorded, by why.
type Lost struct {
	_      struct{} `cbor:",toarray"`
	Queue  int64    `json:"Queue"`  // the writer was too slow
	Bytes  int64    `json:"Bytes"`  // the file had reached its bound
	Errors int64    `json:"Errors"` // the disk took no more
}

// Any tells whether anything was lost.
func (l Lost) Any() bool { return l.Queue+l.Bytes+l.Errors > 0 }

// Trailer closes a file that was finished.
type Trailer struct {
	_        struct{} `cbor:",toarray"`
	Requests int64
	Lost     Lost
}

// appendFrame adds a frame that holds a value.
func appendFrame(to []byte, kind byte, v any) ([]byte, error) {
	text, err := cbor.Marshal(v)
	if err != nil {
		return to, err
	}
	if kind == frameBlock {
		text = s2.Encode(nil, text)
	}
	to = append(to, kind)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(text)))
	to = binary.LittleEndian.AppendUint64(to, sum(kind, text))
	return append(to, text...), nil
}

// sum covers the kind and the length too: a frame that was cut and one that was swapped are both
// noticed.
func sum(kind byte, text []byte) uint64 {
	d := xxhash.NewWithSeed(uint64(kind)<<32 | uint64(len(text)))
	d.Write(text)
	return d.Sum64()
}

// appendBlock adds a frame of requests, with times as differences.
func appendBlock(to []byte, requests []Request) ([]byte, error) {
	block := make([]Request, len(requests))
	last := int64(0)
	for i, q := range requests {
		block[i] = q
		block[i].ArrivedAt = q.ArrivedAt - last
		last = q.ArrivedAt
	}
	return appendFrame(to, frameBlock, block)
}

// appendStart begins a file.
func appendStart(to []byte, h Header) ([]byte, error) {
	to = append(to, magic...)
	to = binary.LittleEndian.AppendUint16(to, Version)
	return appendFrame(to, frameHead, h)
}

// Recording is what a file holds.
type Recording struct {
	Header
	Requests   []Request
	Lost       Lost
	Truncation error // why the file ends early; nil: it was finished
	OutOfOrder int   // times that came before the one in front of them
}

// Errors of a file that cannot be used at all.
var (
	ErrNotRecording = errors.New("this is no recorded traffic")
	ErrNewerVersion = errors.New("a later version wrote it")
)

// decoding is strict about sizes: a file is somebody else's word.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Decode reads a file. What is cut off or spoilt ends it, and Cut says where; the blocks before
// that are whole.
func Decode(r io.Reader) (*Recording, error) {
	var start [len(magic) + 2]byte
	if _, err := io.ReadFull(r, start[:]); err != nil || string(start[:len(magic)]) != magic {
		return nil, ErrNotRecording
	}
	if v := binary.LittleEndian.Uint16(start[len(magic):]); v > Version {
		return nil, fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, v, Version)
	} else if v == 0 {
		return nil, ErrNotRecording
	}
	rec, at := &Recording{}, int64(len(start))
	kind, text, err := readFrame(r)
	if err != nil || kind != frameHead || decoding.Unmarshal(text, &rec.Header) != nil {
		return nil, fmt.Errorf("%w: its head cannot be read", ErrNotRecording)
	}
	at += frameLen + int64(len(text))
	for {
		kind, text, err := readFrame(r)
		if err == nil {
			err = rec.take(kind, text)
		}
		switch {
		case err == io.EOF:
			rec.Truncation = fmt.Errorf("at byte %d: it was not finished", at)
		case err != nil:
			rec.Truncation = fmt.Errorf("at byte %d: %w", at, err)
		case kind != frameEnd:
			at += frameLen + int64(len(text))
			continue
		}
		return rec, nil
	}
}

func readFrame(r io.Reader) (kind byte, text []byte, err error) {
	var head [frameLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[1:])
	if n > mostFrame {
		return 0, nil, fmt.Errorf("a frame of %d bytes", n)
	}
	if text, err = io.ReadAll(io.LimitReader(r, int64(n))); err != nil {
		return 0, nil, err
	}
	if len(text) < int(n) {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if sum(head[0], text) != binary.LittleEndian.Uint64(head[5:]) {
		return 0, nil, errors.New("a frame with a wrong checksum")
	}
	return head[0], text, nil
}

// take adds what a frame holds.
func (rec *Recording) take(kind byte, text []byte) error {
	switch kind {
	case frameBlock:
		n, err := s2.DecodedLen(text)
		if err != nil || n > mostFrame {
			return errors.New("a block that does not unpack")
		}
		plain, err := s2.Decode(nil, text)
		if err != nil {
			return fmt.Errorf("a block that does not unpack: %w", err)
		}
		var block []Request
		if err := decoding.Unmarshal(plain, &block); err != nil {
			return fmt.Errorf("a block that cannot be read: %w", err)
		}
		last := int64(0)
		for i := range block {
			q := &block[i]
			if int(q.Class) >= len(rec.Classes) || int(q.Tenant) >= len(rec.Tenants) {
				return fmt.Errorf(
					"a request of class %d and tenant %d, which the head does not name",
					q.Class,
					q.Tenant,
				)
			}
			q.ArrivedAt += last
			last = q.ArrivedAt
			if n := len(rec.Requests); n > 0 && q.ArrivedAt < rec.Requests[n-1].ArrivedAt {
				rec.OutOfOrder++
			}
			rec.Requests = append(rec.Requests, *q)
		}
	case frameEnd:
		var e Trailer
		if err := decoding.Unmarshal(text, &e); err != nil {
			return fmt.Errorf("an end that cannot be read: %w", err)
		}
		if rec.Lost = e.Lost; e.Requests != int64(len(rec.Requests)) {
			return fmt.Errorf("%d requests, and its end tells of %d", len(rec.Requests), e.Requests)
		}
	default:
		return fmt.Errorf("a frame of an unknown kind %q", kind)
	}
	return nil
}
