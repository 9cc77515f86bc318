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

// markedBytes is keys in a line each.
func describe(f *store.Recovery) (out []string) {
	for _, k := range f.Keys {
		what := "in doubt"
		if k.Ended {
			what = fmt.Sprintf("how %d", k.Status)
		}
		if k.Result != nil {
			what = fmt.Sprintf("%d %s", k.Result.Status, k.Result.Body)
		}
		out = append(out, k.Name.Key+" "+what)
	}
	return out
}

// Records of one key give its state, whichever attempt they are of.
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
	// An end that comes late affects its own attempt alone, not the second one.
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
	// A clock that was set back keeps keys for longer, and removes none.
	if f, err := store.Read(d, now.Add(-time.Hour), store.DefaultOptions()); err != nil || len(f.Keys) != 6 ||
		f.NewestAt != now {
		t.Errorf("an hour earlier: %d keys, %v", len(f.Keys), err)
	}
	want := []string{"again in doubt", "done 200 ok", "doubt in doubt", "failed how 3", "long 200 " + long}
	for range 3 { // from the journal, from a snapshot of it, and from one of that
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		var f *store.Recovery
		j, f = open(t, d, store.DefaultOptions())
		if diff := cmp.Diff(want, describe(f)); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
		if f.Keys[1].BodyHash != [32]byte{1, 2} || f.Keys[1].Owner != 1 ||
			f.Keys[1].Result.Fields[0].Value != "text/plain" {
			t.Errorf("%+v", f.Keys[1])
		}
	}
}

// A file of a newer format is rejected and left unchanged. Records of unknown kinds are skipped,
// and fields that an older record lacks are zero.
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
		t.Errorf("%+v", f)
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
	opt.Repair = true // makes no difference
	_, _, err = store.OpenJournal(d, now, opt)
	var format *store.FormatError
	if !errors.As(err, &format) || format.Format != 2 {
		t.Errorf("%v", err)
	}
	if b, err := d.Read("journal-0000000000000001"); err != nil || !bytes.Equal(b, head) {
		t.Errorf("%q, %v", b, err)
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

// Truncated at any byte, a journal yields the records that are complete before it.
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
		if errors.As(err, &damage) { // no crash truncates what a mark confirms
			t.Fatalf("truncated at %d: %v", n, err)
		}
		if len(f.Keys) < last || len(f.Keys) > 6 {
			t.Fatalf("truncated at %d: %d keys, with less of it %d", n, len(f.Keys), last)
		}
		last = len(f.Keys)
	}
	if last != 5 {
		t.Errorf("one byte short there are %d keys", last)
	}
}

// Changed at any byte, a journal is rejected if a mark confirms the byte, and a repair yields the
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
			t.Fatalf("byte %d: %v", n, err)
		case len(f.Keys) < 5: // only what no mark confirms may be lost without an error
			t.Fatalf("byte %d: %d keys, without an error", n, len(f.Keys))
		}
	}
	if rejected < len(content)/2 {
		t.Errorf("%d of %d bytes are detected", rejected, len(content))
	}
}

// checkRepair opens a journal that is corrupt at a byte with the repair option.
func checkRepair(t *testing.T, d *crashfs.Disk, file string, n int) {
	t.Helper()
	options := store.DefaultOptions()
	options.Repair = true
	_, f, err := store.OpenJournal(d, now, options)
	if err != nil || len(f.Damage) == 0 || len(f.Keys) < 4 {
		t.Fatalf("byte %d repaired: %v, %+v", n, err, f)
	}
	if names, _ := d.List(); !strings.Contains(fmt.Sprint(names), file+".bad") {
		t.Fatalf("byte %d: the damaged file is not kept: %q", n, names)
	}
}

// Whatever is written, the journal stays within twice its live bytes and its slack, and no snapshot
// loses a live key, even one that cannot be written.
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
			rt.Fatalf("%d bytes, with %d alive", j.Size(), j.State().LiveBytes())
		}
		j.Close()
		_, f, err := store.OpenJournal(d, now, opt)
		if err != nil || len(f.Keys) != len(alive) {
			rt.Fatalf("%d keys of %d: %v", len(f.Keys), len(alive), err)
		}
	})
}

// hung is a disk whose syncs hang.
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

// A disk that hangs blocks neither Put nor Close; the records it was given are answered when it
// goes on.
func TestHangingDiskBlocksNeitherPutNorClose(t *testing.T) {
	h := hangingDisk{store.Dir(t.TempDir()), make(chan struct{}, 100)}
	for range 2 { // the syncs of Open
		h.hang <- struct{}{}
	}
	unlock, err := h.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Lock(); !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second lock: %v", err)
	}
	set := store.DefaultSettings()
	set.MaxQueue = 5
	s, _, err := store.Open(h, unlock, set, func(fn func()) { fn() }, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 20)
	s.Put(started("first", 1), func(err error) { done <- err })
	time.Sleep(20 * time.Millisecond) // it hangs on that one
	for k := range 8 {
		s.Put(started(fmt.Sprint(k), 1), func(err error) { done <- err })
	}
	for range 3 {
		if err := <-done; !errors.Is(err, store.ErrBusy) {
			t.Errorf("with the queue full: %v", err)
		}
	}
	began := time.Now()
	if err := s.Close(30 * time.Millisecond); err == nil || time.Since(began) > 10*time.Second {
		t.Errorf("the end: %v", err)
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

// Whatever a file contains, reading it ends, and opening it loses nothing of what was read.
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
		// Opening it with a repair keeps exactly what was read, also the second time.
		opt := store.DefaultOptions()
		opt.Repair = true
		for range 2 {
			j, again, err := store.OpenJournal(d, now, opt)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(describe(found), describe(again)); diff != "" {
				t.Fatalf("(-read +opened)\n%s", diff)
			}
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
