package cluster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/testing/historychecker"
)

// While no disk is lost and a key is repeated only at its runner, the key must run once and keep its
// result through random faults. RYEPADDLE_SEEDS is the number of seeds; RYEPADDLE_SEED plays one of them again.
func TestStoreWithRandomFaults(t *testing.T) {
	t.Parallel()
	first, count := seeds(2)
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := startWithStore(t, 3)
			faults := RandomFaults(seed, 16, 2*time.Second, len(c.Nodes), len(c.Servers), false, false)
			playUnderLoad(t, c, &Load{Callers: 8, Repeats: 1}, seed, faults)
		})
	}
}

// The checker must find the second run of a key after the disk of its runner was emptied, or replaced
// by a backup that is older than the key.
func TestCheckerFindsDiskLoss(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"0s kill n1 --wipe", "0s start n1 --old"} {
		t.Run(strings.Fields(line)[1], func(t *testing.T) {
			t.Parallel()
			checkDiskLossIsFound(t, line)
		})
	}
}

func checkDiskLossIsFound(t *testing.T, line string) {
	t.Helper()
	c := startWithStore(t, 1)
	playLines(t, c, "0s aside n1")
	sendUntilServed(t, c)
	if v := c.Check(); len(v) > 0 {
		t.Fatal(v)
	}
	playLines(t, c, "0s kill n1\n"+line)
	if err := c.Repair(); err != nil {
		t.Fatal(err)
	}
	sendUntilServed(t, c)
	verdict := c.Check().String()
	if !strings.Contains(verdict, "a ran 2 times") || !strings.Contains(verdict, "a has no order") {
		t.Errorf("verdict = %v, want that key a ran 2 times and has no order", verdict)
	}
}

// sendUntilServed sends the key a until it is served. The test fails if the key fails.
func sendUntilServed(t *testing.T, c *Cluster) {
	t.Helper()
	for {
		response := c.SendKeyed(c.Nodes[0], "a")
		switch response.Outcome {
		case historychecker.Served:
			return
		case historychecker.Failed:
			t.Fatalf("response to key a = %v, want any outcome but failed", response)
		}
	}
}
