package bulkhead

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprint(waiting, " wait"), func(b *testing.B) {
			cfg := testConfig()
			cfg.InitialLimit, cfg.MaxQueueLength, cfg.LimitAlgorithm = 64, 1000, GradientLimit
			s := New(cfg, 0)
			var running []*Request
			now := time.Duration(0)
			rnd := rand.New(rand.NewPCG(1, 1))
			offer := func(r *Request) {
				*r = Request{
					Class:    rnd.IntN(3),
					Tenant:   rnd.IntN(2),
					Caller:   uint32(rnd.IntN(4)),
					Deadline: now + far,
				}
				s.Enqueue(r, now)
				granted, _ := s.TakeDecisions()
				running = append(running, granted...)
			}
			for s.Running() < 50 || s.Waiting() < waiting {
				offer(new(Request))
			}
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				r := running[0]
				running = running[1:]
				s.Done(r, Success, now)
				granted, _ := s.TakeDecisions()
				running = append(running, granted...)
				offer(r)
				if len(running) == 0 {
					b.Fatal("no request has a slot")
				}
			}
		})
	}
}
