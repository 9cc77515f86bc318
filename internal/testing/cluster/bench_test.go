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

// BenchmarkHandIn is hand-ins, and checks without a key, at one of three runners that keep none,
// one or two copies on others, with an account of usage or without. Run it with -benchtime 3000x
// and RYEPADDLE_BIN, a program without the race detector.
func BenchmarkHandIn(b *testing.B) {
	program := os.Getenv("RYEPADDLE_BIN")
	if program == "" {
		b.Skip("RYEPADDLE_BIN names no program")
	}
	for _, how := range []struct {
		copies int
		billed bool
	}{{0, false}, {1, false}, {1, true}, {2, false}, {2, true}} {
		for _, callers := range []int{1, 16} {
			for _, path := range []string{"/ops/hand-in", "/ops/quick-check"} {
				b.Run(
					fmt.Sprintf("copies=%d/billed=%v/callers=%d%s", how.copies, how.billed, callers, path),
					func(b *testing.B) {
						opt := Options{
							Binary:   program,
							Runners:  3,
							Zones:    3,
							Servers:  3,
							Window:   2 * time.Second,
							Timeout:  20 * time.Second,
							Replicas: how.copies,
						}
						if how.copies == 0 {
							opt.Operator = WithoutStore
						} else if !how.billed {
							opt.Operator = unbilled
						}
						c, err := Start(opt)
						if err != nil {
							b.Fatal(err)
						}
						defer c.Close()
						if err := c.WaitUntilAccepting(30 * time.Second); err != nil {
							b.Fatal(err)
						}
						measure(b, c, path, callers)
					},
				)
			}
		}
	}
}

// unbilled is Copying without an account of usage.
func unbilled(n *Node) (string, error) {
	text, err := WithReplicas(n)
	text, _, _ = strings.Cut(text, "usage:")
	return text, err
}

func measure(b *testing.B, c *Cluster, path string, callers int) {
	b.Helper()
	var next, failed atomic.Int64
	var mu sync.Mutex
	times := hdrhistogram.New(1, 60_000_000, 3)
	before := c.cpu()
	var all sync.WaitGroup
	b.ResetTimer()
	for range callers {
		all.Go(func() {
			for k := next.Add(1); k <= int64(b.N); k = next.Add(1) {
				began := time.Now()
				if status, _ := SendRequest(
					c.Nodes[0].clientLink.Addr(),
					path,
					fmt.Sprint("key", k),
					20*time.Second,
				); status != 200 {
					failed.Add(1)
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	b.StopTimer()
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric((c.cpu()-before)/float64(b.N)*1000, "cpu-ms/op")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// cpu is the processor time of all runners, in seconds.
func (c *Cluster) cpu() (sum float64) {
	for _, n := range c.Nodes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.command.Process.Pid))
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		for _, f := range fields[11:13] { // user and system, in ticks of 10 ms
			ticks, _ := strconv.ParseFloat(f, 64)
			sum += ticks / 100
		}
	}
	return sum
}

// TestRepairBesideService is for a run by hand: RYEPADDLE_REPAIR keys with 1.2 KB of result each
// are kept by five runners with one copy, one of which is lost with its disk and comes back, and
// RYEPADDLE_BIN is a program without the race detector. It tells how long it takes until copies are
// whole, and what hand-ins and checks took and lost before and meanwhile.
func TestRepairBesideService(t *testing.T) {
	keys, err := strconv.Atoi(os.Getenv("RYEPADDLE_REPAIR"))
	program := os.Getenv("RYEPADDLE_BIN")
	if err != nil || program == "" {
		t.Skip("RYEPADDLE_REPAIR and RYEPADDLE_BIN say that it is wanted")
	}
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
	defer c.Close()
	if err := errors.Join(c.WaitUntilReplicated(30*time.Second), c.WaitUntilAccepting(150*time.Second)); err != nil {
		t.Fatal(err)
	}
	for _, s := range c.Servers {
		s.SetResultSize(1200)
	}
	full := &Load{Callers: 16, Keys: keys, MaxAttempts: 100}
	began := time.Now()
	full.Start(c)
	full.Wait()
	t.Logf("%d keys in %.1f s; %v", keys, time.Since(began).Seconds(), c)
	watch := func(what string, while func()) {
		over := make(chan struct{})
		var all sync.WaitGroup
		for _, path := range []string{"/ops/hand-in", "/ops/quick-check"} {
			times, failed, n := hdrhistogram.New(1, 60_000_000, 3), 0, 0
			all.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-over:
						t.Logf(
							"%s, %s: %d asked, %d not served, p50 %.1f ms, p99 %.1f ms, longest %.0f ms",
							what,
							path,
							n,
							failed,
							float64(times.ValueAtQuantile(50))/1000,
							float64(times.ValueAtQuantile(99))/1000,
							float64(times.Max())/1000,
						)
						return
					case <-time.After(5 * time.Millisecond):
					}
					at := time.Now()
					node := c.Nodes[[]int{0, 2, 3, 4}[k%4]] // those that stay
					if status, _ := SendRequest(
						node.clientLink.Addr(),
						path,
						fmt.Sprint(what, k),
						20*time.Second,
					); status != 200 {
						failed++
					}
					n++
					_ = times.RecordValue(time.Since(at).Microseconds())
				}
			})
		}
		while()
		close(over)
		all.Wait()
	}
	watch("before", func() { time.Sleep(5 * time.Second) })
	watch("meanwhile", func() {
		began := time.Now()
		if err := c.Play(
			[]Fault{{Action: "kill", Targets: []string{"n2"}, WipeDisk: true, RestartAfter: 100 * time.Millisecond}},
			nil,
		); err != nil {
			t.Error(err)
		}
		if err := c.WaitUntilReplicated(90 * time.Second); err != nil {
			t.Error(err)
		}
		t.Logf("whole after %.1f s", time.Since(began).Seconds())
	})
	for _, n := range c.Nodes {
		t.Logf("%s: %d MB resident", n.Name, n.resident()>>20)
	}
}

// resident is the memory of a runner's process.
func (n *Node) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
	if fields := strings.Fields(string(text)); err == nil && len(fields) > 1 {
		pages, _ := strconv.Atoi(fields[1])
		return pages * os.Getpagesize()
	}
	return 0
}
