package cluster

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
)

// peerFaultTime is the time over which faults among peers are spread.
const peerFaultTime = 4 * time.Second

// peerLoad returns a load whose repeats go to any runner.
func peerLoad(callers, repeats int) *Load {
	return &Load{Callers: callers, SwitchRunners: true, Repeats: repeats, RepeatFor: shortWindow / 2}
}

// peerFaults draws faults of links among peers, processes and whole machines.
func peerFaults(c *Cluster, seed uint64) []Fault {
	return RandomFaults(seed, 14, peerFaultTime, len(c.Nodes), len(c.Servers), true, true)
}

// Keys are repeated at any runner during random faults of links among peers, processes and machines:
// no key may run twice, and no result may be lost.
func TestReplicationWithRandomFaults(t *testing.T) {
	t.Parallel()
	first, count := seeds(1)
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := startPeers(t, 5, 2)
			playUnderLoad(t, c, peerLoad(6, 2), seed, peerFaults(c, seed))
		})
	}
}

// Machines are lost with their disks one after the other: no key may run twice, and repeats at any
// runner must return the same result. RYEPADDLE_LOST is how often each machine is lost, for a long run
// by hand.
func TestMachineLosses(t *testing.T) {
	t.Parallel()
	rounds := 1
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_LOST")); err == nil {
		rounds = n
	}
	for part := range max(1, min(rounds, 5)) { // in parallel, as they wait most of the time
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			loseEachMachine(t, max(rounds/5, 1))
		})
	}
}

func loseEachMachine(t *testing.T, rounds int) {
	t.Helper()
	c := startPeers(t, 4, 1)
	load := peerLoad(6, 2)
	load.Start(c)
	for i := range rounds * len(c.Nodes) {
		n := c.Nodes[i%len(c.Nodes)]
		time.Sleep(300 * time.Millisecond)
		playLines(t, c, "0s kill "+n.Name+" --wipe --back 100ms")
		waitUntilReplicated(t, c)
	}
	time.Sleep(300 * time.Millisecond)
	load.Stop()
	t.Log(c)
	checkHistory(t, c)
	checkBill(t, c)
	if n := c.History.Count(); n[historychecker.Served] < 100 {
		t.Errorf("too few outcomes to check: %v", c)
	}
}

// Nine runners are linked as a grid, in which none has a link to every other. Random faults, also of
// runners that relay messages, must break no guarantee.
func TestGridOfLinksWithRandomFaults(t *testing.T) {
	t.Parallel()
	first, count := seeds(1)
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playOnGrid(t, seed)
		})
	}
}

func playOnGrid(t *testing.T, seed uint64) {
	t.Helper()
	c := startAccepting(t, Options{
		Runners:     9,
		Zones:       3,
		Servers:     2,
		Window:      shortWindow,
		Replicas:    2,
		MaxFullMesh: 4,
	}, 30*time.Second, acceptTimeout)
	// At the start, before runners know their relays, more links may be open.
	waitFor(t, "all links are those of the grid", func() bool {
		_, withinLimit := relayed(c, 4)
		return withinLimit
	})
	playUnderLoad(t, c, peerLoad(6, 2), seed, peerFaults(c, seed))
	messages, _ := relayed(c, 8)
	if messages == 0 {
		t.Error("relayed messages = 0, want more")
	}
}

// relayed returns the number of messages that the runners have relayed, and whether all of them
// report at most maxLinks links.
func relayed(c *Cluster, maxLinks int) (messages int64, withinLimit bool) {
	withinLimit = true
	for _, n := range c.Nodes {
		var status app.Status
		err := n.Control(control.Request{Command: "status"}, &status)
		if err != nil || status.Peers.Links > maxLinks {
			withinLimit = false
			continue
		}
		messages += status.Peers.Relayed
	}
	return messages, withinLimit
}

