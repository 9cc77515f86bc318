package metering

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/ledger"
)

// The files of a folder, beside the statements.
const (
	stateFile = "state"
	ringFile  = "ring"
	newMark   = ".new"  // of what is not whole yet
	partMark  = ".part" // of a statement that is whole and has not its name
)

// desk is where the account is kept: it takes uses out of the ring, has the account on the disk,
// and gives out statements. Every step may fail or be the last one, and the next desk goes on from
// what is there. It is used by one goroutine.
type desk struct {
	fs     store.FS
	led    *ledger.Ledger
	ring   *ledger.Ring
	every  int64 // microseconds between two keeps, while something was counted
	taken  uint64
	lost   uint64 // as the ring said last
	dirty  bool
	kept   int64 // when that was done last
	wrote  int   // bytes, then
	names  []string
	copied *copied // nil: nobody else is told
}

// found is what a start met.
type found struct {
	New     bool
	Left    uint64 // uses that the process before had not brought to the disk
	Missing uint64 // and those of which that is known, and that are gone
	Ring    error  // why its ring could not be gone by
}

// openDesk goes on with the account of a folder, or begins one. old is the ring that the last life
// left, empty if there is none; anew: it is ended, and another one begun, as others may have ended
// it. powered tells that the machine has run on since then: its files are as that life left them,
// and not as a disk kept them.
func openDesk(
	fsys store.FS,
	set ledger.Settings,
	every, now int64,
	life string,
	old []byte,
	powered, anew bool,
) (*desk, found, error) {
	d := &desk{fs: fsys, every: every}
	var f found
	b, err := fsys.Read(stateFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if err := d.noStatements(set.Instance); err != nil {
			return nil, f, err
		}
		d.led, f.New = ledger.New(set, life, now), true
	case err != nil:
		return nil, f, err
	default:
		if d.led, d.taken, err = ledger.Decode(set, b); err != nil {
			return nil, f, account.New("usage: %s: %w", stateFile, err)
		}
	}
	if len(old) > 0 && !f.New {
		ring, err := ledger.OpenRing(old, d.led.Incarnation())
		if f.Ring = err; err == nil {
			last, missing := ring.Recover(d.taken, d.led.Add)
			f.Left, f.Missing = last-d.taken-missing, missing
			d.taken = last
			d.led.AddLost(missing)
			d.led.AddRingLost(ring)
		}
	}
	if s, naming := d.led.NextStatement(); naming && !powered {
		if err := d.named(s); err != nil {
			return nil, f, err
		}
	}
	if err := d.keep(now); err != nil || f.New || !anew && !d.led.Ended() {
		return d, f, err
	}
	return d, f, d.begin(set, life, now)
}

// begin ends the account and begins another one. What the ring held is on the disk by now.
func (d *desk) begin(set ledger.Settings, life string, now int64) error {
	d.led.Finish()
	if err := d.keep(now); err != nil {
		return err
	}
	if err := d.fs.Remove(ringFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := d.export(now); err != nil {
		return err
	}
	d.led, d.taken = ledger.NewSuccessor(d.led, set, life, now), 0
	return d.keep(now)
}

// noStatements refuses a folder that has statements of the instance and no account: a new account
// would number them again.
func (d *desk) noStatements(instance string) error {
	names, err := d.fs.List()
	if err != nil {
		return err
	}
	if i := slices.IndexFunc(names, func(n string) bool { return strings.HasPrefix(n, "usage-"+instance+"-") }); i >= 0 {
		return account.New(
			"usage: there is %s and no %s: move the statements away to begin a new account",
			names[i],
			stateFile,
		)
	}
	return nil
}

// named looks whether a statement has its name after the machine went down while it was being
// named. A disk may have kept neither name of it; then it is written again, and who took it already
// knows it by its number.
func (d *desk) named(s *ledger.Statement) error {
	for _, name := range []string{s.FileName(), s.FileName() + partMark} {
		if b, err := d.fs.Read(name); err == nil && bytes.Equal(b, s.Encode()) {
			return nil
		} else if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	d.led.MarkRenaming(nil)
	return nil
}

// step does what is due.
func (d *desk) step(now int64) error {
	d.take()
	s := d.led.Seal(now)
	if s != nil {
		d.copied.sealed(s, now)
	}
	if s != nil || d.dirty && (d.ring.Utilization(d.taken) > 0.5 || now-d.kept >= d.every || now < d.kept) {
		if err := d.keep(now); err != nil {
			return err
		}
	}
	return d.export(now)
}

// take takes uses out of the ring.
func (d *desk) take() {
	for {
		u, ok := d.ring.Read(d.taken + 1)
		if !ok {
			break
		}
		d.led.Add(u)
		d.taken++
		d.dirty = true
		d.copied.use(&u, d.taken)
	}
	if lost := d.ring.Lost(); lost != d.lost {
		d.copied.step(usagereplica.Operation{LostUses: d.led.AddRingLost(d.ring)})
		d.lost, d.dirty = lost, true
	}
}

// keep has the account on the disk, whole or as it was.
func (d *desk) keep(now int64) error {
	d.dirty = true // until it is done
	b := d.led.Encode(d.taken)
	if err := d.write(stateFile+newMark, b); err != nil {
		return err
	}
	if err := errors.Join(d.fs.Rename(stateFile+newMark, stateFile), d.fs.SyncDir()); err != nil {
		return err
	}
	if d.ring != nil {
		d.ring.Release(d.taken)
	}
	d.dirty, d.kept, d.wrote = false, now, len(b)
	return nil
}

// write makes a file that is on the disk. What an earlier try left is in the way.
func (d *desk) write(name string, b []byte) error {
	if err := d.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := d.fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// conflict is that of a file that has the name of a statement, and is none or another one.
type conflict struct{ name string }

func (c *conflict) Error() string {
	return fmt.Sprintf(
		"usage: %s is there and is not what is to be written; it is left as it is, and nothing more is written",
		c.name,
	)
}

// export gives statements their names, one after the other. A name is given once: that it is about
// to be given is on the disk before it is, and what it was renamed from is gone after it, whatever
// became of the name.
func (d *desk) export(now int64) error {
	for {
		s, naming := d.led.NextStatement()
		if s == nil {
			return nil
		}
		if !d.copied.mayTell(s) {
			return nil
		}
		name, part := s.FileName(), s.FileName()+partMark
		if !naming {
			if _, err := d.fs.Read(name); err == nil {
				return &conflict{name}
			}
			if err := d.write(part, s.Encode()); err != nil {
				return err
			}
			if err := d.fs.SyncDir(); err != nil {
				return err
			}
			d.led.MarkRenaming(s)
			if err := d.keep(now); err != nil {
				return err
			}
		}
		if err := d.fs.Rename(part, name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if err := d.fs.SyncDir(); err != nil {
			return err
		}
		d.led.MarkExported(s)
		d.names = append(d.names, name)
		if err := d.keep(now); err != nil {
			return err
		}
	}
}

// told are the statements that have been named since it was asked last.
func (d *desk) told() []string {
	n := d.names
	d.names = nil
	return n
}
