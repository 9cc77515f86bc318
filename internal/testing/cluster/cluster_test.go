package cluster

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/testing/historychecker"
)

var bin, faulty string // the program, and one whose disk can hang and whose clock can be wrong

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		panic(err)
	}
	bin, faulty = filepath.Join(dir, "ryepaddle"), filepath.Join(dir, "faulty")
	for path, tags := range map[string]string{bin: "", faulty: "faults"} {
		if out, err := exec.Command(
			"go",
			"build",
			"-race",
			"-tags",
			tags,
			"-o",
			path,
			"ryepaddle/cmd/runner",
		).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			os.Exit(1)
		}
	}
	flag.Parse()
	if err := flag.Set("test.parallel", "12"); err != nil { // they wait for most of their time
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// soak hands in while faults are played, and judges it. A run that fails says how it is played
// again.
func soak(t *testing.T, c *Cluster, l *Load, seed uint64, faults []Fault) {
	t.Helper()
	l.Start(c)
	if err := c.Play(faults, nil); err != nil {
		t.Error(err)
	}
	if err := c.Repair(); err != nil {
		t.Error(err)
	}
	l.Stop()
	t.Log(c)
	if v := c.Check(); len(v) > 0 {
		name, _, _ := strings.Cut(t.Name(), "/")
		t.Errorf(
			"%v\nagain with: RYEPADDLE_SEED=%d go test -race -run %s ./internal/testing/cluster\n%v",
			v,
			seed,
			name,
			faults,
		)
	}
	if n := c.History.Count(); n[historychecker.Served] < 50 ||
		n[historychecker.Rejected]+n[historychecker.Unknown] == 0 {
		t.Errorf("that tells nothing: %v", c)
	}
}

// seeds are those that are played: so many usually, or what the environment says.
func seeds(usual int) (first uint64, count int) {
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_SEED"), 10, 64); err == nil {
		return n, 1
	}
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_SEEDS")); err == nil {
		return 1, n
	}
	return 1, usual
}

func begin(t *testing.T, runners int) *Cluster {
	t.Helper()
	return start(t, Options{Runners: runners, Zones: 3, Servers: 3, Window: 10 * time.Minute})
}

func start(t *testing.T, opt Options) *Cluster {
	t.Helper()
	opt.Binary, opt.RunTime, opt.Timeout = bin, 2*time.Millisecond, 20*time.Second
	c, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeCluster(t, c) })
	return c
}

// closeCluster ends a cluster, with its logs where the test has failed.
func closeCluster(t *testing.T, c *Cluster) {
	t.Helper()
	if t.Failed() {
		for _, n := range c.Nodes {
			t.Logf("%s: %s", n.Name, n.Log(30))
		}
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// Keys that keep to their runner run once and keep their results over faults by seed, as no disk is
// lost. RYEPADDLE_SEEDS says how many seeds are played, RYEPADDLE_SEED plays one of them again.
func TestFaultsBySeed(t *testing.T) {
	t.Parallel()
	first, count := seeds(2)
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := begin(t, 3)
			l := &Load{Callers: 8, Repeats: 1}
			soak(t, c, l, seed, RandomFaults(seed, 16, 2*time.Second, len(c.Nodes), len(c.Servers), false, false))
		})
	}
}

// The checker finds what a lost disk breaks while nothing is copied: a key that was served is run
// again.
func TestALostDiskIsFound(t *testing.T) {
	t.Parallel()
	for _, line := range []string{"0s kill n1 --wipe", "0s start n1 --old"} {
		t.Run(strings.Fields(line)[1], func(t *testing.T) {
			t.Parallel()
			c := begin(t, 1)
			n := c.Nodes[0]
			hand := func(want historychecker.Outcome) {
				for told := (historychecker.Response{}); told.Outcome != want; {
					if told = c.SendKeyed(n, "a"); told.Outcome == historychecker.Failed {
						t.Fatalf("%v", told)
					}
				}
			}
			if err := c.Play(script(t, "0s aside n1"), nil); err != nil {
				t.Fatal(err)
			}
			hand(historychecker.Served)
			if v := c.Check(); len(v) > 0 {
				t.Fatal(v)
			}
			if err := c.Play(script(t, "0s kill n1\n"+line), nil); err != nil {
				t.Fatal(err)
			}
			if err := c.Repair(); err != nil {
				t.Fatal(err)
			}
			hand(historychecker.Served)
			if v := c.Check().String(); !strings.Contains(v, "a ran 2 times") ||
				!strings.Contains(v, "a has no order") {
				t.Errorf("it says %v", v)
			}
		})
	}
}

func script(t *testing.T, text string) []Fault {
	t.Helper()
	faults, err := ParseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	return faults
}

// A script is what its faults say of themselves, drawn ones too; bad lines are told with their
// number.
func TestScript(t *testing.T) {
	text := "0s aside n1\n1s kill n2 --wipe --back 1s\n2s stop n1 3s\n2s cut n1 s1\n2s cut n1 clients " +
		"1s\n3s hold n1 s2 1s --there\n3s hold n1 s2 --back-way\n" +
		"4s delay n1 s1 50ms\n4s drip n1 s1 100\n4s chop n3 clients 90\n5s heal n1 s1\n6s start n2 " +
		"--old\n7s drain n3 --back 0s\n9s wait"
	all := script(t, "# faults\n\n"+text)
	for _, f := range RandomFaults(7, 100, time.Minute, 5, 3, true, true) {
		all = append(all, script(t, f.String())...)
	}
	var lines []string
	for _, f := range all {
		lines = append(lines, f.String())
	}
	if diff := cmp.Diff(strings.Split(text, "\n"), lines[:14]); diff != "" {
		t.Error(diff)
	}
	for line, want := range map[string]string{"kill n1": "time", "1s": "verb", "1s explode n1": "unknown verb", "1s cut n1": "2 names", "1s kill": "1 names",
		"1s stop n1":        "needs a time",
		"1s stop n1 -1s":    "needs a time",
		"1s drip n1 s1 0":   "number",
		"1s kill n1 5s":     "more than",
		"1s kill n1 --back": "--back",
		"1s kill n1 --hard": "unknown flag", "-1s wait": "time", "1s chop n1 s1 x": "number"} {
		if _, err := ParseScript("\n" + line); err == nil || !strings.Contains(err.Error(), want) ||
			!strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", line, err)
		}
	}
	c := &Cluster{Nodes: []*Node{{Name: "n1"}}}
	for _, line := range []string{"0s kill n9", "0s cut n1 n2", "0s cut n9 s1"} {
		if c.Play(script(t, line), nil) == nil {
			t.Errorf("%q meets nobody and is played", line)
		}
	}
}