// A runner that restarts with its disk is sent only the data that it lacks, and one that restarts with
// an empty disk all data.
func TestCatchUpBytes(t *testing.T) {
	t.Parallel()
	c := startPeers(t, 3, 2) // each has all keys
	restarts := []string{"0s drain n3 --back 0s", "0s kill n3 --wipe --back 0s"}
	var sent [2]int64
	for i, fault := range restarts {
		for k := range 60 {
			sendUntil(t, c, c.Nodes[k%3], fmt.Sprint("before-", i, "-", k), historychecker.Served)
		}
		before := catchUpBytes(t, c.Nodes[:2])
		playLines(t, c, fault)
		waitFor(t, "n3 is a member again", func() bool {
			var status app.Status
			err := c.Nodes[2].Control(control.Request{Command: "status"}, &status)
			return err == nil && status.Peers.IsMember
		})
		waitUntilReplicated(t, c)
		sent[i] = catchUpBytes(t, c.Nodes[:2]) - before
	}
	if sent[0]*3 > sent[1] {
		t.Errorf("catch-up bytes = %d with the disk, %d without, want at most a third", sent[0], sent[1])
	}
	t.Logf("catch-up bytes: %d with the disk, %d without", sent[0], sent[1])
}

// catchUpBytes returns how many bytes runners have sent so that others catch up.
func catchUpBytes(t *testing.T, nodes []*Node) (sum int64) {
	t.Helper()
	for _, n := range nodes {
		var status app.Status
		if err := n.Control(control.Request{Command: "status"}, &status); err != nil {
			t.Fatal(err)
		}
		sum += status.Peers.CatchUpBytes
	}
	return sum
}

// Attempts of a key at two runners at the same time, and at a third one during the run, must result in
// one run. When a zone of two machines is then lost with its disks, the others must return the results
// and bill them.
func TestConcurrentAttemptsAndZoneLoss(t *testing.T) {
	t.Parallel()
	c := startAccepting(t, Options{
		Runners:  5,
		Zones:    3,
		Servers:  3,
		RunTime:  150 * time.Millisecond,
		Window:   15 * time.Second,
		Replicas: 2,
	}, replicationTimeout, 60*time.Second)
	results := sendConcurrently(c, 15)
	for k, r := range results {
		if len(r) != 1 || r[""] {
			t.Errorf("results of key %d = %v, want one", k, r)
		}
	}
	waitUntilReplicated(t, c)
	playLines(t, c, "0s kill n1 --wipe")
	playLines(t, c, "0s kill n4 --wipe") // both are in hall1
	for k, r := range results {
		response := sendUntil(t, c, c.Nodes[1+k%2], concurrentKey(k), historychecker.Served)
		if !r[response.Result] {
			t.Errorf("result of key %d after the loss = %q, want one of %v", k, response.Result, r)
		}
	}
	for _, n := range []*Node{c.Nodes[0], c.Nodes[3]} {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitUntilReplicated(t, c)
	checkHistory(t, c)
	checkBill(t, c)
}

func concurrentKey(k int) string { return fmt.Sprint("at-once-", k) }

// sendConcurrently sends each key to two runners at once and to a third one a little later. It
// returns for each key its results, and whether they were served.
func sendConcurrently(c *Cluster, keys int) []map[string]bool {
	var mu sync.Mutex
	var attempts sync.WaitGroup
	results := make([]map[string]bool, keys)
	for k := range results {
		results[k] = map[string]bool{}
		for i, delay := range []time.Duration{0, 0, 50 * time.Millisecond} {
			attempts.Go(func() {
				time.Sleep(delay)
				response := sendWhileRejected(c, c.Nodes[(k+i)%len(c.Nodes)], concurrentKey(k))
				mu.Lock()
				defer mu.Unlock()
				results[k][response.Result] = response.Outcome == historychecker.Served
			})
		}
	}
	attempts.Wait()
	return results
}

// sendWhileRejected repeats a key that is rejected because its slot moves, up to 200 times.
func sendWhileRejected(c *Cluster, n *Node, key string) historychecker.Response {
	response := c.SendKeyed(n, key)
	for range 200 {
		if response.Outcome != historychecker.Rejected {
			break
		}
		time.Sleep(pollInterval)
		response = c.SendKeyed(n, key)
	}
	return response
}
