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
	SwitchRunners bool
	Repeats       int // repeats after a key was served, which are to give the same
	MaxAttempts   int // of a key at the most; 0: any number
	// for so long a key is repeated, as long as its window holds; 0: until it is served
	RepeatFor time.Duration

	cluster *Cluster
	lastKey atomic.Int64
	stop    atomic.Bool
	callers sync.WaitGroup
}

// retryDelay is between two tries of a key that was refused.
const retryDelay = 5 * time.Millisecond

// Start has the callers begin.
func (l *Load) Start(c *Cluster) {
	l.cluster = c
	for range l.Callers {
		l.callers.Go(func() {
			for !l.stop.Load() {
				k := int(l.lastKey.Add(1))
				if l.Keys > 0 && k > l.Keys {
					return
				}
				l.sendUntilDone(k)
			}
		})
	}
}

func (l *Load) sendUntilDone(k int) {
	key, again, began := "key-"+strconv.Itoa(k), l.Repeats, time.Now()
	at := k
	for try := 1; ; try++ {
		told := l.cluster.SendKeyed(l.cluster.Nodes[at%len(l.cluster.Nodes)], key)
		if told.Outcome == historychecker.Failed || l.MaxAttempts > 0 && try >= l.MaxAttempts ||
			l.RepeatFor > 0 && time.Since(began) > l.RepeatFor {
			return
		}
		if told.Outcome == historychecker.Served {
			if again--; again < 0 {
				return
			}
		} else if time.Sleep(retryDelay); l.stop.Load() {
			return
		}
		if l.SwitchRunners {
			at++
		}
	}
}

// Suspend has the callers end, and waits for them.
func (l *Load) Stop() {
	l.stop.Store(true)
	l.callers.Wait()
}

// Wait waits until all keys are through.
func (l *Load) Wait() { l.callers.Wait() }

// String tells what callers saw so far.
func (c *Cluster) String() string {
	n := c.History.Count()
	return fmt.Sprintf(
		"%d keys ran; tries: %d served, %d refused, %d failed, %d broken",
		len(c.RunCounts()),
		n[historychecker.Served],
		n[historychecker.Rejected],
		n[historychecker.Failed],
		n[historychecker.Unknown],
	)
}
