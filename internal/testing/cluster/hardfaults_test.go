package cluster

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ryepaddle/internal/testing/historychecker"
)

// hardFaultCase is a cluster with a copy of each key, and faults that are played on it.
type hardFaultCase struct {
	name    string
	options func(t *testing.T) (Options, error)
	play    func(t *testing.T, c *Cluster)
}

var hardFaultCases = []hardFaultCase{
	{
		"full and hanging disks",
		fixedOptions(func() Options {
			return Options{Binaries: map[string]string{"n3": faultsBinary, "n4": faultsBinary}}
		}),
		playFullAndHangingDisks,
	},
	{
		"clocks apart",
		fixedOptions(func() Options {
			return Options{
				Binaries:     map[string]string{"n2": faultsBinary, "n3": faultsBinary},
				ClockOffsets: map[string]time.Duration{"n2": 7 * time.Minute, "n3": -5 * time.Minute},
			}
		}),
		playClocksApart,
	},
	{"two versions", withOldVersion, playTwoVersions},
}

// The cases are played one after the other, and before the tests that run side by side: each keeps
// a core or two busy, and those depend on how soon runners hear of each other. A cluster that has
// just started waits for a window before it accepts keys, and does nothing meanwhile, so all of
// them start at once.
func TestDiskClockAndVersionFaults(t *testing.T) {
	started := make([]*pendingCluster, len(hardFaultCases))
	for i, c := range hardFaultCases {
		started[i] = startPending(t, c.options)
	}
	for i, c := range hardFaultCases {
		t.Run(c.name, func(t *testing.T) { c.play(t, started[i].ready(t)) })
	}
}

// fixedOptions returns options that cannot fail.
func fixedOptions(options func() Options) func(*testing.T) (Options, error) {
	return func(*testing.T) (Options, error) { return options(), nil }
}

// errNoOldVersion is the error of a checkout without the commit of the old version.
var errNoOldVersion = errors.New("not on this checkout")

// pendingCluster is a cluster that does not accept keys yet.
type pendingCluster struct {
	cluster *Cluster
	err     error
	started chan struct{}
	close   sync.Once
}

// startPending starts a cluster in the background. It is closed as the test ends, if it was not
// closed before.
func startPending(t *testing.T, options func(*testing.T) (Options, error)) *pendingCluster {
	p := &pendingCluster{started: make(chan struct{})}
	go func() {
		defer close(p.started)
		opt, err := options(t)
		if err != nil {
			p.err = err
			return
		}
		p.start(opt)
	}()
	t.Cleanup(func() { p.end(t) })
	return p
}

// start starts the cluster and waits until it accepts keys.
func (p *pendingCluster) start(opt Options) {
	opt.Runners = 4
	opt.Zones = 2
	opt.Servers = 2
	opt.Window = shortWindow
	opt.Replicas = 1
	setTestDefaults(&opt)
	p.cluster, p.err = Start(opt)
	if p.err != nil {
		return
	}
	p.err = errors.Join(
		p.cluster.WaitUntilReplicated(replicationTimeout),
		p.cluster.WaitUntilAccepting(60*time.Second),
	)
}

// end closes the cluster.
func (p *pendingCluster) end(t *testing.T) {
	t.Helper()
	<-p.started
	p.close.Do(func() {
		if p.cluster != nil {
			closeCluster(t, p.cluster)
		}
	})
}

// ready waits until the cluster accepts keys. It is closed as the test ends.
func (p *pendingCluster) ready(t *testing.T) *Cluster {
	t.Helper()
	<-p.started
	t.Cleanup(func() { p.end(t) })
	switch {
	case errors.Is(p.err, errNoOldVersion):
		t.Skip(p.err)
	case p.err != nil:
		t.Fatal(p.err)
	}
	return p.cluster
}

// checkUnderLoad calls play beside a load and checks the history: no key runs twice, and no result
// is lost.
func checkUnderLoad(t *testing.T, c *Cluster, play func() error) {
	t.Helper()
	load := peerLoad(3, 2)
	load.Start(c)
	if err := play(); err != nil {
		t.Error(err)
	}
	load.Stop()
	t.Log(c)
	checkHistory(t, c)
	if n := c.History.Count(); n[historychecker.Served] < 100 {
		t.Errorf("too few outcomes to check: %v", c)
	}
}

