// Package wal is a runner's part among its peers on its disk: the consensus group's log, which is
// there before what depends on it is said, and what is held of each slot now and then, which only
// saves sending. It blocks, and is used beside the loop by one goroutine.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/replication"
)

const (
	logFile    = "council"
	slotPrefix = "slot-"
	tempSuffix = ".new"
	magic      = 0x52594356 // "RYCV"
	headerSize = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is the files of a folder.
type Log struct {
	dir     store.FS
	file    store.File // nil: it has to be begun anew
	records []consensus.DurableRecord
	unlock  func() error
}

// Recovery is what a folder has.
type Recovery struct {
	Log            []consensus.DurableRecord
	Slots          []replication.SlotSnapshot
	TruncatedBytes int // bytes at the end of the log that are not whole: nobody was told of them
	DamagedSlots   int // slots whose files are damaged, and count for nothing
}

// Open takes a folder, which no other process uses.
func Open(fsys store.FS) (*Log, *Recovery, error) {
	lock, err := fsys.Lock()
	if err != nil {
		return nil, nil, err
	}
	v := &Log{dir: fsys, unlock: lock}
	f, err := v.load()
	if err != nil {
		return nil, nil, errors.Join(err, lock())
	}
	return v, f, nil
}

func (v *Log) load() (*Recovery, error) {
	f := &Recovery{}
	b, err := v.dir.Read(logFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	for len(b) > 0 {
		var k consensus.DurableRecord
		used, err := readFrame(b, &k)
		if err != nil {
			f.TruncatedBytes = len(b)
			break
		}
		v.records, b = append(v.records, k), b[used:]
	}
	f.Log = v.records
	names, err := v.dir.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, slotPrefix) || strings.HasSuffix(name, tempSuffix) {
			continue
		}
		b, err := v.dir.Read(name)
		if err != nil {
			return nil, err
		}
		var s replication.SlotSnapshot
		if _, err := readFrame(b, &s); err != nil {
			f.DamagedSlots++
			continue
		}
		f.Slots = append(f.Slots, s)
	}
	return f, nil
}

// appendFrame is a value with its length and checksum.
func appendFrame(b []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

var errDamaged error = kindDamaged.New("wal: it is not whole")

// readFrame reads the value at the front of b.
func readFrame(b []byte, value any) (used int, err error) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b) != magic {
		return 0, errDamaged
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > len(b)-headerSize || crc32.Checksum(b[headerSize:headerSize+n], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, errDamaged
	}
	if err := cbor.Unmarshal(b[headerSize:headerSize+n], value); err != nil {
		return 0, kindDamaged.New("wal: %w", err)
	}
	return headerSize + n, nil
}

// Append has a record of the consensus group on the disk once it returns nil. After an error all of
// the log is written anew.
func (v *Log) Append(k *consensus.DurableRecord) error {
	if k.VoterID != 0 { // it begins anew with this one
		v.records = nil
		v.closeFile()
	}
	v.records = append(v.records, *k)
	if v.file == nil {
		return v.rewrite()
	}
	b, err := appendFrame(nil, k)
	if err == nil {
		if _, err = v.file.Write(b); err == nil {
			err = v.file.Sync()
		}
	}
	if err != nil {
		v.records = v.records[:len(v.records)-1] // it is given again
		v.closeFile()
	}
	return err
}

// rewrite writes all of the log beside the old one, in whose place it comes whole.
func (v *Log) rewrite() (err error) {
	defer func() {
		if err != nil {
			v.records = v.records[:len(v.records)-1]
			v.closeFile()
		}
	}()
	var b []byte
	for i := range v.records {
		if b, err = appendFrame(b, &v.records[i]); err != nil {
			return err
		}
	}
	if v.file, err = v.replaceFile(logFile, b); err != nil {
		return err
	}
	return nil
}

// replaceFile has a file on the disk, whole, and leaves it open.
func (v *Log) replaceFile(name string, b []byte) (f store.File, err error) {
	if err := v.dir.Remove(name + tempSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if f, err = v.dir.Create(name + tempSuffix); err != nil {
		return nil, err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = errors.Join(v.dir.Rename(name+tempSuffix, name), v.dir.SyncDir())
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (v *Log) closeFile() {
	if v.file != nil {
		_ = v.file.Close() // what was synced is there
		v.file = nil
	}
}

// SaveSlot has what is held of a slot on the disk.
func (v *Log) SaveSlot(s *replication.SlotSnapshot) error {
	b, err := appendFrame(nil, s)
	if err != nil {
		return err
	}
	f, err := v.replaceFile(fmt.Sprintf("%s%04d", slotPrefix, s.Slot), b)
	if err != nil {
		return err
	}
	return f.Close()
}

// Close gives the folder back.
func (v *Log) Close() error {
	v.closeFile()
	return v.unlock()
}
