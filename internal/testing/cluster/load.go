package cluster

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ryepaddle/internal/testing/historychecker"
)

// Load is a number of callers, each of which hands in one key after another, and repeats it until
// it is served or has failed.
type Load struct {
	Callers int
	Keys    int // after which it ends; 0: it goes on until Stop
	// a repeat goes to another runner than the try before it; else a key keeps to its runner
	Roam        bool
	Repeats     int // repeats after a key was served, which are to give the same
	MaxAttempts int // of a key at the most; 0: any number
	// for so long a key is repeated, as long as its window holds; 0: until it is served
	Within time.Duration

	cluster *Cluster
	asked   atomic.Int64
	stop    atomic.Bool
	all     sync.WaitGroup
}

// pause is between two tries of a key that was refused.
const pause = 5 * time.Millisecond

// Start has the callers begin.
func (l *Load) Start(c *Cluster) {
	l.cluster = c
	for range l.Callers {
		l.all.Go(func() {
			for !l.stop.Load() {
				k := int(l.asked.Add(1))
				if l.Keys > 0 && k > l.Keys {
					return
				}
				l.key(k)
			}
		})
	}
}

func (l *Load) key(k int) {
	key, again, began := "key-"+strconv.Itoa(k), l.Repeats, time.Now()
	at := k
	for try := 1; ; try++ {
		told := l.cluster.HandIn(l.cluster.Nodes[at%len(l.cluster.Nodes)], key)
		if told.Outcome == historychecker.Failed || l.MaxAttempts > 0 && try >= l.MaxAttempts ||
			l.Within > 0 && time.Since(began) > l.Within {
			return
		}
		if told.Outcome == historychecker.Served {
			if again--; again < 0 {
				return
			}
		} else if time.Sleep(pause); l.stop.Load() {
			return
		}
		if l.Roam {
			at++
		}
	}
}

// Stop has the callers end, and waits for them.
func (l *Load) Stop() {
	l.stop.Store(true)
	l.all.Wait()
}

// Wait waits until all keys are through.
func (l *Load) Wait() { l.all.Wait() }

// String tells what callers saw so far.
func (c *Cluster) String() string {
	n := c.History.Count()
	return fmt.Sprintf(
		"%d keys ran; tries: %d served, %d refused, %d failed, %d broken",
		len(c.Ran()),
		n[historychecker.Served],
		n[historychecker.Rejected],
		n[historychecker.Failed],
		n[historychecker.Unknown],
	)
}
