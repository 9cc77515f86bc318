package traffic

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"ryepaddle/internal/wallclock"
)

// Errors of Decode for a file that cannot be read at all.
var (
	ErrNotRecording = errors.New("this is no recorded traffic")
	ErrNewerVersion = errors.New("a later version wrote it")
)

// Recording is the contents of a file, or of several that Read merged.
type Recording struct {
	Header
	Requests   []Request
	Lost       Lost
	Truncation error // where and why reading ended early; nil: the file is complete
	OutOfOrder int   // requests whose arrival is earlier than that of the request before them
}

// decoder bounds the length of arrays and the nesting, because the files are not trusted.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Decode reads a file. It stops at the first frame that is truncated or damaged, and Truncation tells
// where; the blocks before it are complete. The error wraps ErrNotRecording or ErrNewerVersion.
func Decode(r io.Reader) (*Recording, error) {
	if err := readStart(r); err != nil {
		return nil, err
	}
	rec := &Recording{}
	kind, payload, err := readFrame(r)
	if err != nil || kind != frameHeader || decoder.Unmarshal(payload, &rec.Header) != nil {
		return nil, fmt.Errorf("%w: the header cannot be decoded", ErrNotRecording)
	}
	offset := int64(startSize + frameHeadSize + len(payload))
	for {
		kind, payload, err := readFrame(r)
		if errors.Is(err, io.EOF) {
			rec.Truncation = fmt.Errorf("at byte %d: the file ends without a trailer", offset)
			return rec, nil
		}
		if err == nil {
			err = rec.addFrame(kind, payload)
		}
		if err != nil {
			rec.Truncation = fmt.Errorf("at byte %d: %w", offset, err)
			return rec, nil
		}
		if kind == frameTrailer {
			return rec, nil
		}
		offset += int64(frameHeadSize + len(payload))
	}
}

// startSize is the length of the magic and the version.
const startSize = len(magic) + 2

// readStart reads and checks the magic and the version.
func readStart(r io.Reader) error {
	var start [startSize]byte
	if _, err := io.ReadFull(r, start[:]); err != nil || string(start[:len(magic)]) != magic {
		return ErrNotRecording
	}
	v := binary.LittleEndian.Uint16(start[len(magic):])
	if v > Version {
		return fmt.Errorf("%w: version %d, this program reads up to %d", ErrNewerVersion, v, Version)
	}
	if v == 0 {
		return ErrNotRecording
	}
	return nil
}

// readFrame reads a frame and checks its checksum. The error is io.EOF if the file ends between two frames.
func readFrame(r io.Reader) (kind byte, payload []byte, err error) {
	var head [frameHeadSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[frameLengthOffset:])
	if n > maxPayload {
		return 0, nil, fmt.Errorf("a frame of %d bytes is too long", n)
	}
	if payload, err = io.ReadAll(io.LimitReader(r, int64(n))); err != nil {
		return 0, nil, err
	}
	if len(payload) < int(n) {
		return 0, nil, io.ErrUnexpectedEOF
	}
	kind = head[0]
	if checksum(kind, payload) != binary.LittleEndian.Uint64(head[frameChecksumOffset:]) {
		return 0, nil, errors.New("the checksum of a frame does not match")
	}
	return kind, payload, nil
}

// addFrame adds the contents of a frame.
func (rec *Recording) addFrame(kind byte, payload []byte) error {
	switch kind {
	case frameBlock:
		return rec.addBlock(payload)
	case frameTrailer:
		return rec.addTrailer(payload)
	default:
		return fmt.Errorf("a frame of an unknown kind %q", kind)
	}
}

func (rec *Recording) addBlock(payload []byte) error {
	n, err := s2.DecodedLen(payload)
	if err != nil || n > maxPayload {
		return errors.New("a block cannot be decompressed")
	}
	plain, err := s2.Decode(nil, payload)
	if err != nil {
		return fmt.Errorf("a block cannot be decompressed: %w", err)
	}
	var block []Request
	if err := decoder.Unmarshal(plain, &block); err != nil {
		return fmt.Errorf("a block cannot be decoded: %w", err)
	}
	previous := wallclock.UnixMicro(0)
	for _, q := range block {
		if int(q.Class) >= len(rec.Classes) || int(q.Tenant) >= len(rec.Tenants) {
			return fmt.Errorf(
				"a request of class %d and tenant %d, which the header does not list",
				q.Class,
				q.Tenant,
			)
		}
		q.ArrivedAt += previous
		previous = q.ArrivedAt
		if n := len(rec.Requests); n > 0 && q.ArrivedAt < rec.Requests[n-1].ArrivedAt {
			rec.OutOfOrder++
		}
		rec.Requests = append(rec.Requests, q)
	}
	return nil
}

func (rec *Recording) addTrailer(payload []byte) error {
	var t Trailer
	if err := decoder.Unmarshal(payload, &t); err != nil {
		return fmt.Errorf("the trailer cannot be decoded: %w", err)
	}
	rec.Lost = t.Lost
	if t.Requests != int64(len(rec.Requests)) {
		return fmt.Errorf("%d requests were read, but the trailer counts %d", len(rec.Requests), t.Requests)
	}
	return nil
}
