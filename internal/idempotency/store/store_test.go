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

const at = wallclock.UnixMicro(1_700_000_000_000_000)

func name(key string) store.KeyName {
	return store.KeyName{Class: "hand-in", Tenant: "north", Key: key}
}

func begun(key string, owner uint64) *store.Record {
	return &store.Record{
		Kind:      store.RunStarted,
		Name:      name(key),
		Owner:     owner,
		WrittenAt: at,
		ExpiresAt: at.Add(13 * time.Second),
		BodyHash:  [32]byte{1, 2},
	}
}

func ended(key string, owner uint64, body string) *store.Record {
	r := begun(key, owner)
	r.Kind, r.Result = store.RunEnded, &store.Result{
		Status: 200,
		Fields: []store.Field{{Name: "Content-Type", Value: "text/plain"}},
		Body:   []byte(body),
	}
	return r
}

func forgotten(key string, owner uint64) *store.Record {
	return &store.Record{Kind: store.KeyReleased, Name: name(key), Owner: owner, WrittenAt: at}
}

func open(t testing.TB, d store.FS, opt store.Options) (*store.Journal, *store.Recovery) {
	t.Helper()
	j, f, err := store.OpenJournal(d, at, opt)
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
func told(f *store.Recovery) (out []string) {
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

// What records of one key come to, whoever they are of.
func TestRecords(t *testing.T) {
	long := strings.Repeat("result ", 1000)
	d := crashfs.New(1)
	j, _ := open(t, d, store.DefaultOptions())
	failed := ended("failed", 6, "")
	failed.Result, failed.Status = nil, 3
	commit(
		t,
		j,
		begun("done", 1),
		begun("doubt", 2),
		begun("never", 3),
		begun("again", 4),
		begun("failed", 6),
		begun("long", 7),
	)
	commit(
		t,
		j,
		ended("done", 1, "ok"),
		forgotten("never", 3),
		forgotten("again", 4),
		begun("again", 5),
		failed,
		ended("long", 7, long),
	)
	// An end that comes late is that of its own try: what the second one began stands.
	commit(
		t,
		j,
		forgotten("again", 4),
		ended("again", 4, "of another"),
		begun("done", 1),
		forgotten("done", 1),
	)
	old := begun("old", 9)
	old.ExpiresAt = at.Add(-20 * time.Second)
	commit(t, j, old)
	// A clock that went back keeps keys for longer, and drops none.
	if f, err := store.Read(d, at.Add(-time.Hour), store.DefaultOptions()); err != nil || len(f.Keys) != 6 ||
		f.NewestAt != at {
		t.Errorf("an hour earlier: %d keys, %v", len(f.Keys), err)
	}
	want := []string{"again in doubt", "done 200 ok", "doubt in doubt", "failed how 3", "long 200 " + long}
	for range 3 { // from the journal, from a snapshot of it, and from one of that
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		var f *store.Recovery
		j, f = open(t, d, store.DefaultOptions())
		if diff := cmp.Diff(want, told(f)); diff != "" {
			t.Errorf("(-want +got)\n%s", diff)
		}
		if f.Keys[1].BodyHash != [32]byte{1, 2} || f.Keys[1].Owner != 1 ||
			f.Keys[1].Result.Fields[0].Value != "text/plain" {
			t.Errorf("%+v", f.Keys[1])
		}
	}
}

// A file of a newer format is refused, and left as it is; records of kinds that are not known are
// skipped, and fields that an older one lacks are nought.
func TestFormats(t *testing.T) {
	d := crashfs.New(1)
	j, _ := open(t, d, store.DefaultOptions())
	commit(
		t,
		j,
		&store.Record{Kind: 200, Name: name("x")},
		&store.Record{Kind: store.RunStarted, Name: name("bare"), ExpiresAt: at},
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
	opt.Repair = true // that mends nothing here
	_, _, err = store.OpenJournal(d, at, opt)
	var format *store.FormatError
	if !errors.As(err, &format) || format.Format != 2 {
		t.Errorf("%v", err)
	}
	if b, err := d.Read("journal-0000000000000001"); err != nil || !bytes.Equal(b, head) {
		t.Errorf("%q, %v", b, err)
	}
}

// Cut off at any byte, a journal gives what was whole before; changed at any byte, it is refused
// where something was promised of it, and repaired it gives the rest.
func TestEveryByte(t *testing.T) {
	build := func() (*crashfs.Disk, string) {
		d := crashfs.New(1)
		j, _ := open(t, d, store.DefaultOptions())
		for k := range 6 {
			commit(t, j, begun(fmt.Sprint("k", k), uint64(k+1)))
		}
		return d, "journal-0000000000000001"
	}
	d, file := build()
	whole, err := d.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for n := range whole {
		d := crashfs.New(1)
		w, _ := d.Create(file)
		if _, err := w.Write(whole[:n]); err != nil {
			t.Fatal(err)
		}
		_, f, err := store.OpenJournal(d, at, store.DefaultOptions())
		var damage *store.DamageError
		if errors.As(err, &damage) { // the cut is before a mark's promise: no crash does that
			t.Fatalf("cut at %d: %v", n, err)
		}
		if len(f.Keys) < last || len(f.Keys) > 6 {
			t.Fatalf("cut at %d: %d keys, with less of it %d", n, len(f.Keys), last)
		}
		last = len(f.Keys)
	}
	if last != 5 {
		t.Errorf("one byte short there are %d keys", last)
	}
	refused := 0
	for n := range whole {
		d, file := build()
		d.Rot(file, n)
		_, f, err := store.OpenJournal(d, at, store.DefaultOptions())
		var damage *store.DamageError
		var format *store.FormatError
		switch {
		case errors.As(err, &format):
			continue
		case errors.As(err, &damage):
			refused++
			opt := store.DefaultOptions()
			opt.Repair = true
			_, f, err = store.OpenJournal(d, at, opt)
			if err != nil || len(f.Damage) == 0 || len(f.Keys) < 4 {
				t.Fatalf("byte %d repaired: %v, %+v", n, err, f)
			}
			if names, _ := d.List(); !strings.Contains(fmt.Sprint(names), file+".bad") {
				t.Fatalf("byte %d: the bad file is not kept: %q", n, names)
			}
		case err != nil:
			t.Fatalf("byte %d: %v", n, err)
		case len(f.Keys) < 5: // only what nothing vouches for may go without a word
			t.Fatalf("byte %d: %d keys, and nobody is told", n, len(f.Keys))
		}
	}
	if refused < len(whole)/2 {
		t.Errorf("%d of %d bytes are refused", refused, len(whole))
	}
}

// Whatever is put in, the journal stays within twice what is alive and its slack, and nothing alive
// is lost by a snapshot, also one that cannot be written.
func TestSpaceIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := crashfs.New(1)
		opt := store.DefaultOptions()
		opt.SegmentBytes, opt.SlackBytes = 2000, 8000
		j, _ := open(t, d, opt)
		fails := rapid.Bool().Draw(rt, "fails")
		alive := map[string]bool{}
		for k := range rapid.IntRange(50, 300).Draw(rt, "records") {
			key := fmt.Sprint("k", k)
			if err := j.Commit([]*store.Record{begun(key, uint64(k+1))}); err != nil {
				rt.Fatal(err)
			}
			if alive[key] = true; rapid.IntRange(0, 9).Draw(rt, "forget") > 0 {
				if err := j.Commit([]*store.Record{forgotten(key, uint64(k+1))}); err != nil {
					rt.Fatal(err)
				}
				delete(alive, key)
			}
			if err := j.RotateSegment(); err != nil {
				rt.Fatal(err)
			}
			if snap, err := j.SnapshotIfDue(at); err != nil {
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
		_, f, err := store.OpenJournal(d, at, opt)
		if err != nil || len(f.Keys) != len(alive) {
			rt.Fatalf("%d keys of %d: %v", len(f.Keys), len(alive), err)
		}
	})
}

// hung is a disk whose syncs hang.
type hung struct {
	store.FS
	hang chan struct{}
}

type hungFile struct {
	store.File
	hang chan struct{}
}

func (h hung) Create(name string) (store.File, error) {
	f, err := h.FS.Create(name)
	return hungFile{f, h.hang}, err
}

func (f hungFile) Sync() error {
	<-f.hang
	return f.File.Sync()
}

// A disk that hangs holds up neither whoever puts records nor the end; what it was given is
// answered when it goes on.
func TestHungDisk(t *testing.T) {
	h := hung{store.Dir(t.TempDir()), make(chan struct{}, 100)}
	for range 2 { // for the start
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
	s, _, err := store.Open(h, unlock, set, func(fn func()) { fn() }, func(bool, error) {})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 20)
	s.Put(begun("first", 1), func(err error) { done <- err })
	time.Sleep(20 * time.Millisecond) // it hangs on that one
	for k := range 8 {
		s.Put(begun(fmt.Sprint(k), 1), func(err error) { done <- err })
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

// Whatever bytes are in a file, reading it ends, and a start from it loses nothing of what was
// read.
func FuzzRead(f *testing.F) {
	d := crashfs.New(1)
	j, _ := open(f, d, store.DefaultOptions())
	commit(f, j, begun("a", 1), ended("a", 1, strings.Repeat("x", 600)))
	commit(f, j, begun("b", 2))
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
		found, err := store.Read(d, at, store.DefaultOptions())
		if err != nil {
			return
		}
		// Whoever goes on from it, with a repair or without, keeps just what was read, once and
		// again.
		opt := store.DefaultOptions()
		opt.Repair = true
		for range 2 {
			j, again, err := store.OpenJournal(d, at, opt)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(told(found), told(again)); diff != "" {
				t.Fatalf("(-read +opened)\n%s", diff)
			}
			if err := j.Close(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
