package store

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// segmentScan describes the content of a segment, except for the records themselves.
type segmentScan struct {
	records   int
	tornBytes int64 // bytes left out at its end, never confirmed to be on the disk
	damage    []Damage
}

// scanSegment applies the records of a segment to a state. If mayBeTorn is set, a crash may have lost or
// torn the end of the segment, after the last byte that a SyncMark confirms to be on the disk. All other
// bytes must be readable, or count as damage.
func scanSegment(name string, content []byte, number uint64, mayBeTorn bool, s *State) (segmentScan, error) {
	var found segmentScan
	size := int64(len(content))
	if err := readHeader(name, content, number); err != nil {
		if newer := (*FormatError)(nil); errors.As(err, &newer) {
			return found, err
		}
		if markedBytes(content) > 0 || !mayBeTorn && size > 0 {
			found.damage = append(found.damage, Damage{name, 0, min(size, headerSize)})
		} else {
			found.tornBytes = size
		}
		if size < headerSize {
			return found, nil
		}
	}
	marked := markedBytes(content)
	for at := int64(headerSize); at < size; {
		record, n, err := ReadFrame(content[at:])
		if err == nil {
			at += int64(n)
			found.records++
			s.Apply(record)
			continue
		}
		if mayBeTorn && at >= marked {
			found.tornBytes = size - at
			return found, nil
		}
		next := nextFrame(content, at+1)
		if next < 0 {
			next = size
		}
		found.damage = append(found.damage, Damage{name, at, next})
		at = next
	}
	return found, nil
}

// markedBytes returns how many bytes of a segment its SyncMarks confirm to be on the disk.
func markedBytes(content []byte) (synced int64) {
	for at := nextFrame(content, 0); at >= 0; {
		record, n, err := ReadFrame(content[at:])
		if err != nil {
			at = nextFrame(content, at+1)
			continue
		}
		if record.Kind == SyncMark {
			synced = max(synced, record.SyncedBytes)
		}
		at += int64(n)
		if at >= int64(len(content)) {
			break
		}
		if !bytes.HasPrefix(content[at:], magicBytes) {
			at = nextFrame(content, at)
		}
	}
	return synced
}

// magicBytes is the encoded magic number with which a frame begins.
var magicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)

// nextFrame returns the offset of the first valid frame at or after from; -1 if there is none.
func nextFrame(content []byte, from int64) int64 {
	for from < int64(len(content)) {
		i := bytes.Index(content[from:], magicBytes)
		if i < 0 {
			return -1
		}
		from += int64(i)
		if _, _, err := ReadFrame(content[from:]); err == nil {
			return from
		}
		from++
	}
	return -1
}

// loadSnapshot applies a snapshot to a state. It fails unless the snapshot is complete.
func loadSnapshot(name string, content []byte, number uint64, s *State) error {
	if err := readHeader(name, content, number); err != nil {
		return err
	}
	count := 0
	for at := headerSize; at < len(content); {
		record, n, err := ReadFrame(content[at:])
		if err != nil {
			return err
		}
		at += n
		if record.Kind == EndOfSnapshot {
			if record.Count != count || at != len(content) {
				return errCorrupt
			}
			s.newestAt = max(s.newestAt, record.WrittenAt)
			return nil
		}
		count++
		s.Apply(record)
	}
	return errTruncated
}
