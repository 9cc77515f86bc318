package lease_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// play plays a day with faults by a seed, after which all leases have to be held again.
func play(seed uint64, broken breakage, log func(string, ...any)) *cluster {
	runners, leases := 3+int(seed%7), 1+int(seed%5)
	c := newCluster(seed, runners, leases, broken, log)
	c.Run(3 * second)
	for range 4 + c.Rand.Int64N(10) {
		c.After(c.Between(0, 12*second), c.Fault)
	}
	for range 240 {
		if c.Run(100 * ms); len(c.checker.violations) > 0 { // the rest of the day shows nothing more
			return c
		}
	}
	held := c.heldLeases()
	for range 60 { // one may just be handed over
		if len(held) == leases {
			break
		}
		c.Run(50 * ms)
		held = c.heldLeases()
	}
	if len(held) != leases && len(c.checker.violations) == 0 {
		c.checker.violation("of %d leases %v are held at the end%s", leases, held, c.state())
	}
	return c
}

// seedRange returns the seeds to play: RYEPADDLE_SEEDS says how many and RYEPADDLE_FIRST from which
// on.
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

// replayHint is the command that plays one seed again.
const replayHint = "RYEPADDLE_FIRST=%d RYEPADDLE_SEEDS=1 " +
	"go test -run TestOneHolderAtATimeUnderFaults ./internal/peers/lease"

// maxLogLines bounds the lines of a day's log that are printed.
const maxLogLines = 200

// At any instant at most one process relies on a lease, tokens are granted once, acts are accepted
// in the order of tokens, what was committed is handed over, and after faults each lease is held
// again.
func TestOneHolderAtATimeUnderFaults(t *testing.T) {
	from, to := seedRange(6)
	rejected, grants := 0, 0
	for seed := from; seed < to; seed++ {
		var day []string
		log := func(format string, args ...any) { day = append(day, fmt.Sprintf(format, args...)) }
		c := play(seed, breakage{}, log)
		if violations := c.checker.violations; len(violations) > 0 {
			t.Fatalf(
				"%s\nseed %d: %s\n"+replayHint,
				strings.Join(day[max(len(day)-maxLogLines, 0):], "\n"),
				seed, strings.Join(violations, "\n"), seed,
			)
		}
		rejected, grants = rejected+c.checker.rejected, grants+len(c.checker.grants)
	}
	t.Logf("%d seeds: %d grants, %d acts rejected at the resource", to-from, grants, rejected)
}

// brokenVersions are versions of the program that break the guarantee.
var brokenVersions = []struct {
	name     string
	broken   breakage
	maxSeeds int
}{
	{"the checkpoint is not handed on", breakage{lostHandover: true}, 40},
	{"a grant has the token of the one before", breakage{sameToken: true}, 40},
	{"a note that comes late takes the place of a newer one", breakage{lateHandover: true}, 400},
	{"the far end takes what comes", breakage{noFence: true}, 400},
	{"a lease goes by a clock that stands still in a suspended machine", breakage{suspendedClock: true}, 400},
	{"a renewal counts from its answer", breakage{renewAtResponse: true}, 400},
	{"a word of a leader that knows a newer table counts", breakage{oldTable: true}, 400},
	{"the leader does not ask whether it still is", breakage{noQuorum: true}, 400},
	{"duties of a name that is back in another life are granted at once", breakage{noWait: true}, 400},
}

// Each broken version is found within its number of seeds. Without RYEPADDLE_BROKEN only those that
// are found soonest are played.
func TestBrokenVersionsAreFound(t *testing.T) {
	versions := brokenVersions
	if os.Getenv("RYEPADDLE_BROKEN") == "" {
		versions = versions[:2]
	}
	for _, version := range versions {
		found := false
		for seed := uint64(1); !found && seed <= uint64(version.maxSeeds); seed++ {
			c := play(seed, version.broken, nil)
			if found = len(c.checker.violations) > 0; found {
				first, _, _ := strings.Cut(c.checker.violations[0], "\n")
				t.Logf("%s: seed %d: %s", version.name, seed, first)
			}
		}
		if !found {
			t.Errorf("%s: not found in %d seeds", version.name, version.maxSeeds)
		}
	}
}
