package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/testing/crashfs"
	"ryepaddle/internal/wallclock"
)

const now = wallclock.UnixMicro(1_700_000_000_000_000)

func keyName(key string) store.KeyName {
	return store.KeyName{Class: "hand-in", Tenant: "north", Key: key}
}

func started(key string, owner uint64) *store.Record {
	return &store.Record{
		Kind:      store.RunStarted,
		Name:      keyName(key),
		Owner:     owner,
		WrittenAt: now,
		ExpiresAt: now.Add(13 * time.Second),
		BodyHash:  [32]byte{1, 2},
	}
}

func ended(key string, owner uint64, body string) *store.Record {
	r := started(key, owner)
	r.Kind, r.Result = store.RunEnded, &store.Result{
		Status: 200,
		Fields: []store.Field{{Name: "Content-Type", Value: "text/plain"}},
		Body:   []byte(body),
	}
	return r
}

func released(key string, owner uint64) *store.Record {
	return &store.Record{Kind: store.KeyReleased, Name: keyName(key), Owner: owner, WrittenAt: now}
}

func open(t testing.TB, d store.FS, opt store.Options) (*store.Journal, *store.Recovery) {
	t.Helper()
	j, f, err := store.OpenJournal(d, now, opt)
	if err != nil {
		t.Fatal(err)
	}
	return j, f
}

func commit(t testing.TB, j *store.Journal, records ...*store.Record) {
	t.Helper()
	if err := j.Commit(records); err != nil {
		t.Fatal(err)
	}
}

// describe returns a line for each key that was found.
func describe(f *store.Recovery) (out []string) {
	for _, k := range f.Keys {
		what := "in doubt"
		if k.Ended {
			what = fmt.Sprintf("status %d", k.Status)
		}
		if k.Result != nil {
			what = fmt.Sprintf("%d %s", k.Result.Status, k.Result.Body)
		}
		out = append(out, k.Name.Key+" "+what)
	}
	return out
}

// The records of a key, which may belong to several runs, give its state. The state is the same when it is
// read from the journal and from snapshots.
func TestRecordsGiveStateOfKeys(t *testing.T) {
	long := strings.Repeat("result ", 1000)
	d := crashfs.New(1)
	j, _ := open(t, d, store.DefaultOptions())
	failed := ended("failed", 6, "")
	failed.Result, failed.Status = nil, 3
	commit(
		t,
		j,
		started("done", 1),
		started("doubt", 2),
		started("never", 3),
		started("again", 4),
		started("failed", 6),
		started("long", 7),
	)
	commit(
		t,
		j,
		ended("done", 1, "ok"),
		released("never", 3),
		released("again", 4),
		started("again", 5),
		failed,
		ended("long", 7, long),
	)
	// A late record of the first run of a key does not affect the second run.
	commit(
		t,
		j,
		released("again", 4),
		ended("again", 4, "of another"),
		started("done", 1),
		released("done", 1),
	)
	old := started("old", 9)
	old.ExpiresAt = now.Add(-20 * time.Second)
	commit(t, j, old)
	// If the clock was set back, keys are kept for longer, and none is removed.
	if f, err := store.Read(d, now.Add(-time.Hour), store.DefaultOptions()); err != nil || len(f.Keys) != 6 ||
		f.NewestAt != now {
		t.Errorf("read with the clock set back: %d keys, error %v, want 6 keys, the newest at now", len(f.Keys), err)
	}
	want := []string{"again in doubt", "done 200 ok", "doubt in doubt", "failed status 3", "long 200 " + long}
	for range 3 { // from the journal, its snapshot, and the snapshot of that
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		var f *store.Recovery
		j, f = open(t, d, store.DefaultOptions())
		if diff := cmp.Diff(want, describe(f)); diff != "" {
			t.Errorf("keys (-want +got):\n%s", diff)
		}
		if f.Keys[1].BodyHash != [32]byte{1, 2} || f.Keys[1].Owner != 1 ||
			f.Keys[1].Result.Fields[0].Value != "text/plain" {
			t.Errorf("key = %+v, want the owner, body hash and result that were written", f.Keys[1])
		}
	}
}

