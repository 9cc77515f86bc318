package cluster

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/testing/faultlink"
)

// Play applies faults at their times, and returns once all of them have ended and their runners have
// been restarted. It calls onFault, which may be nil, before each fault. If a fault names an unknown
// party, Play returns an error and applies no fault.
func (c *Cluster) Play(faults []Fault, onFault func(Fault)) error {
	for _, f := range faults {
		if err := c.Validate(f); err != nil {
			return fmt.Errorf("%v: %w", f, err)
		}
	}
	started := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(started.Add(f.At)))
		if onFault != nil {
			onFault(f)
		}
		if err := c.Apply(f); err != nil {
			return fmt.Errorf("%v: %w", f, err)
		}
	}
	c.background.Wait()
	return nil
}

// Validate checks that a fault names existing parties.
func (c *Cluster) Validate(f Fault) (err error) {
	switch len(f.Targets) {
	case 1:
		_, err = c.Node(f.Targets[0])
	case 2:
		_, err = c.link(f.Targets[0], f.Targets[1])
	}
	return err
}

// link returns the link between a runner and another party.
func (c *Cluster) link(runner, other string) (*faultlink.Link, error) {
	n, err := c.Node(runner)
	if err != nil {
		return nil, err
	}
	if other == Clients {
		return n.clientLink, nil
	}
	if link := n.links[other]; link != nil {
		return link, nil
	}
	return nil, fmt.Errorf("%s has no link to %q", runner, other)
}

// Apply applies a fault at once. The end of a fault that lasts for a time, and a later restart of a
// runner, happen in the background.
func (c *Cluster) Apply(f Fault) error {
	switch len(f.Targets) {
	case 0:
		return nil
	case 1:
		return c.applyToNode(f)
	default:
		return c.applyToLink(f)
	}
}

// applyToLink applies a fault of a link.
func (c *Cluster) applyToLink(f Fault) error {
	link, err := c.link(f.Targets[0], f.Targets[1])
	if err != nil {
		return err
	}
	duration, _ := time.ParseDuration(f.Value) // 0 if the value is a count
	count, _ := strconv.Atoi(f.Value)          // 0 if the value is a duration
	switch f.Action {
	case ActionCut:
		link.Cut()
	case ActionStall:
		link.Set(f.Direction, faultlink.Fault{Stall: true})
	case ActionDelay:
		link.Set(f.Direction, faultlink.Fault{Delay: duration})
		return nil // the delay lasts until the link is healed
	case ActionThrottle:
		link.Set(f.Direction, faultlink.Fault{BytesPerSecond: count})
	case ActionReset:
		link.Set(f.Direction, faultlink.Fault{ResetAfterBytes: int64(count)})
	case ActionHeal:
		link.Heal()
	}
	if duration > 0 {
		c.runAfter(duration, func() error {
			link.Heal()
			return nil
		})
	}
	return nil
}

// applyToNode applies a fault of a runner. Faults of the same runner are applied one after the other.
func (c *Cluster) applyToNode(f Fault) error {
	n, err := c.Node(f.Targets[0])
	if err != nil {
		return err
	}
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	duration, _ := time.ParseDuration(f.Value) // 0 for an action without a duration
	if err := c.applyAction(n, f, duration); err != nil {
		return err
	}
	if f.WipeDisk {
		if err := emptyDir(n.disk()); err != nil {
			return err
		}
	}
	if f.RestartAfter >= 0 {
		c.runAfter(f.RestartAfter, n.startIfDown)
	}
	return nil
}

// applyAction applies the action of a fault to a runner. The caller must hold n.faultMu.
func (c *Cluster) applyAction(n *Node, f Fault, duration time.Duration) error {
	switch f.Action {
	case ActionKill:
		return n.Kill()
	case ActionDrain:
		return n.Drain()
	case ActionSuspend:
		return c.applyFor(duration, n.Suspend, n.Resume)
	case ActionFillDisk:
		fill := func() error { return n.limitFileSize(1) }
		free := func() error { return n.limitFileSize(unix.RLIM_INFINITY) }
		return c.applyFor(duration, fill, free)
	case ActionHangDisk:
		hang := func() error { return n.setDiskHang(true) }
		release := func() error { return n.setDiskHang(false) }
		return c.applyFor(duration, hang, release)
	case ActionBackup:
		return backUp(n.disk())
	case ActionStart:
		return n.startFromDisk(f.RestoreBackup)
	}
	return nil
}

// applyFor calls begin at once, and end after a time in the background.
func (c *Cluster) applyFor(d time.Duration, begin, end func() error) error {
	if err := begin(); err != nil {
		return err
	}
	c.runAfter(d, end)
	return nil
}

// startFromDisk starts a runner, unless it is running. With restoreFirst its disk is replaced by the
// backup before. The caller must hold n.faultMu.
func (n *Node) startFromDisk(restoreFirst bool) error {
	if restoreFirst {
		if err := restore(n.disk()); err != nil {
			return err
		}
	}
	if n.IsRunning() {
		return nil
	}
	return n.Start()
}

// startIfDown starts a runner, unless another fault has already started it.
func (n *Node) startIfDown() error {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	return n.startFromDisk(false)
}

// runAfter calls fn in the background after a time. c.background.Wait waits for the call.
func (c *Cluster) runAfter(d time.Duration, fn func() error) {
	c.background.Go(func() {
		time.Sleep(d)
		if err := fn(); err != nil {
			c.fail(err)
		}
	})
}

// Repair ends all faults: it heals the links, and resumes or starts every runner.
func (c *Cluster) Repair() error {
	c.background.Wait()
	var errs []error
	for _, n := range c.Nodes {
		n.clientLink.Heal()
		for _, link := range n.links {
			link.Heal()
		}
		errs = append(errs, n.Resume())
		if !n.IsRunning() {
			errs = append(errs, n.Start())
		}
	}
	return errors.Join(errs...)
}

// PartitionFaults returns the faults that cut a runner off from all other runners for a time, in both
// directions.
func (c *Cluster) PartitionFaults(n *Node, d time.Duration) []Fault {
	var faults []Fault
	cut := func(from, to string) {
		targets := []string{from, to}
		faults = append(faults, Fault{Action: ActionCut, Targets: targets, Value: d.String(), RestartAfter: -1})
	}
	for _, other := range c.Nodes {
		if other != n {
			cut(n.Name, other.Name)
			cut(other.Name, n.Name)
		}
	}
	return faults
}
