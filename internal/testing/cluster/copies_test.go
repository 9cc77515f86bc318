package cluster

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/testing/historychecker"
)

// shortWindow is that of hand-ins among peers: sets that begin with nothing are quiet for as long.
const shortWindow = 3 * time.Second

// peers is a number of runners with copies, once they take keys.
func peers(t *testing.T, runners, copies int) *Cluster {
	t.Helper()
	c := start(t, Options{Runners: runners, Zones: 2, Servers: 2, Window: shortWindow, Replicas: copies})
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitUntilAccepting(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	return c
}

// Repeats go to whichever runner, over cuts of links among peers, stops, drains and lost machines
// by seed: no key runs twice, and nothing that was served is lost.
func TestPeersBySeed(t *testing.T) {
	t.Parallel()
	first, count := seeds(1)
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := peers(t, 5, 2)
			l := &Load{Callers: 6, SwitchRunners: true, Repeats: 2, RepeatFor: shortWindow / 2}
			soak(t, c, l, seed, RandomFaults(seed, 14, 4*time.Second, len(c.Nodes), len(c.Servers), true, true))
		})
	}
}

// Repeats go to whichever runner, machines are lost with their disks one after the other, and
// nothing that was promised is lost: no key runs twice, and what was served is served again by all.
// RYEPADDLE_LOST says how often each machine is lost, for a long run by hand.
func TestLostMachines(t *testing.T) {
	t.Parallel()
	rounds := 1
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_LOST")); err == nil {
		rounds = n
	}
	for part := range max(1, min(rounds, 5)) { // side by side, as most of the time nothing happens
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			loseMachines(t, max(rounds/5, 1))
		})
	}
}

func loseMachines(t *testing.T, rounds int) {
	t.Helper()
	c := peers(t, 4, 1)
	l := &Load{Callers: 6, SwitchRunners: true, Repeats: 2, RepeatFor: shortWindow / 2}
	l.Start(c)
	for i := range rounds * len(c.Nodes) {
		n := c.Nodes[i%len(c.Nodes)]
		time.Sleep(300 * time.Millisecond)
		if err := c.Play(script(t, "0s kill "+n.Name+" --wipe --back 100ms"), nil); err != nil {
			t.Fatal(err)
		}
		if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond)
	l.Stop()
	t.Log(c)
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
	c.billed(t)
	if n := c.History.Count(); n[historychecker.Served] < 100 {
		t.Errorf("that tells nothing: %v", c)
	}
}

// billed ends all runners and looks whether each key that was served is billed once.
func (c *Cluster) billed(t *testing.T) {
	t.Helper()
	v, b, err := c.ReconcileUsage()
	if err != nil {
		t.Fatal(err)
	}
	if len(v) > 0 {
		t.Error(v)
	}
	t.Logf(
		"the bill: %d statements, %d there more than once, %d hand-ins in two accounts",
		b.Statements,
		b.DuplicateStatements,
		b.DeduplicatedRuns,
	)
}

// until asks a runner for a key until it is told so, and gives what it was told; every other end
// but a refusal is one.
func (c *Cluster) until(t *testing.T, n *Node, key string, want historychecker.Outcome) historychecker.Response {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		told := c.SendKeyed(n, key)
		if told.Outcome == want {
			return told
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s at %s is %v", key, n.Name, told)
		}
	}
}

// A runner that is cut off from the others refuses new hand-ins within a moment and goes on with
// checks; the others go on with all; a result that it gave before is given by the others, and once
// it is heard again it serves. One that was stopped for longer than the others wait for it does the
// same.
func TestCutOffAndStopped(t *testing.T) {
	t.Parallel()
	c := peers(t, 3, 1)
	one, two, three := c.Nodes[0], c.Nodes[1], c.Nodes[2]
	before := c.until(t, one, "before", historychecker.Served)
	for _, line := range []string{"0s cut n1 n2", "0s cut n1 n3", "0s cut n2 n1", "0s cut n3 n1"} {
		if err := c.Play(script(t, line), nil); err != nil {
			t.Fatal(err)
		}
	}
	c.until(t, one, "alone", historychecker.Rejected)
	time.Sleep(time.Second) // its lease is over
	began := time.Now()
	for k := range 5 {
		if told := c.SendKeyed(one, fmt.Sprint("cut-", k)); told.Outcome != historychecker.Rejected {
			t.Errorf("cut off it says %v", told)
		}
		if status, _ := SendRequest(one.clientLink.Addr(), "/ops/quick-check", "", time.Minute); status != 200 {
			t.Errorf("cut off a check gets %d", status)
		}
	}
	var said app.ExplainAnswer
	if err := control.Ask(
		one.file("control"),
		control.Request{Command: "explain", Cause: "its copies were not to be had", Limit: 3},
		time.Second,
		&said,
	); err != nil ||
		len(said.Entries) == 0 {
		t.Errorf("it explains none by its copies: %v", err)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("ten answers took %v", took)
	}
	if again := c.until(t, two, "before", historychecker.Served); again.Result != before.Result {
		t.Errorf("it is %q, and was %q", again.Result, before.Result)
	}
	c.until(t, three, "meanwhile", historychecker.Served)
	if err := c.Repair(); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	c.until(t, one, "after", historychecker.Served)
	if err := c.Play(script(t, "0s stop n2 3s"), nil); err != nil { // held for lost after 1.5 s
		t.Fatal(err)
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	c.until(t, two, "stopped", historychecker.Served)
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
	c.billed(t) // others ended their accounts meanwhile, and they went on
}

// wait waits until something is so.
func wait(t *testing.T, what string, so func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !so(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("it does not come to that: %s", what)
		}
	}
}