// A file with a newer format version is rejected and left unchanged. Records of unknown kinds are skipped,
// and fields that a record lacks are zero.
func TestNewerFormatIsRejected(t *testing.T) {
	d := crashfs.New(1)
	j, _ := open(t, d, store.DefaultOptions())
	commit(
		t,
		j,
		&store.Record{Kind: 200, Name: keyName("x")},
		&store.Record{Kind: store.RunStarted, Name: keyName("bare"), ExpiresAt: now},
	)
	j.Close()
	if _, f := open(t, d, store.DefaultOptions()); len(f.Keys) != 1 || f.Keys[0].Owner != 0 {
		t.Errorf("recovery = %+v, want one key without an owner", f)
	}
	d = crashfs.New(1)
	w, err := d.Create("journal-0000000000000001")
	if err != nil {
		t.Fatal(err)
	}
	head := append([]byte("ryestore"), 2, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0)
	if _, err := w.Write(head); err != nil {
		t.Fatal(err)
	}
	opt := store.DefaultOptions()
	opt.Repair = true // a newer format is rejected all the same
	_, _, err = store.OpenJournal(d, now, opt)
	var format *store.FormatError
	if !errors.As(err, &format) || format.Format != 2 {
		t.Errorf("OpenJournal() error = %v, want a FormatError of version 2", err)
	}
	if b, err := d.Read("journal-0000000000000001"); err != nil || !bytes.Equal(b, head) {
		t.Errorf("content of the newer file = %q, error %v, want it unchanged", b, err)
	}
}

// sixKeys returns a disk with a journal of six keys, and the name of its segment.
func sixKeys(t *testing.T) (*crashfs.Disk, string) {
	d := crashfs.New(1)
	j, _ := open(t, d, store.DefaultOptions())
	for k := range 6 {
		commit(t, j, started(fmt.Sprint("k", k), uint64(k+1)))
	}
	return d, "journal-0000000000000001"
}

// A journal that is truncated at any byte yields the records that are complete before that byte.
func TestTruncatedJournalYieldsItsPrefix(t *testing.T) {
	d, file := sixKeys(t)
	content, err := d.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for n := range content {
		d := crashfs.New(1)
		w, _ := d.Create(file)
		if _, err := w.Write(content[:n]); err != nil {
			t.Fatal(err)
		}
		_, f, err := store.OpenJournal(d, now, store.DefaultOptions())
		var damage *store.DamageError
		if errors.As(err, &damage) { // a crash explains the missing end, which no mark confirms
			t.Fatalf("truncated to %d bytes: error = %v, want no DamageError", n, err)
		}
		if len(f.Keys) < last || len(f.Keys) > 6 {
			t.Fatalf("truncated to %d bytes: %d keys, with one byte less %d", n, len(f.Keys), last)
		}
		last = len(f.Keys)
	}
	if last != 5 {
		t.Errorf("without its last byte the journal has %d keys, want 5", last)
	}
}

// A journal with any one byte changed is rejected if a SyncMark confirms the byte, and a repair yields the
// other records.
func TestCorruptByteIsDetectedAndRepaired(t *testing.T) {
	d, file := sixKeys(t)
	content, err := d.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for n := range content {
		d, file := sixKeys(t)
		d.CorruptByte(file, n)
		_, f, err := store.OpenJournal(d, now, store.DefaultOptions())
		var damage *store.DamageError
		var format *store.FormatError
		switch {
		case errors.As(err, &format):
			continue
		case errors.As(err, &damage):
			rejected++
			checkRepair(t, d, file, n)
		case err != nil:
			t.Fatalf("byte %d changed: error = %v, want a DamageError or FormatError", n, err)
		case len(f.Keys) < 5: // only records that no mark confirms may be lost without an error
			t.Fatalf("byte %d changed: %d keys and no error, want at least 5 keys", n, len(f.Keys))
		}
	}
	if rejected < len(content)/2 {
		t.Errorf("changes of %d of %d bytes are detected, want at least half", rejected, len(content))
	}
}

// checkRepair checks that a journal whose byte n is changed is opened with the repair option.
func checkRepair(t *testing.T, d *crashfs.Disk, file string, n int) {
	t.Helper()
	options := store.DefaultOptions()
	options.Repair = true
	_, f, err := store.OpenJournal(d, now, options)
	if err != nil || len(f.Damage) == 0 || len(f.Keys) < 4 {
		t.Fatalf("repair of byte %d: error = %v, recovery = %+v, want damage and at least 4 keys", n, err, f)
	}
	if names, _ := d.List(); !strings.Contains(fmt.Sprint(names), file+".bad") {
		t.Fatalf("repair of byte %d: files = %q, want the damaged file with the suffix .bad", n, names)
	}
}

