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

// StateFile is the name of the file that holds the usage ledger, in the folder of the account.
const StateFile = "state"

// Names and suffixes of the other files of the folder, apart from the statements.
const (
	ringFile           = "ring"
	bootFile           = "boot"  // boot ID of the machine when the folder was last opened
	newSuffix          = ".new"  // of a file that may be incomplete
	partSuffix         = ".part" // of a statement that does not have its final name yet
	maxRingUtilization = 0.5     // fraction of the ring that records may take before the account is saved
)

// accountStore keeps the account in a folder: it counts the records of the ring, saves the account and
// writes statements. Any step may fail, or be the last one before a crash; the next process continues
// from the files that are there. It is used by one goroutine.
type accountStore struct {
	fs           store.FS
	ledger       *ledger.Ledger
	ring         *ledger.Ring
	publisher    *publisher    // nil: the account is not replicated
	saveInterval time.Duration // time between two saves while there are unsaved changes
	lastRecord   uint64        // number of the last counted record
	ringLost     uint64        // last known total of records that the ring lost
	dirty        bool          // there are changes that are not saved
	savedAt      wallclock.UnixMicro
	exported     []string // names of statements that were written since the last takeExported
}

// openParams are the parameters of openAccount.
type openParams struct {
	settings     ledger.Settings
	saveInterval time.Duration
	now          wallclock.UnixMicro
	incarnation  string // name of a new account
	oldRing      []byte // memory of the ring that the previous process left; empty: there is none
	// sameBoot says that the machine has not restarted since the previous process, so that the files are
	// as that process left them, and not as the disk kept them over a power loss.
	sameBoot bool
	// mustReplace ends the account and begins a new one, because its replicas may have ended it.
	mustReplace bool
}

// recovery says what openAccount recovered from the previous process.
type recovery struct {
	newAccount bool
	recovered  uint64 // records of the ring that the previous process had not saved
	missing    uint64 // records of the ring that are known to be lost
	ringError  error  // why the ring could not be read; nil: it was, or there was none
}

// openAccount opens the account of a folder, or begins one if there is none.
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

// load reads the state, or begins an account if there is none.
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

// recoverRing counts the records that the previous process left in its ring.
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

// replaceAccount ends the account and begins a new one. The records of the old ring must be saved.
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

// refuseOldStatements returns an error if a folder without an account has statements of the instance,
// since a new account would use their numbers again.
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
		"usage: the folder has statement %s but no file %s: move the statements away to begin a new account",
		names[i],
		StateFile,
	)
}

// checkRenamed checks, after the machine may have lost power, that a statement that was being renamed is
// there under one of its two names. If the disk has kept neither, the statement is written again; a
// collector that already has it recognizes its number.
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

// saveDue reports whether the account must be saved: there are unsaved changes, and the ring is more full
// than maxRingUtilization, or the interval has passed, or the clock was set back.
func (a *accountStore) saveDue(now wallclock.UnixMicro) bool {
	return a.dirty &&
		(a.ring.Utilization(a.lastRecord) > maxRingUtilization ||
			now.Sub(a.savedAt) >= a.saveInterval || now < a.savedAt)
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

// save writes the state, and releases the records of the ring that are in it. If it fails, the earlier
// state remains.
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

// export writes the sealed statements in order, as far as they may be exported.
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

// exportStatement writes a statement under its final name, exactly once. The state records that the file
// is about to be renamed before it is. A process that finds this record, but not the file under its
// temporary name, knows that the rename was done, even if a collector has taken the renamed file.
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
