package cluster

import (
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

// BenchmarkHandIn is hand-ins, and checks without a key, at one of three runners that keep none, one or two copies on others, with an account of
// usage or without. Run it with -benchtime 3000x and RYEPADDLE_BIN, a program without the race detector.
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
				b.Run(fmt.Sprintf("copies=%d/billed=%v/callers=%d%s", how.copies, how.billed, callers, path), func(b *testing.B) {
					opt := Options{Bin: program, Runners: 3, Halls: 3, Servers: 3, Window: 2 * time.Second, Patience: 20 * time.Second, Copies: how.copies}
					if how.copies == 0 {
						opt.Operator = Forgetting
					} else if !how.billed {
						opt.Operator = unbilled
					}
					c, err := Start(opt)
					if err != nil {
						b.Fatal(err)
					}
					defer c.Close()
					if err := c.Taking(30 * time.Second); err != nil {
						b.Fatal(err)
					}
					measure(b, c, path, callers)
				})
			}
		}
	}
}

// unbilled is Copying without an account of usage.
func unbilled(n *Node) (string, error) {
	text, err := Copying(n)
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
				if status, _ := Ask(c.Nodes[0].door.Addr(), path, fmt.Sprint("key", k), 20*time.Second); status != 200 {
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
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
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
