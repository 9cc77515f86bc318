package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"ryepaddle/internal/fault"
)

// Damage is a part of a file that cannot be read, and that a crash does not explain.
type Damage struct {
	File string `json:"File"`
	From int64  `json:"From"`
	To   int64  `json:"To"` // bytes
}

// DamageError tells of files that are damaged. A program does not start with them unless it is told
// to repair them.
type DamageError struct{ Damage []Damage }

// Fault implements fault.Classified.
func (e *DamageError) Fault() (*fault.Kind, fault.Location) {
	return faultDamaged, fault.Location{File: e.Damage[0].File}
}

func (e *DamageError) Error() string {
	d := e.Damage[0]
	return fmt.Sprintf(
		"store: %s: bytes %d to %d are damaged, %d places in all: what they held is lost; -repair keeps the file aside and goes on",
		d.File,
		d.From,
		d.To,
		len(e.Damage),
	)
}

// segmentScan is what a file holds.
type segmentScan struct {
	Records   int
	TornBytes int64 // bytes at its end that were never promised to be there
	Damage    []Damage
	Whole     bool // of a snapshot: its end is there
}

// scanSegment applies the records of a segment. The end of the last one may be missing, torn, or there in
// part: what a crash leaves behind a point that was on the disk for sure. Only what a later mark
// vouches for must be there; and all of a segment that another one follows, if the journal was
// written with syncs.
func scanSegment(name string, b []byte, number uint64, last bool, s *State) (segmentScan, error) {
	var out segmentScan
	if err := readHeader(name, b, number); err != nil {
		var format *FormatError
		if errors.As(err, &format) {
			return out, err
		}
		if markedBytes(b) > 0 || !last && len(b) > 0 {
			out.Damage = append(out.Damage, Damage{name, 0, min(int64(len(b)), headerSize)})
		} else {
			out.TornBytes = int64(len(b))
		}
		if len(b) < headerSize {
			return out, nil
		}
	}
	at := int64(headerSize)
	vouched := markedBytes(b)
	for at < int64(len(b)) {
		r, n, err := ReadFrame(b[at:])
		if err == nil {
			at += int64(n)
			out.Records++
			s.Apply(r)
			continue
		}
		next := nextFrame(b, at+1)
		if last && at >= vouched {
			out.TornBytes = int64(len(b)) - at
			return out, nil
		}
		to := next
		if to < 0 {
			to = int64(len(b))
		}
		out.Damage = append(out.Damage, Damage{name, at, to})
		at = to
	}
	return out, nil
}

// markedBytes is up to where a segment's own marks say that it is on the disk.
func markedBytes(b []byte) (synced int64) {
	for at := nextFrame(b, 0); at >= 0; {
		r, n, err := ReadFrame(b[at:])
		if err != nil {
			at = nextFrame(b, at+1)
			continue
		}
		if r.Kind == SyncMark {
			synced = max(synced, r.SyncedBytes)
		}
		if at += int64(n); at >= int64(len(b)) {
			break
		}
		if !bytes.HasPrefix(b[at:], magicBytes) {
			at = nextFrame(b, at)
		}
	}
	return synced
}

var magicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)

// nextFrame finds the next whole frame from a place on; -1: there is none.
func nextFrame(b []byte, from int64) int64 {
	for from < int64(len(b)) {
		i := bytes.Index(b[from:], magicBytes)
		if i < 0 {
			return -1
		}
		from += int64(i)
		if _, _, err := ReadFrame(b[from:]); err == nil {
			return from
		}
		from++
	}
	return -1
}

// loadSnapshot applies a snapshot. One that is not whole is none.
func loadSnapshot(name string, b []byte, number uint64, s *State) error {
	if err := readHeader(name, b, number); err != nil {
		return err
	}
	n := 0
	for at := headerSize; at < len(b); {
		r, used, err := ReadFrame(b[at:])
		if err != nil {
			return err
		}
		at += used
		if r.Kind == EndOfSnapshot {
			if r.Count != n || at != len(b) {
				return errCorrupt
			}
			s.newestAt = max(s.newestAt, r.WrittenAt)
			return nil
		}
		n++
		s.Apply(r)
	}
	return errTruncated
}
