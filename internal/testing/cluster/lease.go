package cluster

import (
	"errors"
	"fmt"
	"time"

	"ryepaddle/internal/testing/historychecker"
)

const (
	// holderLossTime is how long a holder is suspended or partitioned.
	holderLossTime = 2500 * time.Millisecond
	// holderRestartDelay is the time after which a killed or drained holder is restarted.
	holderRestartDelay = 100 * time.Millisecond
	// effectPollInterval is the time between two polls of the health checks that servers received.
	effectPollInterval = 5 * time.Millisecond
)

// HolderLosses are the faults by which a lease loses its holder. A drained holder releases the lease.
var HolderLosses = []Action{ActionKill, ActionSuspend, ActionCut, ActionDrain}

// LeaseEffects returns the health checks under a lease that the servers have received.
func (c *Cluster) LeaseEffects() (effects []historychecker.LeaseEffect) {
	for _, s := range c.Servers {
		for _, check := range s.HealthChecks() {
			if check.Lease == "" {
				continue
			}
			effects = append(effects, historychecker.LeaseEffect{
				Server:   s.Name,
				At:       check.At,
				Lease:    check.Lease,
				Token:    check.Token,
				Holder:   check.Holder,
				Accepted: !check.Stale,
			})
		}
	}
	return effects
}

// LeaseHolder returns the holder of a lease and its fencing token, according to the newest table that
// a responding runner knows. The name is empty if no runner holds the lease.
func (c *Cluster) LeaseHolder(lease string) (name string, token uint64) {
	newest := uint64(0)
	for _, n := range c.Nodes {
		if n.processState() != ProcessUp {
			continue
		}
		status, err := n.status()
		if err != nil || status.Peers == nil || status.Peers.Version < newest {
			continue
		}
		newest = status.Peers.Version
		for _, l := range status.Peers.Leases {
			if l.Name == lease {
				name = l.Holder
				token = l.Token
			}
		}
	}
	return name, token
}

// LoseHolder applies a fault to the holder of a lease, and returns the time until a server received
// the first health check of the next holder.
func (c *Cluster) LoseHolder(lease string, loss Action, timeout time.Duration) (time.Duration, error) {
	deadline := time.Now().Add(timeout)
	holder, token, err := c.awaitHolder(lease, deadline)
	if err != nil {
		return 0, err
	}
	faults := c.holderFaults(holder, loss)
	started := time.Now()
	played := make(chan error, 1)
	go func() { played <- c.Play(faults, nil) }()
	for {
		if effect := c.firstEffect(lease, token+1); effect != nil {
			return effect.At.Sub(started), errors.Join(<-played, c.Repair())
		}
		if time.Now().After(deadline) {
			err := fmt.Errorf("lease %s: no holder after %s (token %d), fault: %s", lease, holder.Name, token, loss)
			return 0, errors.Join(err, <-played, c.Repair())
		}
		time.Sleep(effectPollInterval)
	}
}

// awaitHolder waits until a lease has a holder of which a server has received a health check.
func (c *Cluster) awaitHolder(lease string, deadline time.Time) (*Node, uint64, error) {
	for {
		name, token := c.LeaseHolder(lease)
		n, err := c.Node(name)
		if err == nil && c.firstEffect(lease, token) != nil {
			return n, token, nil
		}
		if time.Now().After(deadline) {
			return nil, 0, fmt.Errorf("no health check under lease %s, holder %q, token %d", lease, name, token)
		}
		time.Sleep(pollInterval)
	}
}

// holderFaults returns the faults that make a runner lose its leases in the given way.
func (c *Cluster) holderFaults(n *Node, loss Action) []Fault {
	fault := Fault{Action: loss, Targets: []string{n.Name}, RestartAfter: -1}
	switch loss {
	case ActionCut:
		return c.PartitionFaults(n, holderLossTime)
	case ActionSuspend:
		fault.Value = holderLossTime.String()
	default:
		fault.RestartAfter = holderRestartDelay
	}
	return []Fault{fault}
}

// firstEffect returns the earliest effect whose token is at least minToken; nil: none yet.
func (c *Cluster) firstEffect(lease string, minToken uint64) *historychecker.LeaseEffect {
	var first *historychecker.LeaseEffect
	for _, e := range c.LeaseEffects() {
		if e.Lease == lease && e.Token >= minToken && (first == nil || e.At.Before(first.At)) {
			first = &e
		}
	}
	return first
}
