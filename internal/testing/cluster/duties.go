package cluster

import (
	"errors"
	"fmt"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/historychecker"
)

// LeaseEffects are the questions for their health that servers were asked under a duty, as they saw
// them.
func (c *Cluster) LeaseEffects() (effects []historychecker.LeaseEffect) {
	for _, s := range c.Servers {
		for _, k := range s.HealthChecks() {
			if k.Lease != "" {
				effects = append(
					effects,
					historychecker.LeaseEffect{
						Server:   s.Name,
						At:       k.At,
						Lease:    k.Lease,
						Token:    k.Token,
						Holder:   k.Holder,
						Accepted: !k.Stale,
					},
				)
			}
		}
	}
	return effects
}

// LeaseHolder is who holds a duty by the newest table that any runner which answers knows, and under
// which token; empty: nobody.
func (c *Cluster) LeaseHolder(duty string) (name string, token uint64) {
	newest := uint64(0)
	for _, n := range c.Nodes {
		var s app.Status
		if n.processState() != "up" ||
			control.Ask(n.file("control"), control.Request{Command: "status"}, controlTimeout, &s) != nil ||
			s.Peers == nil ||
			s.Peers.Version < newest {
			continue
		}
		newest = s.Peers.Version
		for _, d := range s.Peers.Leases {
			if d.Name == duty {
				name, token = d.Holder, d.Token
			}
		}
	}
	return name, token
}

// PartitionFaults cuts a runner from all others for a while, both ways.
func (c *Cluster) PartitionFaults(n *Node, d time.Duration) (faults []Fault) {
	for _, o := range c.Nodes {
		if o != n {
			faults = append(
				faults,
				Fault{Action: "cut", Targets: []string{n.Name, o.Name}, Value: d.String(), RestartAfter: -1},
				Fault{Action: "cut", Targets: []string{o.Name, n.Name}, Value: d.String(), RestartAfter: -1},
			)
		}
	}
	return faults
}

// HolderLosses are the ways in which a holder is lost, or gives its duty back.
var HolderLosses = []string{"kill", "stop", "cut", "drain"}

// LoseHolder has the holder of a duty lost in some way, and tells how long it took until a server saw the
// next one's first effect.
func (c *Cluster) LoseHolder(duty, way string, within time.Duration) (time.Duration, error) {
	deadline := time.Now().Add(within)
	var n *Node
	var token uint64
	for n == nil {
		name, of := c.LeaseHolder(duty)
		if o, err := c.Node(name); err == nil && c.firstEffect(duty, of) != nil {
			n, token = o, of
		} else if time.Sleep(20 * time.Millisecond); time.Now().After(deadline) {
			return 0, fmt.Errorf("nobody holds %s and acts: %q under %d", duty, name, of)
		}
	}
	var faults []Fault
	switch way {
	case "kill":
		faults = []Fault{{Action: "kill", Targets: []string{n.Name}, RestartAfter: 100 * time.Millisecond}}
	case "stop":
		faults = []Fault{{Action: "stop", Targets: []string{n.Name}, Value: "2500ms", RestartAfter: -1}}
	case "cut":
		faults = c.PartitionFaults(n, 2500*time.Millisecond)
	case "drain":
		faults = []Fault{{Action: "drain", Targets: []string{n.Name}, RestartAfter: 100 * time.Millisecond}}
	}
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- c.Play(faults, nil) }()
	for {
		if e := c.firstEffect(duty, token+1); e != nil {
			return e.At.Sub(began), errors.Join(<-done, c.Repair())
		}
		if time.Now().After(deadline) {
			return 0, errors.Join(
				fmt.Errorf("nobody acts for %s after %s under %d was lost by %s", duty, n.Name, token, way),
				<-done,
				c.Repair(),
			)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// firstEffect is the first effect under a token or a higher one; nil: there is none yet.
func (c *Cluster) firstEffect(duty string, least uint64) (first *historychecker.LeaseEffect) {
	for _, e := range c.LeaseEffects() {
		if e.Lease == duty && e.Token >= least && (first == nil || e.At.Before(first.At)) {
			first = &e
		}
	}
	return first
}
