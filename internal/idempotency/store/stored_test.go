package store_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/testing/golden"
)

const storedDir = "testdata/stored"

// storedRecords returns the records of the folder in testdata that were written before its snapshot, and
// those that were written after it.
func storedRecords() (before, after []*store.Record) {
	withoutResult := ended("failed", 6, "")
	withoutResult.Result, withoutResult.Status = nil, 3
	long := make([]byte, 600) // long enough to be compressed
	for i := range long {
		long[i] = byte('a' + i%3)
	}
	before = []*store.Record{
		started("open", 5), started("failed", 6), withoutResult,
		started("done", 1<<40|7), ended("done", 1<<40|7, "handed in"),
		started("never-ran", 8), released("never-ran", 8),
	}
	after = []*store.Record{started("long", 9), ended("long", 9, string(long)), started("open-2", 10)}
	return before, after
}

// writeStored writes the records of storedRecords into an empty folder.
func writeStored(t *testing.T, dir string) {
	t.Helper()
	j, _ := open(t, store.Dir(dir), store.DefaultOptions())
	before, after := storedRecords()
	commit(t, j, before...)
	snapshot, err := j.BeginSnapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	if err := snapshot.Write(); err != nil {
		t.Fatal(err)
	}
	j.FinishSnapshot(snapshot)
	commit(t, j, after[:2]...)
	commit(t, j, after[2])
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// storedKeys returns the keys that the folder in testdata contains.
func storedKeys() []*store.Key {
	long := ""
	for len(long) < 600 {
		long += "abc"
	}
	result := func(body string) *store.Result {
		return &store.Result{
			Status: 200,
			Fields: []store.Field{{Name: "Content-Type", Value: "text/plain"}},
			Body:   []byte(body),
		}
	}
	key := func(name string, owner uint64) *store.Key {
		return &store.Key{
			Name:      store.KeyName{Class: "hand-in", Tenant: "north", Key: name},
			Owner:     owner,
			ExpiresAt: 1_700_000_013_000_000,
			BodyHash:  [32]byte{1, 2},
		}
	}
	done, failed, compressed := key("done", 1<<40|7), key("failed", 6), key("long", 9)
	done.Ended, done.Result = true, result("handed in")
	failed.Ended, failed.Status = true, 3
	compressed.Ended, compressed.Result = true, result(long)
	return []*store.Key{done, failed, compressed, key("open", 5), key("open-2", 10)}
}

// A folder of format version 1, with a snapshot and a segment after it, yields the keys that were
// written.
func TestReadsFolderOfVersion1(t *testing.T) {
	found, err := store.Read(store.Dir(storedDir), now, store.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	want := &store.Recovery{Keys: storedKeys(), Snapshot: 1, Segments: 1, Records: 5, NewestAt: now}
	if diff := cmp.Diff(want, found, cmpopts.IgnoreUnexported(store.Key{}, store.Field{})); diff != "" {
		t.Errorf("read recovery (-want +got):\n%s", diff)
	}
	// A journal that is opened in the folder starts with the same keys.
	dir := golden.Copy(t, storedDir)
	j, opened := open(t, store.Dir(dir), store.DefaultOptions())
	if diff := cmp.Diff(storedKeys(), opened.Keys, cmpopts.IgnoreUnexported(store.Key{}, store.Field{})); diff != "" {
		t.Errorf("keys of the opened journal (-want +got):\n%s", diff)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// Records and keys are written with the bytes of format version 1.
func TestWritesBytesOfVersion1(t *testing.T) {
	golden.CheckDir(t, storedDir, func(dir string) { writeStored(t, dir) })
}