// Under load a runner is added by HUP, one is asked to leave and stopped once it holds nothing, and
// then every runner is replaced in turn by a drain and a start: no key runs twice, nothing that was
// served is lost, each is billed once, and what left is forgotten.
func TestMembersComeAndGo(t *testing.T) {
	t.Parallel()
	c := start(t, Options{Runners: 5, Joining: 1, Zones: 2, Servers: 2, Window: shortWindow, Replicas: 1})
	for _, err := range []error{c.WaitUntilReplicated(60 * time.Second), c.WaitUntilAccepting(30 * time.Second)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	one, old, fresh := c.Nodes[0], c.Nodes[3], c.Nodes[4]
	if err := one.Control(control.Request{Command: "peers-replace", ID: "n4", Successor: "n5"}, nil); err == nil {
		t.Error("it is replaced by one that is not there")
	}
	l := &Load{Callers: 4, SwitchRunners: true, Repeats: 1, RepeatFor: shortWindow / 2}
	l.Start(c)
	if err := c.SetMember(fresh, true); err != nil {
		t.Fatal(err)
	}
	if err := fresh.Start(); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := one.Control(control.Request{Command: "peers-replace", ID: "n4", Successor: "n5"}, nil); err != nil {
		t.Fatal(err)
	}
	wait(t, "n4 holds nothing", func() bool { return c.LeavingSlots("n4") == 0 })
	var key node.KeyStatus
	told := c.until(t, fresh, "a key", historychecker.Served)
	if err := one.Control(
		control.Request{Command: "peers-key", Class: "hand-in", Tenant: "north", Key: "a key"},
		&key,
	); err != nil ||
		len(key.Replicas) != 2 ||
		slices.Contains(key.Replicas, "n4") {
		t.Errorf("%v; of a key it says %+v", err, key)
	}
	for _, n := range c.Nodes {
		if slices.Contains(key.Replicas, n.Name) {
			if err := n.Control(
				control.Request{Command: "peers-key", Class: "hand-in", Tenant: "north", Key: "a key"},
				&key,
			); err != nil ||
				key.State != "ended" ||
				key.ResultBytes != len(told.Result) {
				t.Errorf("%v; its holder %s says %+v", err, n.Name, key)
			}
		}
	}
	if err := old.Drain(); err != nil {
		t.Fatal(err)
	}
	if err := c.SetMember(old, false); err != nil {
		t.Fatal(err)
	}
	wait(t, "n4 is forgotten", func() bool { return c.LeavingSlots("n4") == -1 })
	for _, n := range c.Nodes {
		if n == old {
			continue
		}
		if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
			t.Fatal(err)
		}
		if err := n.Drain(); err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	l.Stop()
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
	c.billed(t)
}

// Of nine runners in a grid none has links with all; faults by seed, relays among those that they
// meet, break no promise.
func TestGridBySeed(t *testing.T) {
	t.Parallel()
	first, count := seeds(1)
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := start(t, Options{Runners: 9, Zones: 3, Servers: 2, Window: shortWindow, Replicas: 2, MaxFullMesh: 4})
			for _, err := range []error{c.WaitUntilReplicated(30 * time.Second), c.WaitUntilAccepting(30 * time.Second)} {
				if err != nil {
					t.Fatal(err)
				}
			}
			links := func(most int) (passed int64, few bool) {
				few = true
				for _, n := range c.Nodes {
					var s app.Status
					if n.Control(control.Request{Command: "status"}, &s) != nil || s.Peers.Links > most {
						few = false
						continue
					}
					passed += s.Peers.Relayed
				}
				return passed, few
			}
			// of the start, when no relay was there
			wait(t, "nobody has links beside the grid", func() bool { _, few := links(4); return few })
			l := &Load{Callers: 6, SwitchRunners: true, Repeats: 2, RepeatFor: shortWindow / 2}
			soak(t, c, l, seed, RandomFaults(seed, 14, 4*time.Second, len(c.Nodes), len(c.Servers), true, true))
			passed, _ := links(8)
			if passed == 0 {
				t.Error("nobody passes anything on")
			}
		})
	}
}

