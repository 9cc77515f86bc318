package cluster

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ryepaddle/internal/testing/historychecker"
)

// retryDelay is the pause after an attempt of a key that was not served.
const retryDelay = 5 * time.Millisecond

// Load generates requests with idempotency keys from a number of callers. Each sends one key after
// another, and repeats a key until it is served or has failed.
type Load struct {
	// Callers is the number of callers.
	Callers int
	// Keys is the number of keys after which the load ends. 0: it goes on until Stop.
	Keys int
	// SwitchRunners sends each attempt of a key to the next runner in Cluster.Nodes. Otherwise all
	// attempts of a key go to the same runner.
	SwitchRunners bool
	// Repeats is the number of repeats after a key was served, which should return the same result.
	Repeats int
	// MaxAttempts bounds the attempts of a key. 0: no bound.
	MaxAttempts int
	// RepeatFor bounds the time in which a key is repeated. 0: until it is served.
	RepeatFor time.Duration

	cluster *Cluster
	lastKey atomic.Int64
	stop    atomic.Bool
	callers sync.WaitGroup
}

// Start starts the callers.
func (l *Load) Start(c *Cluster) {
	l.cluster = c
	for range l.Callers {
		l.callers.Go(l.sendKeys)
	}
}

// sendKeys sends keys until the load ends.
func (l *Load) sendKeys() {
	for !l.stop.Load() {
		k := int(l.lastKey.Add(1))
		if l.Keys > 0 && k > l.Keys {
			return
		}
		l.sendUntilDone(k)
	}
}

// sendUntilDone sends the k-th key until its repeats are served, it has failed, or a bound is
// reached.
func (l *Load) sendUntilDone(k int) {
	key := "key-" + strconv.Itoa(k)
	repeats := l.Repeats
	runner := k
	started := time.Now()
	for attempt := 1; ; attempt++ {
		nodes := l.cluster.Nodes
		outcome := l.cluster.SendKeyed(nodes[runner%len(nodes)], key).Outcome
		if outcome == historychecker.Failed || l.isBoundReached(attempt, started) {
			return
		}
		if outcome == historychecker.Served {
			repeats--
			if repeats < 0 {
				return
			}
		} else {
			time.Sleep(retryDelay)
			if l.stop.Load() {
				return
			}
		}
		if l.SwitchRunners {
			runner++
		}
	}
}

func (l *Load) isBoundReached(attempts int, started time.Time) bool {
	return l.MaxAttempts > 0 && attempts >= l.MaxAttempts ||
		l.RepeatFor > 0 && time.Since(started) > l.RepeatFor
}

// Stop ends the load and waits for the callers.
func (l *Load) Stop() {
	l.stop.Store(true)
	l.callers.Wait()
}

// Wait waits until all keys are done.
func (l *Load) Wait() { l.callers.Wait() }

// String returns the number of keys that ran so far, and the number of attempts by outcome.
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
