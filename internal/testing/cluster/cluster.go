// Package cluster runs several real runners with uwsgi servers behind them.
//
// Each connection between a client, a runner and a server, and between two runners, goes through a
// link of package faultlink. Faults of links, processes and disks are played from a script or drawn
// from a seed. Meanwhile clients send requests with idempotency keys, and package historychecker
// decides whether the answers that they received and the runs that servers counted are consistent.
package cluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ryepaddle/internal/testing/faultlink"
	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/testing/uwsgiserver"
)

const (
	// HealthCheckInterval is the time between two health checks of a server, with Options.Leases.
	HealthCheckInterval = 250 * time.Millisecond
	// pollInterval is the time between two polls by a function that waits for a condition.
	pollInterval = 20 * time.Millisecond
)

// Options configure a cluster.
type Options struct {
	// Binary is the path of the program of all runners that are not in Binaries.
	Binary string
	// Binaries are the paths of the programs of single runners, by the runner's name.
	Binaries map[string]string
	// ClockOffsets are the times by which the clocks of single runners are ahead, by the runner's name;
	// negative: behind. Their programs must be built with the tag faults.
	ClockOffsets map[string]time.Duration
	// Dir is the directory of all files. Empty: a temporary directory, which Close removes.
	Dir string
	// Runners is the number of runners.
	Runners int
	// Joining is the number of runners, counted from the last, that Start does not start. They are not
	// members until SetMember adds them.
	Joining int
	// Zones is the number of zones over which runners and servers are spread. 0: one zone.
	Zones int
	// Servers is the number of uwsgi servers. There is a link from each runner to each server.
	Servers int
	// RunTime is how long a server takes to run a request.
	RunTime time.Duration
	// Window is the time in which a key may be repeated.
	Window time.Duration
	// Timeout bounds a start, a drain and the wait for an answer.
	Timeout time.Duration
	// Replicas is the number of further copies of each key. 0: the runners are not peers.
	Replicas int
	// MaxFullMesh is the number of members up to which each has a link to every other. 0: defaultFullMesh.
	MaxFullMesh int
	// Leases makes one runner check the health of the servers of each zone on behalf of all.
	Leases bool
	// Operator returns the operator's file of a runner. Nil: WithReplicas if Replicas is above 0,
	// otherwise WithStore.
	Operator func(n *Node) (string, error)
}

// Server is a uwsgi server of a cluster. It counts its runs by key.
type Server struct {
	Name, Zone string
	*uwsgiserver.Server
}

// Cluster is a number of runners with the servers, clients and links around them.
type Cluster struct {
	Nodes   []*Node
	Servers []*Server
	History historychecker.History

	opt        Options
	started    time.Time
	tempDir    string         // removed by Close; empty: none
	background sync.WaitGroup // goroutines that end faults or restart runners after a time

	mu      sync.Mutex
	err     error           // guarded by mu: errors of the background goroutines
	members map[string]bool // guarded by mu: names of the members in the operator's files
}

// Start starts all runners but the joining ones and waits until they listen. It returns an error if
// a runner does not listen within opt.Timeout.
func Start(opt Options) (*Cluster, error) {
	c := &Cluster{opt: opt, started: time.Now(), members: map[string]bool{}}
	if opt.Dir == "" {
		dir, err := os.MkdirTemp("", "cluster")
		if err != nil {
			return nil, err
		}
		c.tempDir = dir
		c.opt.Dir = dir
	}
	if c.opt.Operator == nil {
		c.opt.Operator = WithStore
		if c.opt.Replicas > 0 {
			c.opt.Operator = WithReplicas
		}
	}
	if err := c.build(); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	if err := c.startMembers(); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// startMembers starts all members at once.
func (c *Cluster) startMembers() error {
	var starts sync.WaitGroup
	errs := make([]error, len(c.Nodes))
	for i, n := range c.Nodes {
		if c.isMember(n) {
			starts.Go(func() { errs[i] = n.Start() })
		}
	}
	starts.Wait()
	return errors.Join(errs...)
}

// build starts the servers and opens the links.
func (c *Cluster) build() error {
	for i := range c.opt.Servers {
		server, err := uwsgiserver.Start(0, func(string) time.Duration { return c.opt.RunTime })
		if err != nil {
			return err
		}
		server.NumberRuns()
		c.Servers = append(c.Servers, &Server{Name: fmt.Sprintf("s%d", i+1), Zone: c.zone(i), Server: server})
	}
	for i := range c.opt.Runners {
		n := &Node{
			Name:    fmt.Sprintf("n%d", i+1),
			Zone:    c.zone(i),
			cluster: c,
			links:   map[string]*faultlink.Link{},
		}
		n.dir = filepath.Join(c.opt.Dir, n.Name)
		c.Nodes = append(c.Nodes, n)
		c.members[n.Name] = i < c.opt.Runners-c.opt.Joining
		if err := os.MkdirAll(n.disk(), 0o700); err != nil {
			return err
		}
	}
	for _, n := range c.Nodes {
		if err := c.openLinks(n); err != nil {
			return err
		}
	}
	return nil
}

// zone returns the zone of the i-th runner or server.
func (c *Cluster) zone(i int) string { return fmt.Sprintf("hall%d", i%max(c.opt.Zones, 1)+1) }

// openLinks opens the link from a runner's clients and the links from the runner to servers and peers.
func (c *Cluster) openLinks(n *Node) (err error) {
	if n.clientLink, err = faultlink.New(""); err != nil {
		return err
	}
	for _, s := range c.Servers {
		if n.links[s.Name], err = faultlink.New(s.Listener.Addr().String()); err != nil {
			return err
		}
	}
	if c.opt.Replicas == 0 {
		return nil
	}
	for _, other := range c.Nodes {
		if other == n {
			continue
		}
		if n.links[other.Name], err = faultlink.New(""); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes, servers and links.
func (c *Cluster) Close() error {
	c.background.Wait()
	var errs []error
	for _, n := range c.Nodes {
		errs = append(errs, n.Resume(), n.Kill())
		for _, link := range n.links {
			link.Close()
		}
		if n.clientLink != nil {
			n.clientLink.Close()
		}
	}
	for _, s := range c.Servers {
		errs = append(errs, s.Listener.Close())
	}
	if c.tempDir != "" {
		errs = append(errs, os.RemoveAll(c.tempDir))
	}
	return errors.Join(errs...)
}

// Node returns the runner with a name.
func (c *Cluster) Node(name string) (*Node, error) {
	for _, n := range c.Nodes {
		if n.Name == name {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no runner has the name %q", name)
}

// RunCounts returns how often the servers began to run each key.
func (c *Cluster) RunCounts() map[string]int {
	counts := map[string]int{}
	for _, s := range c.Servers {
		for key, n := range s.Runs() {
			counts[key] += n
		}
	}
	return counts
}

// Check returns the inconsistencies of the history, the errors of the background goroutines, and the
// runners that exited unexpectedly.
func (c *Cluster) Check() historychecker.Verdict {
	verdict := c.History.Check(c.RunCounts())
	c.mu.Lock()
	if c.err != nil {
		verdict = append(verdict, c.err.Error())
	}
	c.mu.Unlock()
	for _, n := range c.Nodes {
		if err := n.failure(); err != nil {
			verdict = append(verdict, err.Error())
		}
	}
	return verdict
}

// fail records an error of a background goroutine.
func (c *Cluster) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = errors.Join(c.err, err)
}