// A runner that comes back with its disk is sent what it lacks alone, and one with an empty disk
// all.
func TestBroughtUp(t *testing.T) {
	t.Parallel()
	c := peers(t, 3, 2) // each holds all
	last := c.Nodes[2]
	copied := func() (sum int64) {
		for _, n := range c.Nodes[:2] {
			var s app.Status
			if err := n.Control(control.Request{Command: "status"}, &s); err != nil {
				t.Fatal(err)
			}
			sum += s.Peers.CatchUpBytes
		}
		return sum
	}
	var sent [2]int64
	for i, fault := range []string{"0s drain n3 --back 0s", "0s kill n3 --wipe --back 0s"} {
		for k := range 60 {
			c.until(t, c.Nodes[k%3], fmt.Sprint("before-", i, "-", k), historychecker.Served)
		}
		was := copied()
		if err := c.Play(script(t, fault), nil); err != nil {
			t.Fatal(err)
		}
		wait(t, "n3 is back", func() bool {
			var s app.Status
			return last.Control(control.Request{Command: "status"}, &s) == nil && s.Peers.IsMember
		})
		if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
			t.Fatal(err)
		}
		sent[i] = copied() - was
	}
	if sent[0]*3 > sent[1] {
		t.Errorf("with its disk it was sent %d bytes, without %d", sent[0], sent[1])
	}
	t.Logf("with its disk it was sent %d bytes, without %d", sent[0], sent[1])
}

// Voters that all start anew go on from their disks: the runner that lived on hears them again, and
// new keys are taken.
func TestVotersRestart(t *testing.T) {
	t.Parallel()
	c := peers(t, 4, 1)
	for _, n := range c.Nodes[:3] {
		if err := n.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, n := range c.Nodes[:3] {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	c.until(t, c.Nodes[3], "after", historychecker.Served)
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
}

// Two tries of a key at two runners at the same instant, and one at a third while the first runs,
// are one run; and when a whole hall is lost with its disks, two machines at once, the others give
// what was served, and bill it.
func TestAtOnceAndAHallLost(t *testing.T) {
	t.Parallel()
	c := start(
		t,
		Options{
			Runners:  5,
			Zones:    3,
			Servers:  3,
			RunTime:  150 * time.Millisecond,
			Window:   15 * time.Second,
			Replicas: 2,
		},
	)
	for _, err := range []error{c.WaitUntilReplicated(60 * time.Second), c.WaitUntilAccepting(60 * time.Second)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	var all sync.WaitGroup
	results := make([]map[string]bool, 15)
	var mu sync.Mutex
	for k := range results {
		results[k] = map[string]bool{}
		for at, later := range []time.Duration{0, 0, 50 * time.Millisecond} {
			all.Go(func() {
				time.Sleep(later)
				told := c.SendKeyed(c.Nodes[(k+at)%5], fmt.Sprint("at-once-", k))
				// its slot is just changing hands
				for try := 0; told.Outcome == historychecker.Rejected && try < 200; try++ {
					time.Sleep(20 * time.Millisecond)
					told = c.SendKeyed(c.Nodes[(k+at)%5], fmt.Sprint("at-once-", k))
				}
				mu.Lock()
				defer mu.Unlock()
				results[k][told.Result] = told.Outcome == historychecker.Served
			})
		}
	}
	all.Wait()
	for k, r := range results {
		if len(r) != 1 || r[""] {
			t.Errorf("of key %d callers are told %v", k, r)
		}
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"0s kill n1 --wipe", "0s kill n4 --wipe"} { // both of hall1
		if err := c.Play(script(t, line), nil); err != nil {
			t.Fatal(err)
		}
	}
	for k, r := range results {
		if told := c.until(
			t,
			c.Nodes[1+k%2],
			fmt.Sprint("at-once-", k),
			historychecker.Served,
		); !r[told.Result] {
			t.Errorf("after the loss key %d is %q, and was %v", k, told.Result, r)
		}
	}
	for _, n := range []*Node{c.Nodes[0], c.Nodes[3]} {
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.WaitUntilReplicated(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
	c.billed(t)
}
