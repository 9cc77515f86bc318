package main

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/testing/golden"
	"ryepaddle/internal/wallclock"
)

// storedUntil is when the keys in testdata expire, in microseconds since 1970: in 2099.
const storedUntil = int64(4_090_000_000_000_000)

// programName matches the name of the binary in error messages. Version 1 had another name.
var programName = regexp.MustCompile(`\b(runner|ryepaddle)\b:? `)

// writeStoredKeys creates a folder with two keys in a snapshot, and one in the journal after it.
func writeStoredKeys(t *testing.T, dir string) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	const now = 1_700_000_000_000_000
	j, _, err := store.OpenJournal(store.Dir(dir), wallclock.UnixMicro(now), store.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	record := func(kind store.RecordKind, key string) *store.Record {
		r := &store.Record{
			Kind: kind, Name: store.KeyName{Class: "hand-in", Tenant: "north", Key: key}, Owner: 1<<40 | 7,
			WrittenAt: wallclock.UnixMicro(now),
			ExpiresAt: wallclock.UnixMicro(storedUntil), BodyHash: [32]byte{1, 2, 3},
		}
		if kind == store.RunEnded {
			r.Result = &store.Result{
				Status: 201, Fields: []store.Field{{Name: "Content-Type", Value: "text/plain"}},
				Body: []byte("handed in"),
			}
		}
		return r
	}
	if err := j.Commit([]*store.Record{record(store.RunStarted, "a"), record(store.RunStarted, "b"),
		record(store.RunEnded, "b")}); err != nil {
		t.Fatal(err)
	}
	snapshot, err := j.BeginSnapshot(wallclock.UnixMicro(now))
	if err != nil {
		t.Fatal(err)
	}
	if err := snapshot.Write(); err != nil {
		t.Fatal(err)
	}
	j.FinishSnapshot(snapshot)
	if err := j.Commit([]*store.Record{record(store.RunStarted, "c")}); err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// Commands print the same for files that version 1 wrote as the commands of version 1 did. The folder
// account holds the test data of internal/usage/ledger except one statement: a bill is therefore
// incomplete, and the exit status is 1.
func TestCommandsReadFilesOfVersion1(t *testing.T) {
	const dir = "testdata/stored"
	keys, account := filepath.Join(dir, "keys"), filepath.Join(dir, "account")
	damaged := filepath.Join(dir, "keys-damaged") // the same as keys, with one byte of the snapshot changed
	if golden.Writing() {
		writeStoredKeys(t, keys)
	}
	for _, tt := range []struct {
		name   string
		args   []string
		status int
	}{
		{"store-inspect", []string{"store", "inspect", keys}, 0},
		{"store-inspect-json", []string{"store", "inspect", keys, "--json"}, 0},
		{"store-verify", []string{"store", "verify", keys}, 0},
		{"store-verify-json", []string{"store", "verify", keys, "--json"}, 0},
		{"store-verify-damaged", []string{"store", "verify", damaged}, 2},
		{"store-verify-damaged-json", []string{"store", "verify", damaged, "--json"}, 2},
		{"usage-show", []string{"usage", "show", account}, 0},
		{"usage-show-json", []string{"usage", "show", account, "--json"}, 0},
		{"usage-bill", []string{"usage", "bill", account}, 1},
		{"usage-bill-json", []string{"usage", "bill", account, "--json", "--instances", "n0,n1"}, 1},
		{"usage-bill-csv", []string{"usage", "bill", account, "--csv"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errs := runCommand(t, tt.args...)
			got := out + "--\n" + programName.ReplaceAllString(errs, "")
			if status != tt.status {
				t.Fatalf("exit status = %d, want %d; output: %s", status, tt.status, got)
			}
			golden.Check(t, filepath.Join(dir, tt.name+".out"), []byte(got))
		})
	}
}
