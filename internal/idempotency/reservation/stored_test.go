package reservation

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
)

// writeTestdata has the tests write testdata anew instead of reading it. It is set only to keep the
// files of a program that is in use; they are not changed to make a test pass.
const writeTestdata = "RYEPADDLE_WRITE_TESTDATA"

const storedDir = "testdata/stored"

// storedKey is a key that the process of a life has reserved in testdata.
func storedKey(name string, life uint32) lifecycle.KeyRecord {
	return lifecycle.KeyRecord{
		Class:     "hand-in",
		Tenant:    "north",
		Key:       name,
		Owner:     uint64(life)<<32 | 5,
		ExpiresAt: 10_000_000,
		BodyHash:  [32]byte{1, 2, 31: 3},
	}
}

// storedEnd is a key whose run has ended with a result.
func storedEnd(name string, life uint32) lifecycle.KeyRecord {
	k := storedKey(name, life)
	k.Ended = true
	k.Result = &lifecycle.Result{
		Status: 201,
		Fields: []lifecycle.Field{{Name: "Content-Type", Value: "text/plain"}},
		Body:   []byte("handed in"),
	}
	return k
}

// writeStored has two processes reserve keys and end without removing their files.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	first, second := start(t, dir, 7), start(t, dir, 8)
	claim := func(p *process, k lifecycle.KeyRecord) {
		p.ledger.Reserve(k, 0, func() bool { return true }, func(mine bool, err error) {
			if !mine || err != nil {
				t.Fatal(mine, err)
			}
		})
	}
	first.pass() // it sees the second
	claim(first, storedKey("a", 7))
	claim(second, storedKey("b", 8))
	claim(first, storedKey("c", 7))
	first.ledger.Ended(storedEnd("a", 7))
	first.ledger.Released(storedKey("c", 7))
	second.ledger.MarkServing()
	first.kill()
	second.kill()
}

// heard is a table of keys that notes what it is told of other processes.
type heard struct {
	keys      []lifecycle.KeyRecord
	forgotten []string
	orphaned  []uint32
}

func (h *heard) ApplyRemote(k lifecycle.KeyRecord, forgotten bool) {
	if forgotten {
		h.forgotten = append(h.forgotten, k.Key)
		return
	}
	h.keys = append(h.keys, k)
}
func (h *heard) OwnerDied(life uint32)               { h.orphaned = append(h.orphaned, life) }
func (h *heard) EachOwned(func(lifecycle.KeyRecord)) {}

// What two processes of version 1 have reserved is read by a process that starts after them.
func TestReadsFilesOfVersion1(t *testing.T) {
	if os.Getenv(writeTestdata) != "" {
		if err := os.RemoveAll(storedDir); err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(storedDir, 0o755); err != nil {
			t.Fatal(err)
		}
		writeStored(t, storedDir)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(storedDir)); err != nil {
		t.Fatal(err)
	}
	h := &heard{}
	l, err := Open(
		&process{t: t, now: time.Second},
		Config{
			Dir: dir, Runner: "n0 127.0.0.1:1", Incarnation: 9, Window: time.Second, MaxResultBytes: 100,
			After: func(time.Duration, func()) {},
		},
		h,
	)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	want := &heard{
		keys:      []lifecycle.KeyRecord{storedKey("a", 7), storedKey("c", 7), storedEnd("a", 7), storedKey("b", 8)},
		forgotten: []string{"c"},
		orphaned:  []uint32{7, 8},
	}
	if diff := cmp.Diff(want, h, cmp.AllowUnexported(heard{}), cmpopts.IgnoreUnexported(store.Field{})); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	if p := l.processes[8]; p == nil || !p.serving {
		t.Errorf("the process that takes connections is known as %+v", p)
	}
}

// The same reservations are written with the bytes of version 1, in files of the same names.
func TestWritesBytesOfVersion1(t *testing.T) {
	dir := t.TempDir()
	writeStored(t, dir)
	files, err := os.ReadDir(storedDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		want, err := os.ReadFile(storedDir + "/" + file.Name())
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(dir + "/" + file.Name())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got)\n%s", file.Name(), diff)
		}
	}
}
