// Package crashfs is an in-memory implementation of store.FS with crashes and faults. A crash keeps all synced
// data, and a random part of the rest, with torn and reordered writes.
package crashfs

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"ryepaddle/internal/idempotency/store"
)

// ErrCrashed is the error of each operation after a crash.
var ErrCrashed = errors.New("crashfs: the machine has crashed")

// ErrLocked is the error of Lock for a directory that is locked.
var ErrLocked = errors.New("crashfs: locked")

// sectorBytes is the size of the units that a crash keeps or loses as a whole. It is small so that records
// are torn.
const sectorBytes = 64

// inode is the content of a file.
type inode struct {
	synced []byte
	data   []byte // as the program sees it
}

// Disk is one directory of files. It is not safe for concurrent use.
type Disk struct {
	// Fail is called before each operation that changes or syncs the disk. The operation fails with the
	// error that it returns; a write may then have been made in part.
	Fail func(op, name string) error
	// CrashAt is the number of the operation, from 1, at which the machine crashes; 0: never.
	CrashAt int

	Steps   int // number of operations so far
	rand    *rand.Rand
	names   map[string]*inode // as the program sees them
	durable map[string]*inode // as of the last SyncDir
	locked  bool
	crashed bool
}

// New returns an empty disk. seed determines which unsynced data crashes keep.
func New(seed uint64) *Disk {
	return &Disk{
		rand:    rand.New(rand.NewPCG(seed, 77)),
		names:   map[string]*inode{},
		durable: map[string]*inode{},
	}
}

// step counts an operation and returns its error.
func (d *Disk) step(op, name string) error {
	if d.crashed {
		return ErrCrashed
	}
	d.Steps++
	if d.Steps == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	if d.Fail != nil {
		return d.Fail(op, name)
	}
	return nil
}

// IsCrashed reports whether the machine has crashed.
func (d *Disk) IsCrashed() bool { return d.crashed }

// Kill simulates the end of the process that uses the disk, but not of the machine: all data is kept.
func (d *Disk) Kill() {
	d.locked = false
	d.crashed = false
	d.CrashAt = 0
}

// Crash simulates a loss of power. It leaves the disk in one of the states that are possible after that.
func (d *Disk) Crash() {
	after := map[string]*inode{}
	// Each change of a name since the last SyncDir is kept or lost.
	for name := range union(d.names, d.durable) {
		now := d.names[name]
		was := d.durable[name]
		if now != was && d.rand.IntN(2) == 0 {
			now = was
		}
		if now != nil {
			after[name] = now
		}
	}
	seen := map[*inode]bool{}
	// The order is fixed so that the seed determines the result.
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if f := after[name]; !seen[f] {
			seen[f] = true
			d.tear(f)
		}
	}
	d.names, d.durable = after, maps.Clone(after)
	d.locked = false
	d.crashed = false
	d.CrashAt = 0
}

// union returns the names of both maps.
func union(a, b map[string]*inode) map[string]bool {
	all := map[string]bool{}
	for _, m := range []map[string]*inode{a, b} {
		for name := range m {
			all[name] = true
		}
	}
	return all
}

// tear keeps the synced data of a file and a random part of the data that follows: sectors may be lost within
// the length that is kept.
func (d *Disk) tear(f *inode) {
	out := slices.Clone(f.synced)
	length := len(f.synced) + d.rand.IntN(len(f.data)-len(f.synced)+1)
	for at := len(f.synced); at < length; {
		end := min(at-at%sectorBytes+sectorBytes, length)
		switch d.rand.IntN(3) {
		case 0: // not written
			out = append(out, make([]byte, end-at)...)
		case 1: // former contents of the disk
			for range end - at {
				out = append(out, byte(d.rand.UintN(256)))
			}
		default:
			out = append(out, f.data[at:end]...)
		}
		at = end
	}
	f.synced, f.data = out, slices.Clone(out)
}

// file is an open file.
type file struct {
	disk  *Disk
	name  string
	inode *inode
}

// Create implements store.FS.
func (d *Disk) Create(name string) (store.File, error) {
	if err := d.step("create", name); err != nil {
		return nil, err
	}
	if d.names[name] != nil {
		return nil, fmt.Errorf("create %s: %w", name, fs.ErrExist)
	}
	d.names[name] = &inode{}
	return &file{d, name, d.names[name]}, nil
}

// Read implements store.FS.
func (d *Disk) Read(name string) ([]byte, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	if f := d.names[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fmt.Errorf("read %s: %w", name, fs.ErrNotExist)
}

// Rename implements store.FS.
func (d *Disk) Rename(from, to string) error {
	if err := d.step("rename", from); err != nil {
		return err
	}
	f := d.names[from]
	if f == nil {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	delete(d.names, from)
	d.names[to] = f
	return nil
}

// Remove implements store.FS.
func (d *Disk) Remove(name string) error {
	if d.names[name] == nil && !d.crashed {
		return fmt.Errorf("remove %s: %w", name, fs.ErrNotExist)
	}
	if err := d.step("remove", name); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

// List implements store.FS.
func (d *Disk) List() ([]string, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// SyncDir implements store.FS.
func (d *Disk) SyncDir() error {
	if err := d.step("syncdir", ""); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

// Lock implements store.FS.
func (d *Disk) Lock() (func() error, error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	return func() error { d.locked = false; return nil }, nil
}

// Write implements store.File.
func (f *file) Write(b []byte) (int, error) {
	if err := f.disk.step("write", f.name); err != nil {
		n := f.disk.rand.IntN(len(b) + 1)
		f.inode.data = append(f.inode.data, b[:n]...)
		return n, err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

// Sync implements store.File. A failed sync may lose unsynced data, which a later successful sync does not
// bring back.
func (f *file) Sync() error {
	if err := f.disk.step("sync", f.name); err != nil {
		if !f.disk.crashed {
			f.disk.tear(f.inode)
			f.inode.synced = f.inode.synced[:0:0]
			f.inode.synced = append(f.inode.synced, f.inode.data...)
		}
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

// Close implements store.File.
func (f *file) Close() error { return nil }

// CorruptByte changes the byte of a file at an offset.
func (d *Disk) CorruptByte(name string, offset int) {
	f := d.names[name]
	f.data[offset] ^= 0x55
	f.synced = slices.Clone(f.data)
}
