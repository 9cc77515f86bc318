package cluster

import (
	"fmt"
	"time"

	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/usage/metering"
)

// NodeState is how one runner stands, as its callers and the runner itself say.
type NodeState struct {
	Name            string                         `json:"name"`
	Zone            string                         `json:"hall"`
	Process         string                         `json:"state"` // up, stopped, gone
	Responses       map[historychecker.Outcome]int `json:"-"`
	KeysHeld        int                            `json:"keys"` // that it remembers
	Unresponsive    bool                           `json:"silent,omitempty"`
	FullyReplicated bool                           `json:"copies_whole"` // as it knows; without peers never
	ReplicatedSlots string                         `json:"copies,omitempty"`
}

// controlTimeout bounds the wait for a runner that is stopped or busy.
const controlTimeout = 200 * time.Millisecond

// memberCount is how many runners belong.
func (c *Cluster) memberCount() (n int) {
	for _, o := range c.Nodes {
		if c.isMember(o) {
			n++
		}
	}
	return n
}

// States are how all runners stand.
func (c *Cluster) States() []NodeState {
	by := c.History.CountByRunner()
	rows := make([]NodeState, 0, len(c.Nodes))
	for _, n := range c.Nodes {
		r := NodeState{Name: n.Name, Zone: n.Zone, Process: n.processState(), Responses: by[n.Name]}
		if r.Process == "up" {
			var s struct {
				Keys  int `json:"keys_held"`
				Peers *struct {
					In      bool     `json:"in"`
					Closed  string   `json:"closed"`
					Whole   int      `json:"slots_whole"`
					Slots   int      `json:"slots"`
					Members []string `json:"members"`
				} `json:"peers"`
				Accounts *metering.ReplicationStatus `json:"accounts"`
			}
			r.Unresponsive = control.Ask(n.file("control"), control.Request{Command: "status"}, controlTimeout, &s) != nil
			r.KeysHeld = s.Keys
			if p := s.Peers; p != nil {
				r.FullyReplicated = p.In && p.Closed == "" && p.Whole == p.Slots && len(p.Members) == c.memberCount() &&
					(s.Accounts == nil || s.Accounts.FullyReplicated())
				r.ReplicatedSlots = fmt.Sprintf("%d of %d", p.Whole, p.Slots)
			}
		}
		rows = append(rows, r)
	}
	return rows
}
