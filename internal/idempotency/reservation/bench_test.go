package reservation

import (
	"fmt"
	"testing"

	"ryepaddle/internal/lifecycle"
)

// BenchmarkReserve measures the time that a reservation takes on the loop, with and without another
// process.
func BenchmarkReserve(b *testing.B) {
	for _, processes := range []int{1, 2} {
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			dir := b.TempDir()
			all := make([]*process, processes)
			for i := range all {
				all[i] = start(b, dir, uint32(i+1))
			}
			one := all[0]
			one.runTimers()
			free, done := func() bool { return true }, func(mine bool, err error) {
				if !mine || err != nil {
					b.Fatalf("reservation = %v, error %v, want true, nil", mine, err)
				}
			}
			for i := 0; b.Loop(); i++ {
				k := lifecycle.KeyRecord{
					Class:     "hand-in",
					Tenant:    "malarskolan",
					Key:       fmt.Sprintf("%032x", i),
					Owner:     1 << 32,
					ExpiresAt: 10_000_000,
				}
				one.coordinator.Reserve(k, lockRetryInterval, free, done)
			}
		})
	}
}
