package picker

import (
	"fmt"
	"testing"
	"time"

	"ryepaddle/internal/balancer/concurrencylimit"
	"ryepaddle/internal/balancer/endpointhealth"
)

// BenchmarkPick measures Pick together with Sent and Done for the picked server.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 200, 5000} {
		for _, kind := range []string{"drawn", "key"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				cfg := DefaultConfig(64)
				cfg.KeyAffinity, cfg.Zones = kind == "key", []string{"a", "b"}
				cfg.ConcurrencyLimit = concurrencylimit.DefaultConfig(64)
				p := newTestPicker(cfg, testSpecs(n, "a", "b", "c"))
				q := Query{Now: 2 * time.Second}
				if kind == "key" {
					q.Key = "0123456789abcdef"
				}
				b.ReportAllocs()
				for b.Loop() {
					q.Now += 100 * time.Microsecond
					to, _ := p.Pick(&q)
					p.Sent(to)
					p.Done(to, 0, endpointhealth.Success, time.Millisecond, q.Now)
				}
			})
		}
	}
}

// BenchmarkUpdateEndpoints measures an update in which one server has changed.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, n := range []int{17, 200, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := DefaultConfig(64)
			cfg.KeyAffinity = true
			list := testSpecs(n, "a", "b", "c")
			p := newTestPicker(cfg, list)
			k := 0
			for b.Loop() {
				k++
				list[k%n].Addr = fmt.Sprint(k)
				p.UpdateEndpoints(list, time.Duration(k)*time.Microsecond)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{17, 200, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPicker(DefaultConfig(64), testSpecs(n, "a", "b", "c"))
			now := 2 * time.Second
			for _, x := range p.Servers() {
				for range 30 {
					p.Sent(x)
					p.Done(x, 0, endpointhealth.Success, time.Millisecond, now)
				}
			}
			for b.Loop() {
				now += 10 * time.Microsecond
				p.Tick(now)
			}
		})
	}
}
