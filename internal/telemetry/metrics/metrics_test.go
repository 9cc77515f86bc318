package metrics

import (
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// A request that was answered is in all metrics of its class and status, with its ID as an exemplar; a
// negative latency counts as 0. It is negative if the clock was set back.
func TestAnsweredRequestIsInAllMetrics(t *testing.T) {
	m := New(
		func(int) string { return "hand-in" },
		map[lifecycle.Status]string{lifecycle.Rejected: "refused"},
		func() []Sample {
			return []Sample{
				{Name: "ryepaddle_open", Help: "Requests.", Value: 3},
				{
					Name: "ryepaddle_read_total", Help: "Requests.", Value: 7, Monotonic: true,
					Labels: map[string]string{"class": "hand-in"},
				},
			}
		},
	)
	arrived := wallclock.FromTime(time.Unix(1_700_000_000, 0))
	trace := &lifecycle.Trace{
		ID:           "r-1",
		ArrivedAt:    arrived,
		StartedAt:    arrived.Add(-time.Second),
		AnsweredAt:   arrived.Add(30 * time.Millisecond),
		Status:       lifecycle.Rejected,
		Cause:        lifecycle.CauseNoServer,
		AttemptCount: 2,
	}
	m.Observe(trace)
	text, err := m.Text()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`ryepaddle_request_seconds_bucket{class="hand-in",end="refused",le="0.025"} 0`,
		`ryepaddle_request_seconds_bucket{class="hand-in",end="refused",le="0.05"} 1 # {id="r-1"} 0.03`,
		`ryepaddle_wait_seconds_bucket{class="hand-in",le="0.005"} 1 # {id="r-1"} 0.0`,
		`ryepaddle_wait_seconds_sum{class="hand-in"} 0.0`,
		`ryepaddle_causes_total{cause="no server took it",class="hand-in",end="refused"} 1.0`,
		`ryepaddle_tries_total{class="hand-in"} 2.0`,
		"# TYPE ryepaddle_open gauge",
		"ryepaddle_open 3.0",
		"# TYPE ryepaddle_read counter",
		`ryepaddle_read_total{class="hand-in"} 7.0`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("Text() lacks %s:\n%s", want, text)
		}
	}
}
