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

// One runner asks for all; others ask for themselves what they were not told, were told ill or too
// long ago, and where nobody holds the duty.
func TestWhoAsks(t *testing.T) {
	const every = time.Second
	held := func(duty string) (uint64, bool) { return 7, duty == "checks-h1" }
	none := func(string) (uint64, bool) { return 0, false }
	a, b := lease.NewHealthChecks([]string{"h1"}), lease.NewHealthChecks([]string{"h1"})
	if ask, _, token := a.ShouldCheck("g", "s1", "h2", every, 0, true, held); !ask || token != 0 {
		t.Error("a hall that nobody asks for all")
	}
	ask, name, token := a.ShouldCheck("g", "s1", "h1", every, 0, true, held)
	if !ask || name != "checks-h1" || token != 7 {
		t.Errorf("the holder: %v %s %d", ask, name, token)
	}
	a.RecordResult(name, token, "g", "s1", true, 0)
	a.RecordResult(name, token, "g", "s2", false, 0)
	tales := a.TakeReports("n1", 500*time.Millisecond, held)
	if len(tales) != 1 || len(a.TakeReports("n1", 0, held)) != 0 {
		t.Fatalf("told: %+v", tales)
	}
	if err := b.Receive(&tales[0], 10*time.Second); err != nil {
		t.Error(err)
	}
	for _, c := range []struct {
		what, server string
		after        time.Duration
		sure, ask    bool
	}{{"told well", "s1", 100 * time.Millisecond, true, false}, {"told ill", "s2", 100 * time.Millisecond, true, true}, {"told nothing", "s3", 100 * time.Millisecond, true, true},
		{"it is to come back", "s1", 100 * time.Millisecond, false, true}, {"two rounds ago", "s1", 2*every - 500*time.Millisecond, true, false}, {"longer ago", "s1", 2*every - 500*time.Millisecond + time.Microsecond, true, true}} {
		if ask, _, _ := b.ShouldCheck("g", c.server, "h1", every, 10*time.Second+c.after, c.sure, none); ask != c.ask {
			t.Errorf("%s: asks %v", c.what, ask)
		}
	}
	tales[0].Token = 6
	if b.Receive(&tales[0], 11*time.Second) == nil || b.Stale != 1 {
		t.Error("a tale of who has lost the duty is taken")
	}
	a.RecordResult(name, 7, "g", "s1", true, 0)
	if got := a.TakeReports("n1", 0, none); len(got) != 0 {
		t.Errorf("told after the duty was lost: %+v", got)
	}
}

// Readers of a book see whole pages, while another one takes their place all the time.
func TestBook(t *testing.T) {
	b := &lease.Snapshot{}
	if _, ok := b.Holds("d", 0); ok {
		t.Error("an empty book")
	}
	var all sync.WaitGroup
	var done atomic.Bool
	for range 4 {
		all.Go(func() {
			for last := uint64(0); !done.Load(); {
				token, ok := b.Holds("d", 5*time.Microsecond)
				if ok != (token%2 == 1) || token < last {
					t.Errorf("token %d after %d, %v", token, last, ok)
					return
				}
				last = token
			}
		})
	}
	for token := uint64(1); token <= 2000; token++ {
		b.Set(
			[]lease.Grant{
				{Lease: "other", Token: token},
				{Lease: "d", Token: token, ExpiresAt: time.Duration(token%2) * 10 * time.Microsecond},
			},
		)
	}
	done.Store(true)
	all.Wait()
}

// changes makes one 100 times a second.
func changes(stop, gone chan bool, change func()) {
	defer close(gone)
	for t := time.NewTicker(10 * time.Millisecond); ; {
		select {
		case <-stop:
			t.Stop()
			return
		case <-t.C:
			change()
		}
	}
}

// What a look costs a request's path while pages change 100 times a second: a snapshot that is
// swapped, and a lock.
func BenchmarkLook(b *testing.B) {
	page := []lease.Grant{
		{Lease: "checks-hall1", Token: 5, ExpiresAt: math.MaxInt64},
		{Lease: "checks-hall2", Token: 6, ExpiresAt: math.MaxInt64},
	}
	book, mu := &lease.Snapshot{}, &sync.RWMutex{}
	locked := func() (token uint64) {
		mu.RLock()
		defer mu.RUnlock()
		for i := range page {
			if page[i].Lease == "checks-hall2" {
				token = page[i].Token
			}
		}
		return token
	}
	book.Set(page)
	for _, threads := range []int{1, 2, 4, 6} {
		for name, look := range map[string]func(){"page": func() { book.Holds("checks-hall2", time.Microsecond) }, "lock": func() { locked() }} {
			b.Run(fmt.Sprintf("%s/%d", name, threads), func(b *testing.B) {
				stop, gone := make(chan bool), make(chan bool)
				go changes(stop, gone, func() {
					next := append([]lease.Grant(nil), page...)
					mu.Lock()
					page = next
					mu.Unlock()
					book.Set(next)
				})
				var all sync.WaitGroup
				for range threads {
					all.Go(func() {
						for range b.N {
							look()
						}
					})
				}
				all.Wait()
				close(stop)
				<-gone
			})
		}
	}
}
