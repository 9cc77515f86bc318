package usagereplica

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// seedCount returns how many seeds are played; RYEPADDLE_SEEDS says so for a long run by hand.
func seedCount(defaultCount uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_SEEDS"), 10, 64); err == nil {
		return n
	}
	return defaultCount
}

// isShortRun reports whether the tests are not a long run by hand.
func isShortRun() bool { return seedCount(0) == 0 }

// play plays losses of one machine at a time by a seed, the next once all runners have what they
// need, and checks the bill.
func play(t *testing.T, seed uint64, broken breakage) (result string, ok bool) {
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
		if c.random.IntN(2) == 0 { // else it is back at once
			c.steps(c.random.IntN(800))
			c.settle()
		}
		c.start(r)
	}
	c.settle()
	c.steps(600)
	return c.checkBill()
}

// What is replicated is billed, and nothing twice, whichever machine is lost with whatever disk.
func TestReplicatedUsesAreBilledOnceUnderLosses(t *testing.T) {
	for part := range uint64(4) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < seedCount(4); seed += 4 {
				result, ok := play(t, seed, breakage{})
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

// shortRunVersions are how many broken versions a short run plays: those that are found soon.
const shortRunVersions = 3

// Each broken version is found within its seeds.
func TestBrokenVersionsAreFound(t *testing.T) {
	for i, version := range []struct {
		name   string
		broken breakage
	}{
		{"what a lost runner told is not passed on", breakage{keepStatements: true}},
		{"any last statement is billed", breakage{firstFinalCounts: true}},
		{"a statement is told before heirs know of it", breakage{exportAtOnce: true}},
		{"a word about an earlier giving counts", breakage{anySnapshot: true}},
		{"an heir of an earlier life counts", breakage{anyIncarnation: true, anySnapshot: true}},
		{"a former heir lets go before others know the account", breakage{dropAtOnce: true}},
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
			t.Error("not found")
		})
	}
}
