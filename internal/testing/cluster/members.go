package cluster

import (
	"errors"
	"fmt"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
)

// acceptDelay is the time between two keyed requests of WaitUntilAccepting.
const acceptDelay = 50 * time.Millisecond

// notLeaving is the answer of LeavingSlots about a runner that does not leave.
const notLeaving = -1

func (c *Cluster) isMember(n *Node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[n.Name]
}

func (c *Cluster) memberCount() int {
	count := 0
	for _, n := range c.Nodes {
		if c.isMember(n) {
			count++
		}
	}
	return count
}

// SetMember adds a runner to the files of all others, or removes it, and has the running ones read
// their files.
func (c *Cluster) SetMember(n *Node, isMember bool) error {
	c.mu.Lock()
	c.members[n.Name] = isMember
	c.mu.Unlock()
	var errs []error
	for _, other := range c.Nodes {
		if other != n && other.IsRunning() {
			errs = append(errs, other.Reload())
		}
	}
	return errors.Join(errs...)
}

// WaitUntilReplicated waits until every member knows of all members, and all copies are complete.
func (c *Cluster) WaitUntilReplicated(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		complete := 0
		for _, s := range c.States() {
			if s.FullyReplicated {
				complete++
			}
		}
		members := c.memberCount()
		if complete == members {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d runners know of all copies", complete, members)
		}
	}
}

// WaitUntilAccepting waits until the first runner accepts keyed requests. Replica sets that start
// without data accept none for a window.
func (c *Cluster) WaitUntilAccepting(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for k := 1; ; k++ {
		response := c.SendKeyed(c.Nodes[0], fmt.Sprint("first-", k))
		if response.Outcome == historychecker.Served {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v no keyed request is accepted: status %d", timeout, response.Status)
		}
		time.Sleep(acceptDelay)
	}
}

// LeavingSlots returns how many slots a leaving member still holds, as the other runners know;
// negative: none of them knows that it leaves.
func (c *Cluster) LeavingSlots(name string) int {
	for _, n := range c.Nodes {
		if n.Name == name {
			continue
		}
		status, err := n.status()
		if err != nil || status.Peers == nil {
			continue
		}
		for _, l := range status.Peers.Leaving {
			if l.Name == name {
				return l.Slots
			}
		}
	}
	return notLeaving
}

// errNotRunning is the error of a question to a runner without a process.
var errNotRunning = errors.New("the runner has no process")

// status asks a runner for its status. It returns an error if it does not answer in a moment.
func (n *Node) status() (*app.Status, error) {
	if !n.IsRunning() {
		return nil, errNotRunning
	}
	status := new(app.Status)
	err := control.Ask(n.file("control"), control.Request{Command: "status"}, controlTimeout, status)
	return status, err
}

// Control sends a request to a runner's control socket and decodes the answer into v.
func (n *Node) Control(request control.Request, v any) error {
	return control.Ask(n.file("control"), request, n.cluster.opt.Timeout, v)
}
