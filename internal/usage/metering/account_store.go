package metering

import (
	"bytes"
	"errors"
	"io/fs"
	"slices"
	"strings"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// StateFile is the name of the file with the usage ledger in its folder.
const StateFile = "state"

// The other files of a folder, beside the statements.
const (
	ringFile    = "ring"
	bootFile    = "boot"  // the boot ID of the machine when the folder was opened last
	newSuffix   = ".new"  // of a file that is not complete yet
	partSuffix  = ".part" // of a statement that is complete and does not have its final name yet
	maxRingUsed = 0.5     // part of the ring that records may take before the account is saved
)

// accountStore keeps the account in a folder: it counts the records of the ring, saves the account,
// and writes statements. Each step may fail or be the last one before a crash; the next process goes
// on from what is there. It is used by one goroutine.
type accountStore struct {
	fs           store.FS
	ledger       *ledger.Ledger
	ring         *ledger.Ring
	publisher    *publisher    // nil: the account is not replicated
	saveInterval time.Duration // between two saves, while something was counted
	lastRecord   uint64        // number of the last record that is counted
	ringLost     uint64        // records that the ring has lost, as it said last
	dirty        bool          // something is not saved
	savedAt      wallclock.UnixMicro
	exported     []string // names of statements that were written since the last takeExported
}

// openParams are how an account is opened.
type openParams struct {
	settings     ledger.Settings
	saveInterval time.Duration
	now          wallclock.UnixMicro
	incarnation  string // of a new account
	oldRing      []byte // that the process before left; empty: there is none
	// sameBoot says that the machine has run on since the process before: its files are as that one
	// left them, and not as the disk kept them over a loss of power.
	sameBoot bool
	// mustReplace ends the account and begins another one, as its replicas may have ended it.
	mustReplace bool
}

// recovery says what openAccount has recovered after the process before.
type recovery struct {
	newAccount bool
	recovered  uint64 // records of the ring that the process before had not saved
	missing    uint64 // records of the ring that are known to be gone
	ringError  error  // why the ring could not be read
}

// openAccount goes on with the account of a folder, or begins one.
func openAccount(fsys store.FS, p openParams) (*accountStore, recovery, error) {
	a := &accountStore{fs: fsys, saveInterval: p.saveInterval}
	var found recovery
	if err := a.load(p, &found); err != nil {
		return nil, found, err
	}
	if len(p.oldRing) > 0 && !found.newAccount {
		a.recoverRing(p.oldRing, &found)
	}
	if s, renaming := a.ledger.NextStatement(); renaming && !p.sameBoot {
		if err := a.checkRenamed(s); err != nil {
			return nil, found, err
		}
	}
	if err := a.save(p.now); err != nil {
		return a, found, err
	}
	if found.newAccount || !p.mustReplace && !a.ledger.Ended() {
		return a, found, nil
	}
	return a, found, a.replaceAccount(p)
}

// load reads the state, or begins an account where there is none.
func (a *accountStore) load(p openParams, found *recovery) error {
	b, err := a.fs.Read(StateFile)
	if errors.Is(err, fs.ErrNotExist) {
		if err := a.refuseOldStatements(p.settings.Instance); err != nil {
			return err
		}
		a.ledger = ledger.New(p.settings, p.incarnation, p.now)
		found.newAccount = true
		return nil
	}
	if err != nil {
		return err
	}
	if a.ledger, a.lastRecord, err = ledger.Decode(p.settings, b); err != nil {
		return kindAccount.New("usage: %s: %w", StateFile, err)
	}
	return nil
}

// recoverRing counts the records that the process before left in its ring.
func (a *accountStore) recoverRing(memory []byte, found *recovery) {
	ring, err := ledger.OpenRing(memory, a.ledger.Incarnation())
	if err != nil {
		found.ringError = err
		return
	}
	last, missing := ring.Recover(a.lastRecord, a.ledger.Add)
	found.recovered = last - a.lastRecord - missing
	found.missing = missing
	a.lastRecord = last
	a.ledger.AddLost(missing)
	a.ledger.AddRingLost(ring)
}

// replaceAccount ends the account and begins another one. The records of the ring are saved by now.
func (a *accountStore) replaceAccount(p openParams) error {
	a.ledger.Finish()
	if err := a.save(p.now); err != nil {
		return err
	}
	if err := removeIfExists(a.fs, ringFile); err != nil {
		return err
	}
	if err := a.export(p.now); err != nil {
		return err
	}
	a.ledger = ledger.NewSuccessor(a.ledger, p.settings, p.incarnation, p.now)
	a.lastRecord = 0
	return a.save(p.now)
}

// refuseOldStatements returns an error if a folder without an account has statements of the instance:
// a new account would use their numbers again.
func (a *accountStore) refuseOldStatements(instance string) error {
	names, err := a.fs.List()
	if err != nil {
		return err
	}
	i := slices.IndexFunc(names, func(name string) bool {
		return strings.HasPrefix(name, "usage-"+instance+"-")
	})
	if i < 0 {
		return nil
	}
	return kindAccount.New(
		"usage: there is %s and no %s: move the statements away to begin a new account",
		names[i],
		StateFile,
	)
}

// checkRenamed looks whether a statement is there after the machine lost power while it was renamed.
// The disk may have neither of its names; then it is written again, and a collector that has it
// already recognizes its number.
func (a *accountStore) checkRenamed(s *ledger.Statement) error {
	for _, name := range []string{s.FileName(), s.FileName() + partSuffix} {
		b, err := a.fs.Read(name)
		if err == nil && bytes.Equal(b, s.Encode()) {
			return nil
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	a.ledger.MarkRenaming(nil)
	return nil
}

// advance counts the records of the ring, and seals, saves and exports what is due.
func (a *accountStore) advance(now wallclock.UnixMicro) error {
	a.countRing()
	sealed := a.ledger.Seal(now)
	if sealed != nil {
		a.publisher.publishSeal(sealed, now)
	}
	if sealed != nil || a.saveDue(now) {
		if err := a.save(now); err != nil {
			return err
		}
	}
	return a.export(now)
}

// saveDue reports whether the account is to be saved: something was counted, and the ring is getting
// full, or the interval has passed, or the clock was set back.
func (a *accountStore) saveDue(now wallclock.UnixMicro) bool {
	return a.dirty &&
		(a.ring.Utilization(a.lastRecord) > maxRingUsed || now.Sub(a.savedAt) >= a.saveInterval || now < a.savedAt)
}

// countRing counts the records of the ring.
func (a *accountStore) countRing() {
	for {
		r, ok := a.ring.Read(a.lastRecord + 1)
		if !ok {
			break
		}
		a.ledger.Add(r)
		a.lastRecord++
		a.dirty = true
		a.publisher.publishRecord(&r, a.lastRecord)
	}
	if lost := a.ring.Lost(); lost != a.ringLost {
		a.publisher.publish(usagereplica.Operation{LostUses: a.ledger.AddRingLost(a.ring)})
		a.ringLost = lost
		a.dirty = true
	}
}

// save writes the state, and releases the records of the ring that are in it. After an error the
// state is as it was.
func (a *accountStore) save(now wallclock.UnixMicro) error {
	a.dirty = true
	if err := writeSynced(a.fs, StateFile+newSuffix, a.ledger.Encode(a.lastRecord)); err != nil {
		return err
	}
	if err := renameSynced(a.fs, StateFile+newSuffix, StateFile); err != nil {
		return err
	}
	if a.ring != nil {
		a.ring.Release(a.lastRecord)
	}
	a.dirty = false
	a.savedAt = now
	return nil
}

// export writes the statements that are sealed, one after the other.
func (a *accountStore) export(now wallclock.UnixMicro) error {
	for {
		s, renaming := a.ledger.NextStatement()
		if s == nil || !a.publisher.mayExport(s) {
			return nil
		}
		if err := a.exportStatement(s, renaming, now); err != nil {
			return err
		}
	}
}

// exportStatement writes a statement under its name, once: the state says that the file is about to be
// renamed before it is, and the file that it was renamed from is gone afterwards, even if a collector
// has taken the renamed one.
func (a *accountStore) exportStatement(s *ledger.Statement, renaming bool, now wallclock.UnixMicro) error {
	name, part := s.FileName(), s.FileName()+partSuffix
	if !renaming {
		if _, err := a.fs.Read(name); err == nil {
			return &fileConflictError{name}
		}
		if err := writeSynced(a.fs, part, s.Encode()); err != nil {
			return err
		}
		if err := a.fs.SyncDir(); err != nil {
			return err
		}
		a.ledger.MarkRenaming(s)
		if err := a.save(now); err != nil {
			return err
		}
	}
	if err := a.fs.Rename(part, name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := a.fs.SyncDir(); err != nil {
		return err
	}
	a.ledger.MarkExported(s)
	a.exported = append(a.exported, name)
	return a.save(now)
}

// takeExported returns the names of the statements that were written since the last call.
func (a *accountStore) takeExported() []string {
	names := a.exported
	a.exported = nil
	return names
}
