package fleet

import (
	"fmt"
	"testing"

	"ryepaddle/internal/simulator/day"
)

// BenchmarkDay simulates a minute of fleets of up to 200 runners, with 10 requests per second for each
// runner. It reports the events per second and per day, and the time per runner. Drawing the day is not
// measured.
func BenchmarkDay(b *testing.B) {
	for _, n := range []int{12, 25, 50, 100, 200} {
		b.Run(fmt.Sprintf("runners=%d", n), func(b *testing.B) {
			text := fmt.Sprintf(
				"name: bench\nlength_s: 60\nload: {rate_s: %d}\nfleet: {runners: %d}\nbalancers:\n"+
					"  - {count: 4, choose: round, retry: limitless, pause_ms: 20, heeds: 0.9}\n",
				10*n,
				n,
			)
			s, err := day.Parse("bench.yaml", []byte(text))
			if err != nil {
				b.Fatal(err)
			}
			d := day.Draw(s, 1)
			events := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				r, err := Play(d, Options{})
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n)/1e6, "ms/runner")
			b.ReportMetric(float64(events)/float64(b.N), "events/op")
		})
	}
}
