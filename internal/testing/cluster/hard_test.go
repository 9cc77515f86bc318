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

// TestHardFaults plays faults one after the other, and before the tests that are played side by
// side: each keeps a core or two busy, and those go by how soon runners hear of each other. A
// cluster that has just started waits for a window to pass before it takes keys, and does nothing
// meanwhile, so that all of them start at once.
func TestHardFaults(t *testing.T) {
	plays := []struct {
		name    string
		options func(t *testing.T) (Options, error)
		play    func(t *testing.T, c *Cluster)
	}{
		{
			"full and hanging disks",
			oneOption(Options{Binaries: map[string]string{"n3": faulty, "n4": faulty}}),
			playFullAndHangingDisks,
		},
		{"clocks apart", oneOption(Options{Binaries: map[string]string{"n2": faulty, "n3": faulty},
			ClockOffsets: map[string]time.Duration{
				"n2": 7 * time.Minute,
				"n3": -5 * time.Minute,
			}}), playClocksApart},
		{"two versions", withOldVersion, playTwoVersions},
	}
	started := make([]*keeping, len(plays))
	for i, p := range plays {
		started[i] = startKeeping(t, p.options)
	}
	for i, p := range plays {
		t.Run(p.name, func(t *testing.T) { p.play(t, started[i].ready(t)) })
	}
}

// oneOption are options that are known at once.
func oneOption(opt Options) func(*testing.T) (Options, error) {
	return func(*testing.T) (Options, error) { return opt, nil }
}

// errSkip is that of a cluster that cannot be played on this checkout.
var errSkip = errors.New("not on this checkout")

// keeping is a cluster of runners with a copy of each key, on its way to take keys.
type keeping struct {
	cluster *Cluster
	err     error
	started chan struct{}
	close   sync.Once
}

// startKeeping starts one. It ends with the test, if it was not closed before.
func startKeeping(t *testing.T, options func(*testing.T) (Options, error)) *keeping {
	k := &keeping{started: make(chan struct{})}
	go func() {
		defer close(k.started)
		opt, err := options(t)
		if k.err = err; err != nil {
			return
		}
		opt.Runners, opt.Zones, opt.Servers, opt.Window, opt.Replicas = 4, 2, 2, shortWindow, 1
		opt.Binary, opt.RunTime, opt.Timeout = bin, 2*time.Millisecond, 20*time.Second
		if k.cluster, k.err = Start(opt); k.err == nil {
			k.err = errors.Join(k.cluster.WaitUntilReplicated(60*time.Second), k.cluster.WaitUntilAccepting(60*time.Second))
		}
	}()
	t.Cleanup(func() { k.end(t) })
	return k
}

// end closes the cluster, with its logs where the test has failed.
func (k *keeping) end(t *testing.T) {
	<-k.started
	k.close.Do(func() {
		if k.cluster != nil {
			closeCluster(t, k.cluster)
		}
	})
}

// ready waits until the cluster takes keys. It is closed as the test ends.
func (k *keeping) ready(t *testing.T) *Cluster {
	t.Helper()
	<-k.started
	t.Cleanup(func() { k.end(t) })
	switch {
	case errors.Is(k.err, errSkip):
		t.Skip(k.err)
	case k.err != nil:
		t.Fatal(k.err)
	}
	return k.cluster
}

// judged hands in at all runners while something happens, and judges it: no key runs twice, and
// nothing that was served is lost.
func judged(t *testing.T, c *Cluster, happens func() error) {
	t.Helper()
	l := &Load{Callers: 3, SwitchRunners: true, Repeats: 2, RepeatFor: shortWindow / 2}
	l.Start(c)
	if err := happens(); err != nil {
		t.Error(err)
	}
	l.Stop()
	t.Log(c)
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
	if n := c.History.Count(); n[historychecker.Served] < 100 {
		t.Errorf("that tells nothing: %v", c)
	}
}

// logged looks for an event in a runner's log.
func logged(t *testing.T, n *Node, event string) {
	t.Helper()
	if !strings.Contains(n.Log(maxLogLines), "event="+event) {
		t.Errorf("%s has not told %s", n.Name, event)
	}
}

// Disks that are full or hang, of a voter and of one that only holds copies, while they and others
// run: they say so, go on once the disk does, and are lost with it in the middle.
func playFullAndHangingDisks(t *testing.T, c *Cluster) {
	faults := script(t, `
		100ms full n2 3s
		300ms kill n4 --wipe --back 200ms
		3500ms hang n3 1s
		3700ms kill n4 --wipe --back 200ms
		5s full n4 500ms
		5500ms hang n4 500ms
		5700ms kill n1 --back 100ms
		7s wait`)
	judged(
		t,
		c,
		func() error {
			return errors.Join(c.Play(faults, nil), c.Repair(), c.WaitUntilReplicated(60*time.Second))
		},
	)
	logged(t, c.Nodes[1], "peers.disk_failed")
	logged(t, c.Nodes[1], "peers.disk_recovered")
	c.billed(t)
}

// Clocks that are minutes apart: a key is remembered for its window by each runner's own clock, and
// machines are lost meanwhile. The bill is not looked at: accounts tell uses apart by their times,
// and take those of clocks that are further apart than a window for several.
func playClocksApart(t *testing.T, c *Cluster) {
	judged(t, c, func() error {
		// the next one goes once all copies are made: more than half of the voters at once would
		// have nothing
		for _, n := range c.Nodes {
			time.Sleep(200 * time.Millisecond)
			if err := errors.Join(
				c.Play(script(t, "0s kill "+n.Name+" --wipe --back 100ms"), nil),
				c.WaitUntilReplicated(60*time.Second),
			); err != nil {
				return err
			}
		}
		return nil
	})
}

// before is the build that landed before this one: a fleet goes over to a new version one runner
// after the other, and back.
const before = "85a2e8a"

// withOldVersion are options of runners of the version before.
func withOldVersion(t *testing.T) (Options, error) {
	checkout, err := root()
	if err != nil {
		return Options{}, err
	}
	if err := exec.Command("git", "-C", checkout, "cat-file", "-e", before).Run(); err != nil {
		return Options{}, fmt.Errorf("%w, which does not have %s: %w", errSkip, before, err)
	}
	dir := t.TempDir()
	build := exec.Command(
		"sh",
		"-c",
		"mkdir src && git -C \"$0\" archive "+before+" | tar -x -C src && cd src && go build -o ../old "+
			"./cmd/ryepaddle",
		checkout,
	)
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return Options{}, fmt.Errorf("%s cannot be built: %w\n%s", before, err, out)
	}
	old := filepath.Join(dir, "old")
	return Options{Binaries: map[string]string{"n1": old, "n2": old, "n3": old, "n4": old}}, nil
}

// Runners of two versions are one fleet: each goes over to the new one while the others serve, and
// one goes back.
func playTwoVersions(t *testing.T, c *Cluster) {
	old := c.opt.Binaries["n1"]
	judged(t, c, func() error {
		for _, to := range []struct{ name, bin string }{{"n4", bin}, {"n1", bin}, {"n1", old}, {"n2", bin}} {
			n, err := c.Node(to.name)
			if err == nil {
				err = n.Drain()
			}
			if err == nil {
				c.opt.Binaries[to.name] = to.bin
				err = errors.Join(n.Start(), c.WaitUntilReplicated(60*time.Second))
			}
			if err != nil {
				return fmt.Errorf("%s: %w", to.name, err)
			}
		}
		return nil
	})
	c.billed(t)
}

// root is the folder of the checkout.
func root() (string, error) {
	out, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	return strings.TrimSpace(string(out)), err
}
