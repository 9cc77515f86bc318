package store_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

// BenchmarkStore measures how long it takes until the start and then the end of a run are durable, by sync
// mode and number of concurrent runs.
func BenchmarkStore(b *testing.B) {
	body := strings.Repeat("result of a check, ", 50) // about 1 kB
	modes := map[store.SyncMode]string{store.SyncAlways: "always", store.SyncGroup: "group", store.SyncNone: "none"}
	for mode, name := range modes {
		for _, concurrency := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("%s/%d", name, concurrency), func(b *testing.B) {
				set := store.DefaultSettings()
				set.Sync = mode
				dir := store.Dir(b.TempDir())
				unlock, err := dir.Lock()
				if err != nil {
					b.Fatal(err)
				}
				s, _, err := store.Open(dir, unlock, set, func(fn func()) { fn() }, func(error) {})
				if err != nil {
					b.Fatal(err)
				}
				var mu sync.Mutex
				hist := hdrhistogram.New(1, 60_000_000, 3)
				var all sync.WaitGroup
				begin := time.Now()
				for n := range concurrency {
					all.Go(func() {
						done := make(chan error)
						for k := n; k < b.N; k += concurrency {
							key, from := fmt.Sprint(k), time.Now()
							for _, r := range []*store.Record{started(key, 1), ended(key, 1, body)} {
								// so that the key is removed within a second
								r.ExpiresAt = wallclock.FromTime(time.Now().Add(-9 * time.Second))
								s.Put(r, func(err error) { done <- err })
								if err := <-done; err != nil {
									b.Error(err)
								}
							}
							mu.Lock()
							_ = hist.RecordValue(time.Since(from).Microseconds())
							mu.Unlock()
						}
					})
				}
				all.Wait()
				b.ReportMetric(float64(b.N)/time.Since(begin).Seconds(), "keys/s")
				b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-us")
				b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-us")
				if err := s.Close(time.Minute); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}

// BenchmarkRecovery measures opening a journal, by its number of keys: reading it, writing a snapshot and
// creating a segment.
func BenchmarkRecovery(b *testing.B) {
	body := strings.Repeat("result of a check, ", 10)
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := b.TempDir()
			opt := store.DefaultOptions()
			j, _ := open(b, store.Dir(path), opt)
			for k := 0; k < n; k += 100 {
				var batch []*store.Record
				for i := range 100 {
					key := fmt.Sprintf("0123456789abcdef-%d", k+i)
					batch = append(batch, started(key, 1), ended(key, 1, body))
				}
				commit(b, j, batch...)
				if err := j.RotateSegment(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(j.Size())/float64(n), "journal-B/key")
			j.Close()
			for b.Loop() {
				j, f := open(b, store.Dir(path), opt)
				if len(f.Keys) != n {
					b.Fatalf("recovered %d keys, want %d", len(f.Keys), n)
				}
				j.Close()
			}
			files, err := os.ReadDir(path)
			if err != nil {
				b.Fatal(err)
			}
			for _, f := range files {
				if info, err := f.Info(); err == nil && strings.HasPrefix(f.Name(), "snapshot") {
					b.ReportMetric(float64(info.Size())/float64(n), "snapshot-B/key")
				}
			}
		})
	}
}
