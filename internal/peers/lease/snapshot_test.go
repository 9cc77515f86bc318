package lease_test

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ryepaddle/internal/peers/lease"
)

// Readers always see grants of the same Set call while the writer replaces them continuously: no token
// goes with another grant's expiry, and tokens never decrease.
func TestSnapshotIsReadAsAWhole(t *testing.T) {
	s := &lease.Snapshot{}
	if _, ok := s.Holds("d", 0); ok {
		t.Error("Holds() of an empty snapshot = true, want false")
	}
	var readers sync.WaitGroup
	var done atomic.Bool
	for range 4 {
		readers.Go(func() {
			for last := uint64(0); !done.Load(); {
				token, ok := s.Holds("d", 5*time.Microsecond)
				if ok != (token%2 == 1) || token < last {
					t.Errorf("Holds() token = %d after %d, ok = %v; want no decrease, and ok if odd", token, last, ok)
					return
				}
				last = token
			}
		})
	}
	for token := uint64(1); token <= 2000; token++ {
		expiresAt := time.Duration(token%2) * 10 * time.Microsecond
		s.Set([]lease.Grant{{Lease: "other", Token: token}, {Lease: "d", Token: token, ExpiresAt: expiresAt}})
	}
	done.Store(true)
	readers.Wait()
}

// callEvery10ms calls fn every 10 ms until stop is closed, and then closes stopped.
func callEvery10ms(stop, stopped chan bool, fn func()) {
	defer close(stopped)
	for t := time.NewTicker(10 * time.Millisecond); ; {
		select {
		case <-stop:
			t.Stop()
			return
		case <-t.C:
			fn()
		}
	}
}

// lockedGrants holds grants behind a lock, as the alternative that BenchmarkHolds compares with a
// Snapshot.
type lockedGrants struct {
	mu     sync.RWMutex
	grants []lease.Grant
}

func (l *lockedGrants) token(name string) (token uint64) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for i := range l.grants {
		if l.grants[i].Lease == name {
			token = l.grants[i].Token
		}
	}
	return token
}

// BenchmarkHolds measures what looking up a lease costs a request while the grants are replaced 100
// times a second: in a Snapshot, and in a slice behind a lock.
func BenchmarkHolds(b *testing.B) {
	grants := []lease.Grant{
		{Lease: "checks-hall1", Token: 5, ExpiresAt: math.MaxInt64},
		{Lease: "checks-hall2", Token: 6, ExpiresAt: math.MaxInt64},
	}
	snapshot, locked := &lease.Snapshot{}, &lockedGrants{grants: grants}
	snapshot.Set(grants)
	replace := func() {
		next := append([]lease.Grant(nil), grants...)
		locked.mu.Lock()
		locked.grants = next
		locked.mu.Unlock()
		snapshot.Set(next)
	}
	for _, readers := range []int{1, 2, 4, 6} {
		for name, look := range map[string]func(){
			"snapshot": func() { snapshot.Holds("checks-hall2", time.Microsecond) },
			"lock":     func() { locked.token("checks-hall2") },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, readers), func(b *testing.B) {
				stop, stopped := make(chan bool), make(chan bool)
				go callEvery10ms(stop, stopped, replace)
				var all sync.WaitGroup
				for range readers {
					all.Go(func() {
						for range b.N {
							look()
						}
					})
				}
				all.Wait()
				close(stop)
				<-stopped
			})
		}
	}
}
