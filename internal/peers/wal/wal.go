// Package wal stores a runner's consensus and replication state on disk: the write-ahead log of the
// consensus group, whose records are durable before the messages that depend on them are sent, and
// snapshots of slots of keys, which only reduce the records that have to be sent after a restart. Its
// calls block, and only one goroutine may use it.
package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/framing"
	"ryepaddle/internal/peers/replication"
)

// Names of files. Folders of earlier versions have the same names.
const (
	logFile    = "council"
	slotPrefix = "slot-"
	tempSuffix = ".new"
)

const magic = 0x52594356 // "RYCV"

// Log holds the write-ahead log and the slot snapshots of a folder, which is locked until Close.
type Log struct {
	dir     store.FS
	file    store.File // the write-ahead log; nil: it must be rewritten
	records []consensus.DurableRecord
	unlock  func() error
}

// Recovery is the state that Open found in a folder.
type Recovery struct {
	Log   []consensus.DurableRecord
	Slots []replication.SlotSnapshot
	// TruncatedBytes is the number of bytes after the last complete record of the log, such as those of a
	// torn write. No message that depends on them was sent.
	TruncatedBytes int
	DamagedSlots   int // number of snapshots that cannot be decoded
}

// Open locks a folder against use by other processes and loads its contents.
func Open(dir store.FS) (*Log, *Recovery, error) {
	unlock, err := dir.Lock()
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, unlock: unlock}
	recovery, err := l.load()
	if err != nil {
		return nil, nil, errors.Join(err, unlock())
	}
	return l, recovery, nil
}

func (l *Log) load() (*Recovery, error) {
	recovery := &Recovery{}
	if err := l.loadLog(recovery); err != nil {
		return nil, err
	}
	if err := l.loadSlots(recovery); err != nil {
		return nil, err
	}
	return recovery, nil
}

// loadLog reads the records up to the first one that is incomplete or damaged.
func (l *Log) loadLog(recovery *Recovery) error {
	b, err := l.dir.Read(logFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for len(b) > 0 {
		var record consensus.DurableRecord
		used, err := decode(b, &record)
		if err != nil {
			recovery.TruncatedBytes = len(b)
			break
		}
		l.records, b = append(l.records, record), b[used:]
	}
	recovery.Log = l.records
	return nil
}

// loadSlots reads the snapshots and counts those that are damaged.
func (l *Log) loadSlots(recovery *Recovery) error {
	names, err := l.dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, slotPrefix) || strings.HasSuffix(name, tempSuffix) {
			continue
		}
		b, err := l.dir.Read(name)
		if err != nil {
			return err
		}
		var snapshot replication.SlotSnapshot
		if _, err := decode(b, &snapshot); err != nil {
			recovery.DamagedSlots++
			continue
		}
		recovery.Slots = append(recovery.Slots, snapshot)
	}
	return nil
}

// encode appends the frame of a value to b.
func encode(b []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	return framing.Append(b, magic, payload), nil
}

// decode decodes the value in the frame at the start of b and returns the size of the frame.
func decode(b []byte, value any) (used int, err error) {
	payload, used, err := framing.Next(b, magic, math.MaxUint32)
	if err != nil {
		return 0, kindDamaged.New("wal: %w", err)
	}
	if err := cbor.Unmarshal(payload, value); err != nil {
		return 0, kindDamaged.New("wal: decode a record: %w", err)
	}
	return used, nil
}

// Append appends a record of the consensus group, which is durable once Append returns nil. After an
// error the caller has to append the record again, which rewrites the log.
func (l *Log) Append(record *consensus.DurableRecord) error {
	if record.VoterID != 0 { // the log starts anew with this record
		l.records = nil
		l.closeFile()
	}
	l.records = append(l.records, *record)
	err := l.appendLast()
	if err != nil {
		l.records = l.records[:len(l.records)-1]
		l.closeFile()
	}
	return err
}

// appendLast writes and syncs the last record. If the log is not open, it writes all records.
func (l *Log) appendLast() error {
	if l.file == nil {
		return l.rewrite()
	}
	b, err := encode(nil, &l.records[len(l.records)-1])
	if err != nil {
		return err
	}
	if _, err := l.file.Write(b); err != nil {
		return err
	}
	return l.file.Sync()
}

// rewrite replaces the log by a new file with all records.
func (l *Log) rewrite() (err error) {
	var b []byte
	for i := range l.records {
		if b, err = encode(b, &l.records[i]); err != nil {
			return err
		}
	}
	l.file, err = l.replaceFile(logFile, b)
	return err
}

// replaceFile replaces a file atomically and durably, and returns the new file open for writing.
func (l *Log) replaceFile(name string, b []byte) (store.File, error) {
	temp := name + tempSuffix
	if err := l.dir.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	f, err := l.dir.Create(temp)
	if err != nil {
		return nil, err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = errors.Join(l.dir.Rename(temp, name), l.dir.SyncDir())
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close() // all acknowledged records were synced
		l.file = nil
	}
}

// SaveSlot replaces the snapshot of a slot.
func (l *Log) SaveSlot(snapshot *replication.SlotSnapshot) error {
	b, err := encode(nil, snapshot)
	if err != nil {
		return err
	}
	f, err := l.replaceFile(fmt.Sprintf("%s%04d", slotPrefix, snapshot.Slot), b)
	if err != nil {
		return err
	}
	return f.Close()
}

// Close closes the log file and unlocks the folder.
func (l *Log) Close() error {
	l.closeFile()
	return l.unlock()
}
