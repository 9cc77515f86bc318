package metering

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/usage/ledger"
)

// writeTestdata has the tests write testdata anew instead of reading it. It is set only to keep the
// files of a program that is in use; they are not changed to make a test pass.
const writeTestdata = "RYEPADDLE_WRITE_TESTDATA"

const storedDir = "testdata/stored"

func storedUse(at int64, key string) ledger.Record {
	return ledger.Record{
		AnsweredAt: at, School: "north", Class: "hand-in", Outcome: ledger.OutcomeServed, Work: 2_000, Key: ledger.HashKey("north", "hand-in", key),
		KeyExpiresAt: at + 100*sec,
	}
}

// writeStored has a process count uses of two periods and write the statement of the first, and
// leaves two uses in its ring as a kill does.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	d, _, err := openDesk(store.Dir(dir), settings(), 5*sec, start, "0011aabbccdd", nil, false, false)
	if err != nil {
		t.Fatal(err)
	}
	mem := make([]byte, ledger.RingSize(20))
	d.ring = ledger.NewRing(mem, d.led.Incarnation(), d.taken)
	for _, step := range []struct {
		at  int64
		key string
	}{{start + sec, "a"}, {start + 2*sec, "b"}, {start + 601*sec, "c"}} {
		d.ring.Put(storedUse(step.at, step.key))
		if err := d.step(step.at + 5*sec); err != nil {
			t.Fatal(err)
		}
	}
	d.ring.Put(storedUse(start+602*sec, "d"))
	d.ring.Put(storedUse(start+603*sec, "e"))
	if err := os.WriteFile(filepath.Join(dir, ringFile), mem, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A process goes on with the account of a folder that version 1 wrote: it counts what that one had
// left in its ring, and writes the statement that comes next.
func TestContinuesAccountOfVersion1(t *testing.T) {
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
	old, err := os.ReadFile(filepath.Join(dir, ringFile))
	if err != nil {
		t.Fatal(err)
	}
	d, f, err := openDesk(store.Dir(dir), settings(), 5*sec, start+700*sec, "ffffffffffff", old, true, false)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(found{Left: 2}, f); diff != "" {
		t.Errorf("found (-want +got)\n%s", diff)
	}
	want := ledger.Summary{
		Instance: "n0", Incarnation: "0011aabbccdd", SealedThrough: start + 600*sec, Statements: 1, Exported: 1, Keys: 3,
		Lines: []ledger.Line{{
			Period: start + 600*sec, School: "north", Class: "hand-in", Count: ledger.Count{Served: 3, Work: 6_000},
			Slices: []int64{3},
		}},
	}
	if diff := cmp.Diff(want, d.led.Summary()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
	d.ring = ledger.NewRing(make([]byte, ledger.RingSize(20)), d.led.Incarnation(), d.taken)
	if err := d.step(start + 1300*sec); err != nil {
		t.Fatal(err)
	}
	names, err := store.Dir(dir).List()
	if err != nil {
		t.Fatal(err)
	}
	var statements []string
	for _, name := range names {
		if strings.HasPrefix(name, "usage-") {
			statements = append(statements, name)
		}
	}
	if diff := cmp.Diff(
		[]string{"usage-n0-0011aabbccdd-00000001.json", "usage-n0-0011aabbccdd-00000002.json"}, statements,
	); diff != "" {
		t.Errorf("statements (-want +got)\n%s", diff)
	}
}

// The same uses make the files of version 1, with the same bytes.
func TestWritesBytesOfVersion1(t *testing.T) {
	dir := t.TempDir()
	writeStored(t, dir)
	files, err := os.ReadDir(storedDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		want, err := os.ReadFile(filepath.Join(storedDir, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(filepath.Join(dir, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(want) {
			t.Errorf("%s is written as\n%q\nand not, as before, as\n%q", file.Name(), got, want)
		}
	}
}
