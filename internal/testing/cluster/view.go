package cluster

import (
	"fmt"
	"time"

	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/usage/metering"
)

// Row is how one runner stands, as its callers and the runner itself say.
type Row struct {
	Name   string                         `json:"name"`
	Zone   string                         `json:"hall"`
	State  string                         `json:"state"` // up, stopped, gone
	Tries  map[historychecker.Outcome]int `json:"-"`
	Keys   int                            `json:"keys"` // that it remembers
	Silent bool                           `json:"silent,omitempty"`
	Whole  bool                           `json:"copies_whole"` // as it knows; without peers never
	Copied string                         `json:"copies,omitempty"`
}

// askWithin bounds the wait for a runner that is stopped or busy.
const askWithin = 200 * time.Millisecond

// size is how many runners belong.
func (c *Cluster) size() (n int) {
	for _, o := range c.Nodes {
		if c.belongs(o) {
			n++
		}
	}
	return n
}

// Rows are how all runners stand.
func (c *Cluster) Rows() []Row {
	by := c.History.CountByRunner()
	rows := make([]Row, 0, len(c.Nodes))
	for _, n := range c.Nodes {
		r := Row{Name: n.Name, Zone: n.Zone, State: n.state(), Tries: by[n.Name]}
		if r.State == "up" {
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
			r.Silent = control.Ask(n.file("control"), control.Request{Command: "status"}, askWithin, &s) != nil
			r.Keys = s.Keys
			if p := s.Peers; p != nil {
				r.Whole = p.In && p.Closed == "" && p.Whole == p.Slots && len(p.Members) == c.size() &&
					(s.Accounts == nil || s.Accounts.FullyReplicated())
				r.Copied = fmt.Sprintf("%d of %d", p.Whole, p.Slots)
			}
		}
		rows = append(rows, r)
	}
	return rows
}
