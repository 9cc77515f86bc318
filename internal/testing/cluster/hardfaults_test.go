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

// hardFaultCase is a cluster with one further copy of each key, and the faults that are played on it.
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

// Faulty disks, wrong clocks and two versions must not lose results or run a key twice. The cases run
// one after the other, before the parallel tests: each keeps one or two cores busy, and the parallel
// tests depend on how soon runners hear of each other. The clusters are all started at once, as a new
// cluster is idle for a window before it accepts keys.
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

// errNoOldVersion is the error for a checkout without the commit of the old version.
var errNoOldVersion = errors.New("the old version is not in this checkout")

// pendingCluster is a cluster that does not accept keys yet.
type pendingCluster struct {
	cluster *Cluster
	err     error
	started chan struct{}
	close   sync.Once
}

// startPending starts a cluster in the background. The cluster is closed when the test ends, if it was
// not closed before.
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

// ready waits until the cluster accepts keys. The cluster is closed when the test t ends.
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

// checkUnderLoad calls play under load and checks the history: no key may run twice, and no result
// may be lost.
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
		t.Errorf("%s did not log event %s", n.Name, event)
	}
}

// The disks of a voter and of a member without a vote are full or hang under load, while other disks
// are lost. The runners must log the failure and continue once the disk works again.
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

// The runners' clocks are minutes apart while machines are lost: each runner keeps a key for its
// window by its own clock. The bill is not checked: accounts identify a use by its times as well, and
// count a use more than once if its recorded times are further apart than a window.
func playClocksApart(t *testing.T, c *Cluster) {
	t.Helper()
	checkUnderLoad(t, c, func() error {
		// The next machine is lost only once all copies are complete. Otherwise more than half of
		// the voters could be without data at once.
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
	oldVersion = "6610976"
	oldPackage = "./cmd/runner"
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
		return "", fmt.Errorf("%w: commit %s: %w", errNoOldVersion, oldVersion, err)
	}
	script := `mkdir src && git -C "$0" archive "$1" | tar -x -C src && cd src && go build -o ../old "$2"`
	build := exec.Command("sh", "-c", script, checkout, oldVersion, oldPackage)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build of commit %s: %w\n%s", oldVersion, err, out)
	}
	return filepath.Join(dir, "old"), nil
}

// Runners of two versions form one cluster: runners are restarted with the new version while the
// others serve, and one is restarted with the old version again.
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

// restartWith drains a runner, starts it with another program and waits until all copies are complete.
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

// moduleRoot returns the root directory of the module.
func moduleRoot() (string, error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	return strings.TrimSpace(string(out)), err
}
