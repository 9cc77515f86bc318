package lease_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// simulate runs a cluster with random faults drawn from a seed. At the end, all leases must be held
// again.
func simulate(seed uint64, broken breakage, log func(string, ...any)) *cluster {
	runners, leases := 3+int(seed%7), 1+int(seed%5)
	c := newCluster(seed, runners, leases, broken, log)
	c.Run(3 * second)
	for range 4 + c.Rand.Int64N(10) {
		c.After(c.Between(0, 12*second), c.Fault)
	}
	for range 240 {
		if c.Run(100 * ms); len(c.checker.violations) > 0 { // later violations follow from the first ones
			return c
		}
	}
	held := c.heldLeases()
	for range 60 { // a lease may be in transition to the next holder
		if len(held) == leases {
			break
		}
		c.Run(50 * ms)
		held = c.heldLeases()
	}
	if len(held) != leases && len(c.checker.violations) == 0 {
		c.checker.violation("want all %d leases held at the end, got %v%s", leases, held, c.state())
	}
	return c
}

// seedRange returns the range of seeds to simulate. RYEPADDLE_SEEDS sets their number and
// RYEPADDLE_FIRST the first one.
func seedRange(defaultCount int) (from, to uint64) {
	count, first := defaultCount, 1
	if s := os.Getenv("RYEPADDLE_SEEDS"); s != "" {
		count, _ = strconv.Atoi(s)
		first, _ = strconv.Atoi(os.Getenv("RYEPADDLE_FIRST"))
	} else if testing.Short() {
		count = defaultCount / 4
	}
	return uint64(first), uint64(first + count)
}

// replayHint is the command that simulates a single seed again.
const replayHint = "RYEPADDLE_FIRST=%d RYEPADDLE_SEEDS=1 " +
	"go test -run TestOneHolderAtATimeUnderFaults ./internal/peers/lease"

// maxLogLines bounds the printed lines of a simulation's log.
const maxLogLines = 200

// At any time at most one process relies on a lease, each token is granted once, operations are
// accepted in the order of their tokens, and a committed handover reaches the next holder. After the
// faults each lease is held again.
func TestOneHolderAtATimeUnderFaults(t *testing.T) {
	from, to := seedRange(6)
	rejected, grants := 0, 0
	for seed := from; seed < to; seed++ {
		var logLines []string
		log := func(format string, args ...any) { logLines = append(logLines, fmt.Sprintf(format, args...)) }
		c := simulate(seed, breakage{}, log)
		if violations := c.checker.violations; len(violations) > 0 {
			t.Fatalf(
				"%s\nseed %d: %s\n"+replayHint,
				strings.Join(logLines[max(len(logLines)-maxLogLines, 0):], "\n"),
				seed, strings.Join(violations, "\n"), seed,
			)
		}
		rejected, grants = rejected+c.checker.rejected, grants+len(c.checker.grants)
	}
	t.Logf("%d seeds: %d grants, %d operations rejected by the resource", to-from, grants, rejected)
}

// brokenVersions are versions of the program with a defect that the checker must find.
var brokenVersions = []struct {
	name     string
	broken   breakage
	maxSeeds int
}{
	{"the handover is not passed on to the next holder", breakage{lostHandover: true}, 40},
	{"a grant has the token of the previous one", breakage{sameToken: true}, 40},
	{"a delayed handover replaces a newer one", breakage{lateHandover: true}, 400},
	{"the resource accepts every operation", breakage{noFence: true}, 400},
	{"leases use a clock that stands still while the machine is suspended", breakage{suspendedClock: true}, 400},
	{"a renewed lease runs from the response", breakage{renewAtResponse: true}, 400},
	{"a confirmation counts although the leader's table is newer", breakage{oldTable: true}, 400},
	{"the leader confirms without asking the voters", breakage{noQuorum: true}, 400},
	{"leases of a member in another incarnation are granted at once", breakage{noWait: true}, 400},
}

// The checker finds each broken version within its number of seeds. Unless RYEPADDLE_BROKEN is set,
// only the two versions that are found soonest are simulated.
func TestBrokenVersionsAreFound(t *testing.T) {
	versions := brokenVersions
	if os.Getenv("RYEPADDLE_BROKEN") == "" {
		versions = versions[:2]
	}
	for _, version := range versions {
		found := false
		for seed := uint64(1); !found && seed <= uint64(version.maxSeeds); seed++ {
			c := simulate(seed, version.broken, nil)
			if found = len(c.checker.violations) > 0; found {
				first, _, _ := strings.Cut(c.checker.violations[0], "\n")
				t.Logf("%s: seed %d: %s", version.name, seed, first)
			}
		}
		if !found {
			t.Errorf("%s: no violation found in %d seeds", version.name, version.maxSeeds)
		}
	}
}
