// Package store keeps remembered keys on a disk, so that a crash does not forget them: an
// append-only journal in segments, and snapshots that cut it. What is decided (what a sequence of
// records means, what a damaged file is good for, when a snapshot is due, what becomes of a disk
// that fails) is decided free of I/O; files are reached through FS.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"ryepaddle/internal/fault"
	"ryepaddle/internal/wallclock"
)

// KeyName is whose key it is. Classes and tenants go by their names: their places in a configuration
// change.
type KeyName struct {
	Class  string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint,omitempty"`
	Key    string `cbor:"3,keyasint"`
}

// RecordKind is what a record says.
type RecordKind uint8

// The kinds. A reader that does not know one of 128 or more skips it.
const (
	RunStarted    RecordKind = iota + 1 // a run is about to begin: from here on it may have run
	RunEnded                            // it ended, with a result or without
	KeyReleased                         // it is proven that it never ran
	SyncMark                            // all of the segment before it is on the disk for sure
	EndOfSnapshot                       // the end of a snapshot
)

// Field is one named value of a result.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Result is what a run made.
type Result struct {
	Status     int     `cbor:"1,keyasint"`
	Fields     []Field `cbor:"2,keyasint,omitempty"`
	Body       []byte  `cbor:"3,keyasint,omitempty"`
	Compressed bool    `cbor:"4,keyasint,omitempty"` // Body is compressed
}

// Record is one entry of the journal.
type Record struct {
	Kind RecordKind `cbor:"1,keyasint"`
	Name KeyName    `cbor:"2,keyasint,omitempty"`
	// the try that it is about; others of its key are not touched by its end
	Owner     uint64              `cbor:"3,keyasint,omitempty"`
	WrittenAt wallclock.UnixMicro `cbor:"4,keyasint,omitempty"` // when it was written
	ExpiresAt wallclock.UnixMicro `cbor:"5,keyasint,omitempty"` // up to which a repeat may arrive
	BodyHash  [32]byte            `cbor:"6,keyasint,omitempty"` // stands for the request's body
	// of Ended without a result: how repeats are answered
	Status      uint8   `cbor:"7,keyasint,omitempty"`
	Result      *Result `cbor:"8,keyasint,omitempty"`
	SyncedBytes int64   `cbor:"9,keyasint,omitempty"`  // of Mark: so many bytes
	Count       int     `cbor:"10,keyasint,omitempty"` // of Last: records before it
}

// A frame is a magic number, the length of what follows, its checksum, and the record.
const (
	frameMagic       = 0x52594531 // "RYE1"
	frameHead        = 12
	maxRecord        = 64 << 20
	minCompressBytes = 256 // bytes of a body that are worth packing
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTruncated: the bytes end before the frame does.
	errTruncated = errors.New("cut off")
	// errCorrupt: the bytes are no frame.
	errCorrupt = errors.New("damaged")
)

// AppendFrame appends a record as a frame.
func AppendFrame(b []byte, r *Record) ([]byte, error) {
	if r.Result != nil && len(r.Result.Body) >= minCompressBytes && !r.Result.Compressed {
		if packed := s2.Encode(nil, r.Result.Body); len(packed) < len(r.Result.Body) {
			copied, res := *r, *r.Result
			res.Body, res.Compressed = packed, true
			copied.Result = &res
			r = &copied
		}
	}
	payload, err := cbor.Marshal(r)
	if err != nil {
		return b, fmt.Errorf("store: record: %w", err)
	}
	if len(payload) > maxRecord {
		return b, fmt.Errorf("store: record of %d bytes is over %d", len(payload), maxRecord)
	}
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// ReadFrame reads the record at the front of b. errTruncated and errCorrupt tell what is wrong.
func ReadFrame(b []byte) (r *Record, used int, err error) {
	if len(b) < frameHead {
		return nil, 0, errTruncated
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if binary.LittleEndian.Uint32(b) != frameMagic || n > maxRecord {
		return nil, 0, errCorrupt
	}
	if len(b) < frameHead+n {
		return nil, 0, errTruncated
	}
	payload := b[frameHead : frameHead+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, errCorrupt
	}
	r = &Record{}
	if err := decoder.Unmarshal(payload, r); err != nil {
		return nil, 0, errCorrupt
	}
	if res := r.Result; res != nil && res.Compressed {
		size, err := s2.DecodedLen(res.Body)
		if err != nil || size > maxRecord {
			return nil, 0, errCorrupt
		}
		if res.Body, err = s2.Decode(nil, res.Body); err != nil {
			return nil, 0, errCorrupt
		}
		res.Compressed = false
	}
	return r, frameHead + n, nil
}

// A file begins with its header: what it is, the format, and its number.
const (
	headerSize = 20
	// Format is that of the files that are written. Newer ones are refused; fields that older ones
	// lack are nought.
	Format = 1
)

var fileMagic = [8]byte{'r', 'y', 'e', 's', 't', 'o', 'r', 'e'}

// FormatError tells of a file in a format that this program does not know.
type FormatError struct {
	File   string
	Format int
}

// Fault implements fault.Classified.
func (e *FormatError) Fault() (*fault.Kind, fault.Location) {
	return faultNewerFormat, fault.Location{File: e.File}
}

func (e *FormatError) Error() string {
	return fmt.Sprintf(
		"store: %s: format %d, and this program knows up to %d: it was written by a newer one",
		e.File,
		e.Format,
		Format,
	)
}

func appendHeader(b []byte, number uint64) []byte {
	b = append(b, fileMagic[:]...)
	b = binary.LittleEndian.AppendUint32(b, Format)
	return binary.LittleEndian.AppendUint64(b, number)
}

// readHeader checks the header of a file.
func readHeader(name string, b []byte, number uint64) error {
	if len(b) < headerSize {
		return errTruncated
	}
	if [8]byte(b) != fileMagic {
		return errCorrupt
	}
	if f := binary.LittleEndian.Uint32(b[8:]); f > Format {
		return &FormatError{name, int(f)}
	}
	if binary.LittleEndian.Uint64(b[12:]) != number {
		return errCorrupt
	}
	return nil
}
