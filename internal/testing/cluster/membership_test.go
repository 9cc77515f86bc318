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

// A runner that is partitioned from the others rejects new keyed requests without delay and serves
// reads. The others serve both, and return a result that the runner returned before. It serves keyed
// requests again once the partition ends. So does a runner that was suspended until it counted as lost.
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
		t.Errorf("result of the repeated request = %q, want %q", again.Result, before.Result)
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
	checkBill(t, c) // other runners ended the accounts of n1 and n2 meanwhile, and both continued
}

// checkPartitioned checks that a runner without its peers rejects keyed requests, explains why, and
// serves reads, all without delay.
func checkPartitioned(t *testing.T, c *Cluster, n *Node) {
	t.Helper()
	started := time.Now()
	for k := range 5 {
		if response := c.SendKeyed(n, fmt.Sprint("cut-", k)); response.Outcome != historychecker.Rejected {
			t.Errorf("response to a keyed request = %v, want a rejection", response)
		}
		status, _ := SendRequest(n.clientLink.Addr(), "/ops/quick-check", "", time.Minute)
		if status != 200 {
			t.Errorf("status of a read = %d, want 200", status)
		}
	}
	var answer app.ExplainAnswer
	request := control.Request{Command: "explain", Cause: "its copies were not to be had", Limit: 3}
	err := control.Ask(n.file("control"), request, time.Second, &answer)
	if err != nil || len(answer.Entries) == 0 {
		t.Errorf("explain has no rejection caused by missing copies, error %v", err)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("ten answers took %v, want at most 5s", took)
	}
}

// Under load a runner is added by SIGHUP, another one leaves and is drained once it holds no slots, and
// then every runner is restarted in turn. No key may run twice, no result may be lost, each key must
// be billed once, and the others must forget the runner that left.
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
		t.Error("peers-replace by a runner that is not a member = nil error, want one")
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
	waitFor(t, "n4 holds no slots", func() bool { return c.LeavingSlots(leaving.Name) == 0 })
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

// checkReplicas sends a key to the last runner, and checks that two runners have its result, and that
// the leaving one does not.
func checkReplicas(t *testing.T, c *Cluster, name string, leaving *Node) {
	t.Helper()
	response := sendUntil(t, c, c.Nodes[len(c.Nodes)-1], name, historychecker.Served)
	request := control.Request{Command: "peers-key", Class: keyedClass, Tenant: tenantName, Key: name}
	var key node.KeyStatus
	err := c.Nodes[0].Control(request, &key)
	if err != nil || len(key.Replicas) != 2 || slices.Contains(key.Replicas, leaving.Name) {
		t.Errorf("error %v, key status %+v, want 2 replicas without the leaving runner", err, key)
	}
	for _, n := range c.Nodes {
		if !slices.Contains(key.Replicas, n.Name) {
			continue
		}
		err := n.Control(request, &key)
		if err != nil || key.State != "ended" || key.ResultBytes != len(response.Result) {
			t.Errorf("error %v, key status at replica %s = %+v, want it ended with its result", err, n.Name, key)
		}
	}
}

// restartAllBut restarts each runner but one. Before each restart it waits until all copies are
// complete.
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

// Voters that all restart at once continue from their disks: the runner that kept running connects to
// them again, and new keys are accepted.
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
