package cluster

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// readPath is the path of requests without a key.
const readPath = "/ops/quick-check"

// maxLatency is the largest latency that a histogram records, in microseconds.
const maxLatency = 60_000_000

// clockTicks is the number of ticks per second in the processor times of /proc.
const clockTicks = 100

// replicationCase is the number of further copies of a key, and whether usage is recorded.
type replicationCase struct {
	replicas  int
	withUsage bool
}

// BenchmarkKeyedRequests measures requests with an idempotency key, and reads without one, at one of
// three runners that keep no, one or two further copies, with and without an account of usage. Run it with
// -benchtime 3000x, and with RYEPADDLE_BIN, a program without the race detector.
func BenchmarkKeyedRequests(b *testing.B) {
	program := os.Getenv("RYEPADDLE_BIN")
	if program == "" {
		b.Skip("RYEPADDLE_BIN names no program")
	}
	for _, rc := range []replicationCase{{0, false}, {1, false}, {1, true}, {2, false}, {2, true}} {
		for _, callers := range []int{1, 16} {
			for _, path := range []string{keyedPath, readPath} {
				name := fmt.Sprintf("replicas=%d/usage=%v/callers=%d%s", rc.replicas, rc.withUsage, callers, path)
				b.Run(name, func(b *testing.B) {
					measureRequests(b, startForBenchmark(b, program, rc), path, callers)
				})
			}
		}
	}
}

func startForBenchmark(b *testing.B, program string, rc replicationCase) *Cluster {
	b.Helper()
	opt := Options{
		Binary:   program,
		Runners:  3,
		Zones:    3,
		Servers:  3,
		Window:   2 * time.Second,
		Timeout:  20 * time.Second,
		Replicas: rc.replicas,
	}
	switch {
	case rc.replicas == 0:
		opt.Operator = WithoutStore
	case !rc.withUsage:
		opt.Operator = withoutUsage
	}
	c, err := Start(opt)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	if err := c.WaitUntilAccepting(acceptTimeout); err != nil {
		b.Fatal(err)
	}
	return c
}

// withoutUsage is WithReplicas without an account of usage.
func withoutUsage(n *Node) (string, error) {
	text, err := WithReplicas(n)
	text, _, _ = strings.Cut(text, "usage:")
	return text, err
}

