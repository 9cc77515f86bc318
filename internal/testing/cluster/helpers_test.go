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

	"ryepaddle/internal/testing/historychecker"
)

// runnerBinary is the path of the runner's program. faultsBinary is built with the tag faults, so that
// its disk can hang and its clock can be wrong.
var runnerBinary, faultsBinary string

// parallelTests is the number of tests that run in parallel. They wait most of the time.
const parallelTests = "12"

const (
	// shortWindow is the idempotency window among peers. Replica sets that start without data accept
	// no keyed requests for as long.
	shortWindow = 3 * time.Second
	// longWindow is the idempotency window of keys on a disk.
	longWindow = 10 * time.Minute
	// replicationTimeout bounds the wait until all copies are complete.
	replicationTimeout = 60 * time.Second
	// acceptTimeout bounds the wait until a keyed request is served.
	acceptTimeout = 30 * time.Second
	// conditionTimeout bounds the wait of waitFor.
	conditionTimeout = 30 * time.Second
	// sendTimeout bounds an attempt, and the attempts of a key until it has the wanted outcome.
	sendTimeout = 20 * time.Second
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		panic(err)
	}
	runnerBinary = filepath.Join(dir, "ryepaddle")
	faultsBinary = filepath.Join(dir, "faults")
	for path, tags := range map[string]string{runnerBinary: "", faultsBinary: "faults"} {
		build := exec.Command("go", "build", "-race", "-tags", tags, "-o", path, "ryepaddle/cmd/runner")
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			os.Exit(1)
		}
	}
	flag.Parse()
	if err := flag.Set("test.parallel", parallelTests); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// seeds returns the first seed and the number of seeds to play. They are 1 and usual, unless
// RYEPADDLE_SEED selects a single seed or RYEPADDLE_SEEDS the number.
func seeds(usual int) (first uint64, count int) {
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_SEED"), 10, 64); err == nil {
		return n, 1
	}
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_SEEDS")); err == nil {
		return 1, n
	}
	return 1, usual
}

// startCluster starts a cluster that is closed when the test ends.
func startCluster(t *testing.T, opt Options) *Cluster {
	t.Helper()
	setTestDefaults(&opt)
	c, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeCluster(t, c) })
	return c
}

// setTestDefaults sets the options that all tests share.
func setTestDefaults(opt *Options) {
	opt.Binary = runnerBinary
	opt.RunTime = 2 * time.Millisecond
	opt.Timeout = 20 * time.Second
}

// startWithStore starts runners that store their keys on their disks.
func startWithStore(t *testing.T, runners int) *Cluster {
	t.Helper()
	return startCluster(t, Options{Runners: runners, Zones: 3, Servers: 3, Window: longWindow})
}

// startAccepting starts a cluster of peers, waits until all copies are complete, and then until it
// accepts keyed requests. replication and accept bound the two waits.
func startAccepting(t *testing.T, opt Options, replication, accept time.Duration) *Cluster {
	t.Helper()
	c := startCluster(t, opt)
	if err := c.WaitUntilReplicated(replication); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitUntilAccepting(accept); err != nil {
		t.Fatal(err)
	}
	return c
}

// startPeers starts peers in two zones and waits until they accept keyed requests.
func startPeers(t *testing.T, runners, replicas int) *Cluster {
	t.Helper()
	opt := Options{
		Runners:  runners,
		Zones:    2,
		Servers:  2,
		Window:   shortWindow,
		Replicas: replicas,
	}
	return startAccepting(t, opt, replicationTimeout, acceptTimeout)
}

func waitUntilReplicated(t *testing.T, c *Cluster) {
	t.Helper()
	if err := c.WaitUntilReplicated(replicationTimeout); err != nil {
		t.Fatal(err)
	}
}

// closeCluster closes a cluster, and logs its runners' last lines if the test has failed.
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

func parseScript(t *testing.T, text string) []Fault {
	t.Helper()
	faults, err := ParseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	return faults
}

// playLines plays the faults of a script.
func playLines(t *testing.T, c *Cluster, text string) {
	t.Helper()
	if err := c.Play(parseScript(t, text), nil); err != nil {
		t.Fatal(err)
	}
}

// playUnderLoad plays faults under load, repairs them, and checks the history. The message of a
// failure has the command that plays the same faults again.
func playUnderLoad(t *testing.T, c *Cluster, l *Load, seed uint64, faults []Fault) {
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
			"%v\nrepeat with: RYEPADDLE_SEED=%d go test -race -run %s ./internal/testing/cluster\n%v",
			v,
			seed,
			name,
			faults,
		)
	}
	count := c.History.Count()
	if count[historychecker.Served] < 50 || count[historychecker.Rejected]+count[historychecker.Unknown] == 0 {
		t.Errorf("too few outcomes to check: %v", c)
	}
}

// sendUntil sends a key to a runner until it has the wanted outcome, and returns the response.
func sendUntil(
	t *testing.T,
	c *Cluster,
	n *Node,
	key string,
	want historychecker.Outcome,
) historychecker.Response {
	t.Helper()
	for deadline := time.Now().Add(sendTimeout); ; time.Sleep(pollInterval) {
		response := c.SendKeyed(n, key)
		if response.Outcome == want {
			return response
		}
		if time.Now().After(deadline) {
			t.Fatalf("last response to key %s at %s = %v, not the wanted outcome", key, n.Name, response)
		}
	}
}

func waitFor(t *testing.T, condition string, isTrue func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !isTrue(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %v: %s", conditionTimeout, condition)
		}
	}
}

func checkHistory(t *testing.T, c *Cluster) {
	t.Helper()
	if v := c.Check(); len(v) > 0 {
		t.Error(v)
	}
}

// checkBill drains all runners and checks that each key that was served is billed once.
func checkBill(t *testing.T, c *Cluster) {
	t.Helper()
	v, bill, err := c.ReconcileUsage()
	if err != nil {
		t.Fatal(err)
	}
	if len(v) > 0 {
		t.Error(v)
	}
	t.Logf(
		"bill: %d statements, %d duplicate statements, %d requests in two accounts",
		bill.Statements,
		bill.DuplicateStatements,
		bill.DeduplicatedRuns,
	)
}