// Whatever is written, the size of the journal stays within twice the size of the live keys plus the slack,
// and no snapshot loses a live key, even if the snapshot cannot be written.
func TestJournalSizeIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := crashfs.New(1)
		opt := store.DefaultOptions()
		opt.SegmentBytes, opt.SlackBytes = 2000, 8000
		j, _ := open(t, d, opt)
		fails := rapid.Bool().Draw(rt, "fails")
		alive := map[string]bool{}
		for k := range rapid.IntRange(50, 300).Draw(rt, "records") {
			key := fmt.Sprint("k", k)
			if err := j.Commit([]*store.Record{started(key, uint64(k+1))}); err != nil {
				rt.Fatal(err)
			}
			if alive[key] = true; rapid.IntRange(0, 9).Draw(rt, "forget") > 0 {
				if err := j.Commit([]*store.Record{released(key, uint64(k+1))}); err != nil {
					rt.Fatal(err)
				}
				delete(alive, key)
			}
			if err := j.RotateSegment(); err != nil {
				rt.Fatal(err)
			}
			if snap, err := j.SnapshotIfDue(now); err != nil {
				rt.Fatal(err)
			} else if snap != nil {
				if fails && k%2 == 0 {
					d.Fail = func(string, string) error { return errors.New("no room") }
				}
				if err := snap.Write(); err == nil {
					j.FinishSnapshot(snap)
				}
				d.Fail = nil
			}
		}
		if most := 2*j.State().LiveBytes() + opt.SlackBytes + 3*opt.SegmentBytes; j.Size() > most && !fails {
			rt.Fatalf("%d bytes for %d live bytes, which is above the limit", j.Size(), j.State().LiveBytes())
		}
		j.Close()
		_, f, err := store.OpenJournal(d, now, opt)
		if err != nil || len(f.Keys) != len(alive) {
			rt.Fatalf("recovered %d of %d live keys, error %v", len(f.Keys), len(alive), err)
		}
	})
}

// hangingDisk is a disk whose syncs block until a value is received from hang.
type hangingDisk struct {
	store.FS
	hang chan struct{}
}

type hangingFile struct {
	store.File
	hang chan struct{}
}

func (h hangingDisk) Create(name string) (store.File, error) {
	f, err := h.FS.Create(name)
	return hangingFile{f, h.hang}, err
}

func (f hangingFile) Sync() error {
	<-f.hang
	return f.File.Sync()
}

// A disk that hangs blocks neither Put nor Close. The done functions of accepted records are called once the
// disk works again.
func TestHangingDiskBlocksNeitherPutNorClose(t *testing.T) {
	h := hangingDisk{store.Dir(t.TempDir()), make(chan struct{}, 100)}
	for range 2 { // lets the two syncs of Open through
		h.hang <- struct{}{}
	}
	unlock, err := h.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Lock(); !errors.Is(err, store.ErrLocked) {
		t.Errorf("second Lock() error = %v, want ErrLocked", err)
	}
	set := store.DefaultSettings()
	set.MaxQueue = 5
	s, _, err := store.Open(h, unlock, set, func(fn func()) { fn() }, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 20)
	s.Put(started("first", 1), func(err error) { done <- err })
	time.Sleep(20 * time.Millisecond) // until the sync of this record hangs
	for k := range 8 {
		s.Put(started(fmt.Sprint(k), 1), func(err error) { done <- err })
	}
	for range 3 {
		if err := <-done; !errors.Is(err, store.ErrBusy) {
			t.Errorf("Put() error with the queue full = %v, want ErrBusy", err)
		}
	}
	began := time.Now()
	if err := s.Close(30 * time.Millisecond); err == nil || time.Since(began) > 10*time.Second {
		t.Errorf("Close() of a hanging disk: error = %v, want an error within 10 s", err)
	}
	close(h.hang)
	for range 6 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if err := s.Close(20 * time.Second); err != nil {
		t.Error(err)
	}
}

// Whatever a file contains, Read returns, and OpenJournal with a repair loses none of the keys that were
// read.
func FuzzRead(f *testing.F) {
	d := crashfs.New(1)
	j, _ := open(f, d, store.DefaultOptions())
	commit(f, j, started("a", 1), ended("a", 1, strings.Repeat("x", 600)))
	commit(f, j, started("b", 2))
	seed, err := d.Read("journal-0000000000000001")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed, 30, byte(3))
	f.Add(seed[:50], 2, byte(1))
	f.Fuzz(func(t *testing.T, b []byte, place int, change byte) {
		if len(b) > 0 {
			b[uint(place)%uint(len(b))] ^= change
		}
		d := crashfs.New(1)
		w, _ := d.Create("journal-0000000000000001")
		if _, err := w.Write(b); err != nil {
			t.Fatal(err)
		}
		found, err := store.Read(d, now, store.DefaultOptions())
		if err != nil {
			return
		}
		// Opening it with a repair yields exactly the keys that were read, also the second time.
		opt := store.DefaultOptions()
		opt.Repair = true
		for range 2 {
			j, again, err := store.OpenJournal(d, now, opt)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(describe(found), describe(again)); diff != "" {
				t.Fatalf("keys (-read +opened):\n%s", diff)
			}
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
