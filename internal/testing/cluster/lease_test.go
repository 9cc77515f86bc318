package cluster

import (
	"errors"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/testing/historychecker"
)

// effectDelay bounds the time from a holder's check of its lease until the effect reaches a server,
// while no fault delays it.
const effectDelay = 300 * time.Millisecond

// leaseOptions are the options of a cluster of five runners, one of which checks the servers of each
// zone for all.
var leaseOptions = Options{
	Runners:  5,
	Zones:    2,
	Servers:  2,
	Window:   shortWindow,
	Replicas: 1,
	Leases:   true,
}

// Lease holders are killed, suspended, partitioned and drained in turn. Each time another runner must
// become the holder, no server may accept a health check of a former holder after one of the next, and
// no two holders may act at the same time. RYEPADDLE_HOLDERS is the number of losses, for a long run
// by hand.
func TestLeaseHolderLosses(t *testing.T) {
	t.Parallel()
	losses := len(HolderLosses)
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_HOLDERS")); err == nil {
		losses = n
	}
	c := startCluster(t, leaseOptions)
	waitUntilReplicated(t, c)
	zones := []string{"hall1", "hall2"}
	times := map[Action][]time.Duration{}
	for i := range losses {
		loss := HolderLosses[i%len(HolderLosses)]
		zone := zones[i/len(HolderLosses)%len(zones)]
		d, err := c.LoseHolder(lease.HealthCheckLease(zone), loss, 60*time.Second)
		if err := errors.Join(err, c.WaitUntilReplicated(replicationTimeout)); err != nil {
			t.Fatalf("loss %d: %v", i, err)
		}
		times[loss] = append(times[loss], d)
	}
	effects := c.LeaseEffects()
	verdict := append(c.Check(), historychecker.CheckLeases(effects, effectDelay)...)
	if len(verdict) > 0 {
		t.Error(verdict)
	}
	logLosses(t, times, effects)
}

// logLosses logs the times until the next holder acted, and how many effects servers rejected.
func logLosses(t *testing.T, times map[Action][]time.Duration, effects []historychecker.LeaseEffect) {
	t.Helper()
	for loss, d := range times {
		slices.Sort(d)
		t.Logf("%s: time until the next holder acted: least %v, median %v, of %d", loss, d[0], d[len(d)/2], len(d))
	}
	refused := 0
	for _, e := range effects {
		if !e.Accepted {
			refused++
		}
	}
	t.Logf("%d effects, %d rejected", len(effects), refused)
}

// Without faults only the holder of a zone's lease checks its servers. Without a holder each runner
// does.
func TestOneRunnerChecksHealth(t *testing.T) {
	t.Parallel()
	c := startCluster(t, leaseOptions)
	waitUntilReplicated(t, c)
	var counts healthCheckCounts
	for range 10 { // the runners may learn of the holder late on a busy machine
		counts = countHealthChecks(c)
		if counts.leased > 0 && counts.unleased <= counts.leased {
			break
		}
	}
	t.Logf("health checks: %+v", counts)
	if counts.leased == 0 || counts.unleased > counts.leased {
		t.Errorf("health checks of %d runners = %+v, want most of them leased", len(c.Nodes), counts)
	}
	for _, n := range c.Nodes[1:] { // without a quorum leases expire, and each runner checks for itself
		if err := n.Suspend(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(lease.TTL)
	for range 10 {
		counts = countHealthChecks(c)
		if counts.unleased > 0 && counts.leased == 0 {
			return
		}
	}
	t.Errorf("health checks without a quorum = %+v, want none of them leased", counts)
}

// healthCheckCounts are the numbers of health checks under a lease and without one.
type healthCheckCounts struct{ leased, unleased int }

// countHealthChecks counts the health checks that servers receive during eight intervals from now.
func countHealthChecks(c *Cluster) (counts healthCheckCounts) {
	started := time.Now()
	time.Sleep(8 * HealthCheckInterval)
	for _, s := range c.Servers {
		for _, check := range s.HealthChecks() {
			switch {
			case check.At.Before(started):
			case check.Lease == "":
				counts.unleased++
			default:
				counts.leased++
			}
		}
	}
	return counts
}
