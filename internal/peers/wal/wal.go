// Package wal keeps on disk what a runner needs among its peers: the consensus group's log, which is
// written ahead of the messages that depend on it, and snapshots of slots of keys, which only save
// sending. Its calls block; one goroutine uses it.
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

// Names of files, which folders of earlier versions have.
const (
	logFile    = "council"
	slotPrefix = "slot-"
	tempSuffix = ".new"
)

const magic = 0x52594356 // "RYCV"

// Log has the files of a folder. Close unlocks it.
type Log struct {
	dir     store.FS
	file    store.File // the consensus group's log; nil: it has to be written anew
	records []consensus.DurableRecord
	unlock  func() error
}

// Recovery is what a folder has.
type Recovery struct {
	Log   []consensus.DurableRecord
	Slots []replication.SlotSnapshot
	// TruncatedBytes are those at the end of the log that are no complete record. Nothing was sent
	// that depends on them.
	TruncatedBytes int
	DamagedSlots   int // snapshots that cannot be read
}

// Open opens and locks a folder, which no other process may use.
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

// loadLog reads the records up to the first one that is not complete.
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

// loadSlots reads the snapshots that are complete.
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

// encode appends a value in a frame.
func encode(b []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	return framing.Append(b, magic, payload), nil
}

// decode reads the value at the front of b, and returns the number of bytes that it takes.
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

// Append has a record of the consensus group on disk once it returns nil. After an error the record
// is to be appended again, and the log is written anew.
func (l *Log) Append(record *consensus.DurableRecord) error {
	if record.VoterID != 0 { // the log begins with this record
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

// appendLast writes the last record, with all before it if there is no open file.
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

// rewrite replaces the log by a new one with all records.
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

// replaceFile replaces a file as a whole, and returns it open.
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
		_ = l.file.Close() // what was synced is on disk
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

// Close closes the log and unlocks the folder.
func (l *Log) Close() error {
	l.closeFile()
	return l.unlock()
}
