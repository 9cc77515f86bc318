package metering

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/testing/golden"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

const storedDir = "testdata/stored"

func storedRecord(at wallclock.UnixMicro, key string) ledger.Record {
	return ledger.Record{
		AnsweredAt:   at,
		Tenant:       "north",
		Class:        "hand-in",
		Outcome:      ledger.OutcomeServed,
		Work:         2_000,
		Key:          ledger.HashKey("north", "hand-in", key),
		KeyExpiresAt: at + 100*sec,
	}
}

// writeStored counts records of two periods, writes the statement of the first period, and leaves two
// uncounted records in the ring, as after a kill of the process.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	account, _, err := openAccount(
		store.Dir(dir),
		openParams{settings: settings(), saveInterval: 5 * time.Second, now: begin, incarnation: "0011aabbccdd"},
	)
	if err != nil {
		t.Fatal(err)
	}
	mem := make([]byte, ledger.RingSize(20))
	account.ring = ledger.NewRing(mem, account.ledger.Incarnation(), account.lastRecord)
	for _, step := range []struct {
		at  wallclock.UnixMicro
		key string
	}{{begin + sec, "a"}, {begin + 2*sec, "b"}, {begin + 601*sec, "c"}} {
		account.ring.Put(storedRecord(step.at, step.key))
		if err := account.advance(step.at + 5*sec); err != nil {
			t.Fatal(err)
		}
	}
	account.ring.Put(storedRecord(begin+602*sec, "d"))
	account.ring.Put(storedRecord(begin+603*sec, "e"))
	if err := os.WriteFile(filepath.Join(dir, ringFile), mem, 0o600); err != nil {
		t.Fatal(err)
	}
}

// A process must continue the account of a folder that version 1 wrote: it must count the records that
// were left in the ring, and write the next statement.
func TestContinuesAccountOfVersion1(t *testing.T) {
	dir := golden.Copy(t, storedDir)
	old, err := os.ReadFile(filepath.Join(dir, ringFile))
	if err != nil {
		t.Fatal(err)
	}
	account, found, err := openAccount(
		store.Dir(dir),
		openParams{
			settings:     settings(),
			saveInterval: 5 * time.Second,
			now:          begin + 700*sec,
			incarnation:  "ffffffffffff",
			oldRing:      old,
			sameBoot:     true,
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	if found != (recovery{recovered: 2}) {
		t.Errorf("openAccount() recovered %+v, want 2 records that were not saved", found)
	}
	wantSummary := ledger.Summary{
		Instance: "n0", Incarnation: "0011aabbccdd", SealedThrough: begin + 600*sec, Statements: 1,
		Exported: 1, Keys: 3,
		Lines: []ledger.Line{{
			Period: begin + 600*sec, Tenant: "north", Class: "hand-in", Count: ledger.Count{Served: 3, Work: 6_000},
			Slices: []int64{3},
		}},
	}
	if diff := cmp.Diff(wantSummary, account.ledger.Summary()); diff != "" {
		t.Errorf("summary (-want +got)\n%s", diff)
	}
	account.ring = ledger.NewRing(make([]byte, ledger.RingSize(20)), account.ledger.Incarnation(), account.lastRecord)
	if err := account.advance(begin + 1300*sec); err != nil {
		t.Fatal(err)
	}
	names := statementFiles(t, dir)
	want := []string{"usage-n0-0011aabbccdd-00000001.json", "usage-n0-0011aabbccdd-00000002.json"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("statements (-want +got)\n%s", diff)
	}
}

func statementFiles(t *testing.T, dir string) (statements []string) {
	t.Helper()
	names, err := store.Dir(dir).List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, "usage-") {
			statements = append(statements, name)
		}
	}
	return statements
}

// The same records must give files with the bytes that version 1 wrote.
func TestWritesBytesOfVersion1(t *testing.T) {
	golden.CheckDir(t, storedDir, func(dir string) { writeStored(t, dir) })
}
