package cluster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/testing/historychecker"
)

// A runner that is partitioned from the others rejects new keyed requests within a moment and
// serves reads. The others serve both, and return a result that it gave before. It serves again
// once it is heard. So does one that was suspended for longer than it counts as alive.
func TestPartitionedAndSuspendedRunner(t *testing.T) {
	t.Parallel()
	c := startPeers(t, 3, 1)
	one, two, three := c.Nodes[0], c.Nodes[1], c.Nodes[2]
	before := sendUntil(t, c, one, "before", historychecker.Served)
	playLines(t, c, "0s cut n1 n2\n0s cut n1 n3\n0s cut n2 n1\n0s cut n3 n1")
	sendUntil(t, c, one, "alone", historychecker.Rejected)
	time.Sleep(time.Second) // its lease expires
	checkPartitioned(t, c, one)
	if again := sendUntil(t, c, two, "before", historychecker.Served); again.Result != before.Result {
		t.Errorf("it is %q, and was %q", again.Result, before.Result)
	}
	sendUntil(t, c, three, "meanwhile", historychecker.Served)
	if err := c.Repair(); err != nil {
		t.Fatal(err)
	}
	waitUntilReplicated(t, c)
	sendUntil(t, c, one, "after", historychecker.Served)

	playLines(t, c, "0s stop n2 3s") // it counts as lost after 1.5 s
	waitUntilReplicated(t, c)
	sendUntil(t, c, two, "stopped", historychecker.Served)
	checkHistory(t, c)
	checkBill(t, c) // others ended their accounts meanwhile, and they went on
}

// checkPartitioned checks that a runner without its peers rejects keyed requests, explains why, and
// serves reads, all without delay.
func checkPartitioned(t *testing.T, c *Cluster, n *Node) {
	t.Helper()
	started := time.Now()
	for k := range 5 {
		if response := c.SendKeyed(n, fmt.Sprint("cut-", k)); response.Outcome != historychecker.Rejected {
			t.Errorf("a keyed request is answered %v", response)
		}
		status, _ := SendRequest(n.clientLink.Addr(), "/ops/quick-check", "", time.Minute)
		if status != 200 {
			t.Errorf("a read is answered %d", status)
		}
	}
	var answer app.ExplainAnswer
	request := control.Request{Command: "explain", Cause: "its copies were not to be had", Limit: 3}
	err := control.Ask(n.file("control"), request, time.Second, &answer)
	if err != nil || len(answer.Entries) == 0 {
		t.Errorf("no rejection is explained by its copies: %v", err)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("ten answers took %v", took)
	}
}

// Under load a runner is added by HUP, another one leaves and is stopped once it holds nothing, and
// then every runner is restarted in turn: no key runs twice, no result is lost, each is billed
// once, and the runner that left is forgotten.
func TestMembershipChangesUnderLoad(t *testing.T) {
	t.Parallel()
	c := startAccepting(t, Options{
		Runners:  5,
		Joining:  1,
		Zones:    2,
		Servers:  2,
		Window:   shortWindow,
		Replicas: 1,
	}, replicationTimeout, acceptTimeout)
	leaving, joining := c.Nodes[3], c.Nodes[4]
	replace := control.Request{Command: "peers-replace", ID: leaving.Name, Successor: joining.Name}
	if err := c.Nodes[0].Control(replace, nil); err == nil {
		t.Error("a member is replaced by one that does not exist")
	}
	load := peerLoad(4, 1)
	load.Start(c)
	if err := c.SetMember(joining, true); err != nil {
		t.Fatal(err)
	}
	if err := joining.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntilReplicated(t, c)
	if err := c.Nodes[0].Control(replace, nil); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n4 holds nothing", func() bool { return c.LeavingSlots(leaving.Name) == 0 })
	checkReplicas(t, c, "a key", leaving)
	if err := leaving.Drain(); err != nil {
		t.Fatal(err)
	}
	if err := c.SetMember(leaving, false); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "n4 is forgotten", func() bool { return c.LeavingSlots(leaving.Name) == notLeaving })
	restartAllBut(t, c, leaving)
	load.Stop()
	checkHistory(t, c)
	checkBill(t, c)
}

// checkReplicas sends a key to the last runner, and checks that two runners, and not the leaving
// one, have its result.
func checkReplicas(t *testing.T, c *Cluster, name string, leaving *Node) {
	t.Helper()
	response := sendUntil(t, c, c.Nodes[len(c.Nodes)-1], name, historychecker.Served)
	request := control.Request{Command: "peers-key", Class: keyedClass, Tenant: tenantName, Key: name}
	var key node.KeyStatus
	err := c.Nodes[0].Control(request, &key)
	if err != nil || len(key.Replicas) != 2 || slices.Contains(key.Replicas, leaving.Name) {
		t.Errorf("%v; the status of the key is %+v", err, key)
	}
	for _, n := range c.Nodes {
		if !slices.Contains(key.Replicas, n.Name) {
			continue
		}
		err := n.Control(request, &key)
		if err != nil || key.State != "ended" || key.ResultBytes != len(response.Result) {
			t.Errorf("%v; at its replica %s the status of the key is %+v", err, n.Name, key)
		}
	}
}

// restartAllBut restarts each runner but one, and waits for complete copies before each.
func restartAllBut(t *testing.T, c *Cluster, skipped *Node) {
	t.Helper()
	for _, n := range c.Nodes {
		if n == skipped {
			continue
		}
		waitUntilReplicated(t, c)
		if err := n.Drain(); err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
	}
	waitUntilReplicated(t, c)
}

// Voters that all restart at once go on from their disks: the runner that lived on hears them, and
// new keys are accepted.
func TestVotersRestart(t *testing.T) {
	t.Parallel()
	c := startPeers(t, 4, 1)
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
	waitUntilReplicated(t, c)
	sendUntil(t, c, c.Nodes[3], "after", historychecker.Served)
	checkHistory(t, c)
}
