package cluster

import (
	"fmt"
	"time"

	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/usage/metering"
)

// controlTimeout bounds the wait for a runner that is suspended or busy.
const controlTimeout = 200 * time.Millisecond

// ProcessState is the state of a runner's process.
type ProcessState string

// The states of a process, as they are printed.
const (
	ProcessUp        ProcessState = "up"
	ProcessSuspended ProcessState = "stopped"
	ProcessDown      ProcessState = "gone"
)

// NodeState is the state of one runner, as its clients and the runner itself see it.
type NodeState struct {
	Name            string                         `json:"name"`
	Zone            string                         `json:"hall"`
	Process         ProcessState                   `json:"state"`
	Responses       map[historychecker.Outcome]int `json:"-"`
	KeysHeld        int                            `json:"keys"`
	Unresponsive    bool                           `json:"silent,omitempty"`
	FullyReplicated bool                           `json:"copies_whole"` // false without peers
	ReplicatedSlots string                         `json:"copies,omitempty"`
}

// statusAnswer is the part of a runner's status that States reads.
type statusAnswer struct {
	KeysHeld int                         `json:"keys_held"`
	Peers    *peersAnswer                `json:"peers"`
	Accounts *metering.ReplicationStatus `json:"accounts"`
}

type peersAnswer struct {
	IsMember        bool     `json:"in"`
	Closed          string   `json:"closed"` // why the runner rejects keyed requests; empty: it accepts them
	ReplicatedSlots int      `json:"slots_whole"`
	Slots           int      `json:"slots"`
	Members         []string `json:"members"`
}

// isFullyReplicated reports whether a runner reports all members and complete copies of all slots.
func (a *statusAnswer) isFullyReplicated(members int) bool {
	p := a.Peers
	return p.IsMember &&
		p.Closed == "" &&
		p.ReplicatedSlots == p.Slots &&
		len(p.Members) == members &&
		(a.Accounts == nil || a.Accounts.FullyReplicated())
}

// States returns the states of all runners.
func (c *Cluster) States() []NodeState {
	responses := c.History.CountByRunner()
	states := make([]NodeState, 0, len(c.Nodes))
	for _, n := range c.Nodes {
		state := NodeState{
			Name:      n.Name,
			Zone:      n.Zone,
			Process:   n.processState(),
			Responses: responses[n.Name],
		}
		if state.Process == ProcessUp {
			n.readState(&state)
		}
		states = append(states, state)
	}
	return states
}

// readState asks the runner for its part of the state.
func (n *Node) readState(state *NodeState) {
	var answer statusAnswer
	err := control.Ask(n.file("control"), control.Request{Command: "status"}, controlTimeout, &answer)
	state.Unresponsive = err != nil
	state.KeysHeld = answer.KeysHeld
	if p := answer.Peers; p != nil {
		state.FullyReplicated = answer.isFullyReplicated(n.cluster.memberCount())
		state.ReplicatedSlots = fmt.Sprintf("%d of %d", p.ReplicatedSlots, p.Slots)
	}
}
