package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// A frame consists of a magic number, the length of the encoded record, its CRC-32C, and the encoded
// record. Numbers are little-endian and have four bytes.
const (
	frameMagic       = 0x52594531 // "RYE1"
	frameHeaderSize  = 12
	lengthOffset     = 4
	checksumOffset   = 8
	maxRecordBytes   = 64 << 20
	minCompressBytes = 256 // a shorter body is not compressed
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// errTruncated reports that the input ends before the frame or header does.
	errTruncated = errors.New("truncated")
	// errCorrupt reports that the input is not a valid frame, header or snapshot.
	errCorrupt = errors.New("damaged")
)

// AppendFrame appends the frame of a record to b. It fails if the record is too large.
func AppendFrame(b []byte, r *Record) ([]byte, error) {
	payload, err := cbor.Marshal(compressed(r))
	if err != nil {
		return b, fmt.Errorf("store: cannot encode a record: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return b, fmt.Errorf("store: a record has %d bytes, more than the maximum of %d", len(payload), maxRecordBytes)
	}
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

// compressed returns the record with its body compressed, if that makes the body shorter. It does not
// change r.
func compressed(r *Record) *Record {
	if r.Result == nil || r.Result.Compressed || len(r.Result.Body) < minCompressBytes {
		return r
	}
	body := s2.Encode(nil, r.Result.Body)
	if len(body) >= len(r.Result.Body) {
		return r
	}
	result := *r.Result
	result.Body = body
	result.Compressed = true
	record := *r
	record.Result = &result
	return &record
}

// decoder decodes records. Its limits bound the memory that a damaged record can make it allocate.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 4096, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// ReadFrame decodes the record at the front of b and returns the size of its frame. It fails if b ends
// before the frame does, or does not begin with a valid frame.
func ReadFrame(b []byte) (r *Record, used int, err error) {
	if len(b) < frameHeaderSize {
		return nil, 0, errTruncated
	}
	n := int(binary.LittleEndian.Uint32(b[lengthOffset:]))
	if binary.LittleEndian.Uint32(b) != frameMagic || n > maxRecordBytes {
		return nil, 0, errCorrupt
	}
	if len(b) < frameHeaderSize+n {
		return nil, 0, errTruncated
	}
	payload := b[frameHeaderSize : frameHeaderSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return nil, 0, errCorrupt
	}
	r = &Record{}
	if err := decoder.Unmarshal(payload, r); err != nil {
		return nil, 0, errCorrupt
	}
	if r.Result != nil && r.Result.Compressed {
		if err := decompress(r.Result); err != nil {
			return nil, 0, err
		}
	}
	return r, frameHeaderSize + n, nil
}

// decompress replaces the compressed body of a result.
func decompress(result *Result) error {
	size, err := s2.DecodedLen(result.Body)
	if err != nil || size > maxRecordBytes {
		return errCorrupt
	}
	if result.Body, err = s2.Decode(nil, result.Body); err != nil {
		return errCorrupt
	}
	result.Compressed = false
	return nil
}
