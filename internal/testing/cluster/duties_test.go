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

// onWay is for how long an effect may be on its way, and a holder between its look and its act,
// where nothing holds it.
const onWay = 300 * time.Millisecond

// Holders are killed, stopped, cut off and drained one after the other: the next one goes on, no
// server takes an effect of a former one after one of the next, no two act side by side, and
// servers are asked by one runner. RYEPADDLE_HOLDERS says how often, for a long run by hand.
func TestHolders(t *testing.T) {
	t.Parallel()
	rounds := len(HolderLosses)
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_HOLDERS")); err == nil {
		rounds = n
	}
	c := start(t, Options{Runners: 5, Zones: 2, Servers: 2, Window: shortWindow, Replicas: 1, Leases: true})
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	took := map[string][]time.Duration{}
	for i := range rounds {
		way := HolderLosses[i%len(HolderLosses)]
		d, err := c.LoseHolder(
			lease.HealthCheckLease([]string{"hall1", "hall2"}[i/len(HolderLosses)%2]),
			way,
			60*time.Second,
		)
		if err := errors.Join(err, c.WaitUntilReplicated(60*time.Second)); err != nil {
			t.Fatalf("round %d: %v", i, err)
		}
		took[way] = append(took[way], d)
	}
	effects := c.LeaseEffects()
	if v := append(c.Check(), historychecker.CheckLeases(effects, onWay)...); len(v) > 0 {
		t.Error(v)
	}
	refused := 0
	for _, e := range effects {
		if !e.Accepted {
			refused++
		}
	}
	for way, d := range took {
		slices.Sort(d)
		t.Logf("%s: held again after %v, %v in the middle, of %d", way, d[0], d[len(d)/2], len(d))
	}
	t.Logf("%d effects, %d refused", len(effects), refused)
}

// While nothing fails a server is asked by the holder alone; each runner asks for itself where
// nobody holds the duty.
func TestChecksAreMadeByOne(t *testing.T) {
	t.Parallel()
	c := start(t, Options{Runners: 5, Zones: 2, Servers: 2, Window: shortWindow, Replicas: 1, Leases: true})
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	count := func(d time.Duration) (own, duty int) {
		from := time.Now()
		time.Sleep(d)
		for _, s := range c.Servers {
			for _, k := range s.HealthChecks() {
				switch {
				case k.At.Before(from):
				case k.Lease == "":
					own++
				default:
					duty++
				}
			}
		}
		return own, duty
	}
	own, under := 0, 0
	for range 10 { // tales may be late on a machine that is busy
		if own, under = count(8 * HealthCheckInterval); under > 0 && own <= under {
			break
		}
	}
	t.Logf("%d checks under duties, %d of runners for themselves", under, own)
	if under == 0 || own > under {
		t.Errorf(
			"%d runners asked for themselves %d times, and %d were asked for all",
			len(c.Nodes),
			own,
			under,
		)
	}
	for _, n := range c.Nodes[1:] { // no consensus group: leases end, and each asks for itself
		if err := n.Suspend(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(lease.TTL)
	for range 10 {
		if own, under = count(8 * HealthCheckInterval); own > 0 && under == 0 {
			return
		}
	}
	t.Errorf("without a consensus group: %d for itself, %d under duties", own, under)
}