func checkLogged(t *testing.T, n *Node, event string) {
	t.Helper()
	if !strings.Contains(n.Log(maxLogLines), "event="+event) {
		t.Errorf("%s has not logged %s", n.Name, event)
	}
}

// Disks of a voter and of a member without a vote are full or hang while these and others serve.
// The runners log it, go on once the disk does, and lose the disk in the middle of it.
func playFullAndHangingDisks(t *testing.T, c *Cluster) {
	t.Helper()
	faults := parseScript(t, `
		100ms full n2 3s
		300ms kill n4 --wipe --back 200ms
		3500ms hang n3 1s
		3700ms kill n4 --wipe --back 200ms
		5s full n4 500ms
		5500ms hang n4 500ms
		5700ms kill n1 --back 100ms
		7s wait`)
	checkUnderLoad(t, c, func() error {
		return errors.Join(c.Play(faults, nil), c.Repair(), c.WaitUntilReplicated(replicationTimeout))
	})
	checkLogged(t, c.Nodes[1], "peers.disk_failed")
	checkLogged(t, c.Nodes[1], "peers.disk_recovered")
	checkBill(t, c)
}

// Clocks are minutes apart: each runner remembers a key for its window by its own clock. Machines
// are lost meanwhile. The bill is not checked: accounts tell uses apart by their times, and count a
// use several times whose times are further apart than a window.
func playClocksApart(t *testing.T, c *Cluster) {
	t.Helper()
	checkUnderLoad(t, c, func() error {
		// The next machine is lost only once all copies are complete: more than half of the voters
		// at once would have no data.
		for _, n := range c.Nodes {
			time.Sleep(200 * time.Millisecond)
			faults := parseScript(t, "0s kill "+n.Name+" --wipe --back 100ms")
			err := errors.Join(c.Play(faults, nil), c.WaitUntilReplicated(replicationTimeout))
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// oldVersion is the last commit of the version before this one, and oldPackage its program.
const (
	oldVersion = "2642f86"
	oldPackage = "./cmd/ryepaddle"
)

// withOldVersion returns options of runners of the old version.
func withOldVersion(t *testing.T) (Options, error) {
	t.Helper()
	old, err := buildOldVersion(t.TempDir())
	if err != nil {
		return Options{}, err
	}
	return Options{Binaries: map[string]string{"n1": old, "n2": old, "n3": old, "n4": old}}, nil
}

// buildOldVersion builds the program of the old version in a directory and returns its path.
func buildOldVersion(dir string) (string, error) {
	checkout, err := moduleRoot()
	if err != nil {
		return "", err
	}
	if err := exec.Command("git", "-C", checkout, "cat-file", "-e", oldVersion).Run(); err != nil {
		return "", fmt.Errorf("%w, which does not have %s: %w", errNoOldVersion, oldVersion, err)
	}
	script := `mkdir src && git -C "$0" archive "$1" | tar -x -C src && cd src && go build -o ../old "$2"`
	build := exec.Command("sh", "-c", script, checkout, oldVersion, oldPackage)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%s cannot be built: %w\n%s", oldVersion, err, out)
	}
	return filepath.Join(dir, "old"), nil
}

// Runners of two versions serve as one cluster: each is restarted with the new version while the
// others serve, and one goes back to the old one.
func playTwoVersions(t *testing.T, c *Cluster) {
	t.Helper()
	old := c.opt.Binaries["n1"]
	restarts := []struct{ name, binary string }{
		{"n4", runnerBinary},
		{"n1", runnerBinary},
		{"n1", old},
		{"n2", runnerBinary},
	}
	checkUnderLoad(t, c, func() error {
		for _, r := range restarts {
			if err := restartWith(c, r.name, r.binary); err != nil {
				return fmt.Errorf("%s: %w", r.name, err)
			}
		}
		return nil
	})
	checkBill(t, c)
}

// restartWith drains a runner, starts it with another program and waits for complete copies.
func restartWith(c *Cluster, name, binary string) error {
	n, err := c.Node(name)
	if err != nil {
		return err
	}
	if err := n.Drain(); err != nil {
		return err
	}
	c.opt.Binaries[name] = binary
	return errors.Join(n.Start(), c.WaitUntilReplicated(replicationTimeout))
}

// moduleRoot returns the directory of the checkout.
func moduleRoot() (string, error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	return strings.TrimSpace(string(out)), err
}
