// Package librarybench measures two libraries that keep keys and values on a disk, for comparison
// with the journal of internal/idempotency/store (docs/design-store.md). It is a module of its own,
// so that the program does not depend on them: run it in this folder.
package librarybench

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"
)

// size is the size of a value in bytes. Each caller puts a key twice, as the start and the end of a
// run.
const size = 300

func value(n int) []byte { return fmt.Appendf(make([]byte, 0, size), "%*d", size-40, n) }

// run has callers put keys at once, by a function that makes one durable.
func run(b *testing.B, callers int, put func(key, value []byte) error, path string) {
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() {
			for k := c; k < b.N; k += callers {
				key := fmt.Appendf(nil, "hand-in/north/%d", k)
				for range 2 {
					if err := put(key, value(k)); err != nil {
						b.Error(err)
						return
					}
				}
			}
		})
	}
	all.Wait()
	b.StopTimer()
	var bytes int64
	_ = filepath.Walk(path, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			bytes += info.Size()
		}
		return nil
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "keys/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "B/key")
}

func BenchmarkBbolt(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "keys")
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			db.MaxBatchDelay = 0
			if err := db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("keys")); return err }); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			run(b, callers, func(k, v []byte) error {
				return db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket([]byte("keys")).Put(k, v) })
			}, path)
		})
	}
}

func BenchmarkPebble(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			path := b.TempDir()
			db, err := pebble.Open(path, &pebble.Options{Logger: silent{}})
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			b.ResetTimer()
			run(b, callers, func(k, v []byte) error { return db.Set(k, v, pebble.Sync) }, path)
		})
	}
}

type silent struct{}

func (silent) Infof(string, ...any)      {}
func (silent) Errorf(string, ...any)     {}
func (silent) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
