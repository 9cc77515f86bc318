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
	logFile  = "council"
	slotMark = "slot-"
	newMark  = ".new"
	magic    = 0x52594356 // "RYCV"
	head     = 12
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is the files of a folder.
type Log struct {
	fs   store.FS
	log  store.File // nil: it has to be begun anew
	all  []consensus.DurableRecord
	lock func() error
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
	v := &Log{fs: fsys, lock: lock}
	f, err := v.read()
	if err != nil {
		return nil, nil, errors.Join(err, lock())
	}
	return v, f, nil
}

func (v *Log) read() (*Recovery, error) {
	f := &Recovery{}
	b, err := v.fs.Read(logFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	for len(b) > 0 {
		var k consensus.DurableRecord
		used, err := next(b, &k)
		if err != nil {
			f.TruncatedBytes = len(b)
			break
		}
		v.all, b = append(v.all, k), b[used:]
	}
	f.Log = v.all
	names, err := v.fs.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, slotMark) || strings.HasSuffix(name, newMark) {
			continue
		}
		b, err := v.fs.Read(name)
		if err != nil {
			return nil, err
		}
		var s replication.SlotSnapshot
		if _, err := next(b, &s); err != nil {
			f.DamagedSlots++
			continue
		}
		f.Slots = append(f.Slots, s)
	}
	return f, nil
}

// frame is a value with its length and checksum.
func frame(b []byte, value any) ([]byte, error) {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

var errDamaged error = damaged.New("wal: it is not whole")

// next reads the value at the front of b.
func next(b []byte, value any) (used int, err error) {
	if len(b) < head || binary.LittleEndian.Uint32(b) != magic {
		return 0, errDamaged
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > len(b)-head || crc32.Checksum(b[head:head+n], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return 0, errDamaged
	}
	if err := cbor.Unmarshal(b[head:head+n], value); err != nil {
		return 0, damaged.New("wal: %w", err)
	}
	return head + n, nil
}

// Append has a record of the consensus group on the disk once it returns nil. After an error all of
// the log is written anew.
func (v *Log) Append(k *consensus.DurableRecord) error {
	if k.ID != 0 { // it begins anew with this one
		v.all = nil
		v.close()
	}
	v.all = append(v.all, *k)
	if v.log == nil {
		return v.anew()
	}
	b, err := frame(nil, k)
	if err == nil {
		if _, err = v.log.Write(b); err == nil {
			err = v.log.Sync()
		}
	}
	if err != nil {
		v.all = v.all[:len(v.all)-1] // it is given again
		v.close()
	}
	return err
}

// anew writes all of the log beside the old one, in whose place it comes whole.
func (v *Log) anew() (err error) {
	defer func() {
		if err != nil {
			v.all = v.all[:len(v.all)-1]
			v.close()
		}
	}()
	var b []byte
	for i := range v.all {
		if b, err = frame(b, &v.all[i]); err != nil {
			return err
		}
	}
	if v.log, err = v.put(logFile, b); err != nil {
		return err
	}
	return nil
}

// put has a file on the disk, whole, and leaves it open.
func (v *Log) put(name string, b []byte) (f store.File, err error) {
	if err := v.fs.Remove(name + newMark); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if f, err = v.fs.Create(name + newMark); err != nil {
		return nil, err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = errors.Join(v.fs.Rename(name+newMark, name), v.fs.SyncDir())
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (v *Log) close() {
	if v.log != nil {
		_ = v.log.Close() // what was synced is there
		v.log = nil
	}
}

// SaveSlot has what is held of a slot on the disk.
func (v *Log) SaveSlot(s *replication.SlotSnapshot) error {
	b, err := frame(nil, s)
	if err != nil {
		return err
	}
	f, err := v.put(fmt.Sprintf("%s%04d", slotMark, s.Slot), b)
	if err != nil {
		return err
	}
	return f.Close()
}

// Close gives the folder back.
func (v *Log) Close() error {
	v.close()
	return v.lock()
}
