package cluster

import (
	"errors"
	"fmt"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
)

// acceptDelay is the pause between two requests of WaitUntilAccepting.
const acceptDelay = 50 * time.Millisecond

// notLeaving is the result of LeavingSlots for a runner that is not leaving.
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

// SetMember adds a runner to the operator's files of all others, or removes it, and makes those that
// are running reload their files.
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

// WaitUntilReplicated waits until every member reports all members and complete copies of all slots.
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
			return fmt.Errorf("only %d of %d runners report that all copies are complete", complete, members)
		}
	}
}

// WaitUntilAccepting waits until the first runner accepts requests with idempotency keys. Replica sets
// that start without data accept none for the length of a window.
func (c *Cluster) WaitUntilAccepting(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for k := 1; ; k++ {
		response := c.SendKeyed(c.Nodes[0], fmt.Sprint("first-", k))
		if response.Outcome == historychecker.Served {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no keyed request was served within %v: last status %d", timeout, response.Status)
		}
		time.Sleep(acceptDelay)
	}
}

// LeavingSlots returns how many slots a leaving member still holds, according to the other runners.
// It is negative if none of them reports the member as leaving.
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

// errNotRunning is the error of status for a runner without a process.
var errNotRunning = errors.New("the runner has no process")

// status asks a runner for its status. It returns an error after controlTimeout.
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
