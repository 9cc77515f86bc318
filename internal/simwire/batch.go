package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"
)

// Sizes of the fixed parts of a frame, in bytes.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 64
	actionSize      = 24
)

// Layout of the header of a batch, in bytes.
const (
	batchSizeOffset  = 0 // size of the records and the tail
	batchCountOffset = 4 // number of events
	batchNowOffset   = 8 // time of the simulated clock
)

// maxMicros is the longest duration that a time.Duration can hold, in microseconds.
const maxMicros = math.MaxInt64 / 1000

// maxBatchSize bounds the memory that is allocated for one batch, in bytes.
const maxBatchSize = 1 << 30

var littleEndian = binary.LittleEndian

// FrameError reports a frame, or a record of a frame, that cannot be read or written.
type FrameError struct {
	Part string // of the frame, for example "record 3"
	Err  error
}

func (e *FrameError) Error() string { return "simwire: " + e.Part + ": " + e.Err.Error() }

// Unwrap returns the error of the part.
func (e *FrameError) Unwrap() error { return e.Err }

// frameErrorf returns a FrameError for a part.
func frameErrorf(part, format string, a ...any) error {
	return &FrameError{Part: part, Err: fmt.Errorf(format, a...)}
}

// Batch is one frame from the simulator.
type Batch struct {
	Now     time.Duration // time of the simulated clock
	records []byte
	tail    []byte
}

// Len returns the number of events in the batch.
func (b *Batch) Len() int { return len(b.records) / eventSize }

// ReadBatch reads one frame, into buf if that is large enough, and returns the buffer for the next
// call; the batch is valid until then. If no input is left, the error is io.EOF; all other errors are
// FrameErrors.
func ReadBatch(r io.Reader, buf []byte) (Batch, []byte, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, buf, io.EOF
		}
		return Batch{}, buf, &FrameError{Part: "batch header", Err: err}
	}
	size := littleEndian.Uint32(header[batchSizeOffset:])
	count := littleEndian.Uint32(header[batchCountOffset:])
	now := littleEndian.Uint64(header[batchNowOffset:])
	if err := checkHeader(size, count, now); err != nil {
		return Batch{}, buf, err
	}
	if cap(buf) < int(size) {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	if n, err := io.ReadFull(r, buf); err != nil {
		return Batch{}, buf, frameErrorf("batch", "%d of %d bytes: %w", n, size, io.ErrUnexpectedEOF)
	}
	tailStart := int(count) * eventSize
	return Batch{Now: micros(now), records: buf[:tailStart], tail: buf[tailStart:]}, buf, nil
}

// checkHeader checks a batch's size in bytes, number of records and time in microseconds.
func checkHeader(size, count uint32, now uint64) error {
	const part = "batch header"
	switch {
	case size > maxBatchSize:
		return frameErrorf(part, "size of %d bytes out of range", size)
	case uint64(count)*eventSize > uint64(size):
		return frameErrorf(part, "%d records do not fit in %d bytes", count, size)
	case now > maxMicros:
		return frameErrorf(part, "clock of %d us out of range", now)
	}
	return nil
}

// micros converts a time on the wire, in microseconds, and caps it at maxMicros.
func micros(v uint64) time.Duration {
	return time.Duration(min(v, maxMicros)) * time.Microsecond
}

// float decodes a 32-bit float.
func float(b []byte) float64 { return float64(math.Float32frombits(littleEndian.Uint32(b))) }
