package usagereplica

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// seedCount returns the number of seeds. RYEPADDLE_SEEDS sets it for a long run by hand.
func seedCount(defaultCount uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_SEEDS"), 10, 64); err == nil {
		return n
	}
	return defaultCount
}

// isShortRun reports whether RYEPADDLE_SEEDS is not set.
func isShortRun() bool { return seedCount(0) == 0 }

// play simulates losses of one machine at a time with a seed, and checks the bill. A machine is lost
// only after all runners have replicated their ledgers and statements.
func play(t *testing.T, seed uint64, broken defects) (result string, ok bool) {
	t.Helper()
	rounds := 12
	if isShortRun() {
		rounds = 6
	}
	c := newCluster(t, seed, broken)
	for n := range rounds {
		c.steps(20 + c.random.IntN(150))
		r := c.runners[c.random.IntN(len(c.runners))]
		wipe, stale := c.random.IntN(2) == 0, c.random.IntN(3) == 0
		if n%3 == 2 {
			c.interrupt(r)
			continue
		}
		c.settle()
		c.lose(r, wipe, stale)
		if c.random.IntN(2) == 0 { // otherwise the runner starts again at once
			c.steps(c.random.IntN(800))
			c.settle()
		}
		c.start(r)
	}
	c.settle()
	c.steps(600)
	return c.checkBill()
}

// All replicated uses are billed and none is billed twice, whichever machine is lost and whether its disk
// is intact, stale or empty.
func TestReplicatedUsesAreBilledOnceUnderLosses(t *testing.T) {
	for part := range uint64(4) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < seedCount(4); seed += 4 {
				result, ok := play(t, seed, defects{})
				if !ok {
					t.Fatalf("seed %d: %s", seed, result)
				}
				if seed < 4 {
					t.Logf("seed %d: %s", seed, result)
				}
			}
		})
	}
}

// shortRunVersions is the number of broken versions that a short run checks: the first ones, whose
// violations are found with few seeds.
const shortRunVersions = 3

// The check of the bill finds a violation in each broken version within the number of seeds.
func TestBrokenVersionsAreFound(t *testing.T) {
	for i, version := range []struct {
		name   string
		broken defects
	}{
		{"statements of a lost runner are not passed on", defects{keepStatements: true}},
		{"the first final statement is billed", defects{firstFinalCounts: true}},
		{"a statement is exported before its seal is replicated", defects{exportAtOnce: true}},
		{"progress with an earlier snapshot is accepted", defects{anySnapshot: true}},
		{"progress of an earlier incarnation is accepted", defects{anyIncarnation: true, anySnapshot: true}},
		{"a former replica drops the ledger too early", defects{dropAtOnce: true}},
	} {
		if i >= shortRunVersions && isShortRun() {
			break
		}
		t.Run(version.name, func(t *testing.T) {
			t.Parallel()
			for seed := range max(seedCount(0), 20) {
				if result, ok := play(t, seed, version.broken); !ok {
					t.Logf("seed %d: %s", seed, result)
					return
				}
			}
			t.Error("no violation found with any of the seeds")
		})
	}
}