// measureRequests sends b.N requests to the first runner.
func measureRequests(b *testing.B, c *Cluster, path string, callers int) {
	b.Helper()
	var next, failed atomic.Int64
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, maxLatency, 3)
	before := c.processorTime()
	var running sync.WaitGroup
	b.ResetTimer()
	for range callers {
		running.Go(func() {
			for k := next.Add(1); k <= int64(b.N); k = next.Add(1) {
				started := time.Now()
				status, _ := SendRequest(c.Nodes[0].clientLink.Addr(), path, fmt.Sprint("key", k), sendTimeout)
				if status != 200 {
					failed.Add(1)
				}
				mu.Lock()
				_ = latencies.RecordValue(time.Since(started).Microseconds()) // far below the maximum
				mu.Unlock()
			}
		})
	}
	running.Wait()
	b.StopTimer()
	b.ReportMetric(milliseconds(latencies.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(milliseconds(latencies.ValueAtQuantile(99)), "p99-ms")
	b.ReportMetric((c.processorTime()-before)/float64(b.N)*1000, "cpu-ms/op")
	b.ReportMetric(float64(failed.Load()), "failed")
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// processorTime returns the processor time of all runners, in seconds.
func (c *Cluster) processorTime() (sum float64) {
	for _, n := range c.Nodes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.command.Process.Pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		for _, field := range fields[11:13] { // user and system
			ticks, _ := strconv.ParseFloat(field, 64)
			sum += ticks / clockTicks
		}
	}
	return sum
}

// TestRepairBesideService measures the repair of copies while requests are served; it is run by hand.
// Five runners keep RYEPADDLE_REPAIR keys with results of 1.2 KB and one further copy of each. One
// runner is lost with its disk and restarted. The test logs the time until all copies are complete,
// and the latencies and failures of keyed requests and reads before and during the repair.
// RYEPADDLE_BIN is a program without the race detector, RYEPADDLE_RATE the value of repair_kb.
func TestRepairBesideService(t *testing.T) {
	keys, err := strconv.Atoi(os.Getenv("RYEPADDLE_REPAIR"))
	program := os.Getenv("RYEPADDLE_BIN")
	if err != nil || program == "" {
		t.Skip("RYEPADDLE_REPAIR and RYEPADDLE_BIN are not set")
	}
	c := startForRepair(t, program)
	for _, s := range c.Servers {
		s.SetResultSize(1200)
	}
	load := &Load{Callers: 16, Keys: keys, MaxAttempts: 100}
	started := time.Now()
	load.Start(c)
	load.Wait()
	t.Logf("%d keys in %.1f s; %v", keys, time.Since(started).Seconds(), c)
	logLatenciesDuring(t, c, "before", func() { time.Sleep(5 * time.Second) })
	logLatenciesDuring(t, c, "meanwhile", func() { loseAndRepair(t, c) })
	for _, n := range c.Nodes {
		t.Logf("%s: %d MB resident", n.Name, n.residentBytes()>>20)
	}
}

func startForRepair(t *testing.T, program string) *Cluster {
	t.Helper()
	opt := Options{
		Binary:   program,
		Runners:  5,
		Zones:    3,
		Servers:  3,
		Window:   100 * time.Second,
		Timeout:  20 * time.Second,
		Replicas: 1,
	}
	if rate := os.Getenv("RYEPADDLE_RATE"); rate != "" {
		opt.Operator = func(n *Node) (string, error) {
			text, err := WithReplicas(n)
			return strings.Replace(text, "  slots: 16\n", "  slots: 16\n  repair_kb: "+rate+"\n", 1), err
		}
	}
	c, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := errors.Join(c.WaitUntilReplicated(30*time.Second), c.WaitUntilAccepting(150*time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// loseAndRepair kills the second runner, empties its disk, and waits until all copies are complete.
func loseAndRepair(t *testing.T, c *Cluster) {
	t.Helper()
	started := time.Now()
	if err := c.Play(parseScript(t, "0s kill n2 --wipe --back 100ms"), nil); err != nil {
		t.Error(err)
	}
	if err := c.WaitUntilReplicated(90 * time.Second); err != nil {
		t.Error(err)
	}
	t.Logf("all copies complete after %.1f s", time.Since(started).Seconds())
}

// logLatenciesDuring sends keyed requests and reads during a phase, and logs their latencies.
func logLatenciesDuring(t *testing.T, c *Cluster, phase string, during func()) {
	t.Helper()
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, path := range []string{keyedPath, readPath} {
		running.Go(func() {
			t.Logf("%s, %s: %s", phase, path, sendUntilClosed(c, phase, path, done))
		})
	}
	during()
	close(done)
	running.Wait()
}

// sendUntilClosed sends a request every 5 ms, in turn to the runners that are not killed, until done
// is closed. It returns a summary of failures and latencies.
func sendUntilClosed(c *Cluster, phase, path string, done chan struct{}) string {
	latencies := hdrhistogram.New(1, maxLatency, 3)
	remaining := []int{0, 2, 3, 4}
	failed := 0
	for k := 0; ; k++ {
		select {
		case <-done:
			return fmt.Sprintf(
				"%d sent, %d not served, p50 %.1f ms, p99 %.1f ms, longest %.0f ms",
				k,
				failed,
				milliseconds(latencies.ValueAtQuantile(50)),
				milliseconds(latencies.ValueAtQuantile(99)),
				milliseconds(latencies.Max()),
			)
		case <-time.After(5 * time.Millisecond):
		}
		started := time.Now()
		node := c.Nodes[remaining[k%len(remaining)]]
		status, _ := SendRequest(node.clientLink.Addr(), path, fmt.Sprint(phase, k), sendTimeout)
		if status != 200 {
			failed++
		}
		_ = latencies.RecordValue(time.Since(started).Microseconds()) // far below the maximum
	}
}

// residentBytes returns the resident memory of a runner's process; 0: unknown.
func (n *Node) residentBytes() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}
