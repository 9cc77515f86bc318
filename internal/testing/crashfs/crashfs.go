// Package crashfs is a disk that crashes: files in memory, of which a crash keeps what was synced,
// and of the rest what chance leaves, torn and out of order. It can fail by script as well.
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

// ErrCrashed is that of all that is done after the crash.
var ErrCrashed = errors.New("crashfs: the machine is gone")

// ErrLocked is that of a second lock.
var ErrLocked = errors.New("crashfs: locked")

const sector = 64 // bytes that a crash keeps or loses together; small, so that records are torn

type inode struct {
	synced []byte
	data   []byte // as the running program sees it
}

// Disk is the files of one folder. It is used by one goroutine.
type Disk struct {
	// Fail is asked before each step; an error is what the step comes to. A write that fails may
	// have been made in part.
	Fail func(op, name string) error
	// CrashAt is the step at which the machine goes: 1 is the first; 0: never.
	CrashAt int

	Steps   int
	rand    *rand.Rand
	names   map[string]*inode // as the running program sees them
	durable map[string]*inode // after the last SyncDir
	locked  bool
	crashed bool
}

// New makes an empty disk whose chances are drawn from a seed.
func New(seed uint64) *Disk {
	return &Disk{
		rand:    rand.New(rand.NewPCG(seed, 77)),
		names:   map[string]*inode{},
		durable: map[string]*inode{},
	}
}

// step counts one, and tells whether it is done.
func (d *Disk) step(op, name string) error {
	if d.crashed {
		return ErrCrashed
	}
	if d.Steps++; d.Steps == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	if d.Fail != nil {
		return d.Fail(op, name)
	}
	return nil
}

// IsCrashed tells whether the machine is gone.
func (d *Disk) IsCrashed() bool { return d.crashed }

// Kill ends the process that uses the disk, and not the machine: all that was done stands.
func (d *Disk) Kill() { d.locked, d.crashed, d.CrashAt = false, false, 0 }

// Crash has the power go. What comes back is what a disk may hold after that.
func (d *Disk) Crash() {
	after := map[string]*inode{}
	// Each change of a name since the last sync of the folder is there, or is not.
	for name := range union(d.names, d.durable) {
		now, was := d.names[name], d.durable[name]
		if now != was && d.rand.IntN(2) == 0 {
			now = was
		}
		if now != nil {
			after[name] = now
		}
	}
	seen := map[*inode]bool{}
	// in order, or chance would not be a seed's
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if f := after[name]; !seen[f] {
			seen[f] = true
			d.tear(f)
		}
	}
	d.names, d.durable = after, maps.Clone(after)
	d.locked, d.crashed, d.CrashAt = false, false, 0
}

func union(a, b map[string]*inode) map[string]bool {
	all := map[string]bool{}
	for _, m := range []map[string]*inode{a, b} {
		for name := range m {
			all[name] = true
		}
	}
	return all
}

// tear keeps of a file what was synced, and of later sectors some: the length may be there without
// what was in it.
func (d *Disk) tear(f *inode) {
	out := slices.Clone(f.synced)
	long := len(f.synced) + d.rand.IntN(len(f.data)-len(f.synced)+1)
	for at := len(f.synced); at < long; {
		end := min(at-at%sector+sector, long)
		switch d.rand.IntN(3) {
		case 0: // it never reached the disk
			out = append(out, make([]byte, end-at)...)
		case 1: // what stood there before
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

type file struct {
	d    *Disk
	name string
	node *inode
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
	if err := f.d.step("write", f.name); err != nil {
		n := f.d.rand.IntN(len(b) + 1)
		f.node.data = append(f.node.data, b[:n]...)
		return n, err
	}
	f.node.data = append(f.node.data, b...)
	return len(b), nil
}

// Sync implements store.File. One that fails has lost what it should have kept, whatever the next
// one says.
func (f *file) Sync() error {
	if err := f.d.step("sync", f.name); err != nil {
		if !f.d.crashed {
			f.d.tear(f.node)
			f.node.synced = f.node.synced[:0:0]
			f.node.synced = append(f.node.synced, f.node.data...)
		}
		return err
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

// Close implements store.File.
func (f *file) Close() error { return nil }

// Rot changes a byte of a file that is on the disk.
func (d *Disk) Rot(name string, at int) {
	f := d.names[name]
	f.data[at] ^= 0x55
	f.synced = slices.Clone(f.data)
}
