package day

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/telemetry/traffic"
)

// recording returns the recording of a day drawn from a scenario.
func recording(t *testing.T, s *Spec) *traffic.Recording {
	t.Helper()
	h, requests := Draw(s, 1).Record(1_764_576_000_000_000)
	return &traffic.Recording{Header: h, Requests: requests}
}

// A replayed day has the times, classes, tenants, balancers, sizes and ranks of the recording. The work is
// drawn.
func TestReplayRepeatsRecordedRequests(t *testing.T) {
	s := parse(t, plainDay)
	recorded := Draw(s, 1).Arrivals
	again, r, err := s.WithTraffic(recording(t, s), 1)
	if err != nil {
		t.Fatal(err)
	}
	got := Draw(again, 9)
	if len(got.Arrivals) != len(recorded) || r.Retries != 0 || again.LengthS != 60 {
		t.Fatalf("%d requests, want %d; %d retries, want 0; length = %v s, want 60",
			len(got.Arrivals), len(recorded), r.Retries, again.LengthS)
	}
	same := 0
	for i, a := range got.Arrivals {
		b := recorded[i]
		if a.At != b.At-recorded[0].At || a.Class != b.Class || a.Tenant != b.Tenant || a.Balancer != b.Balancer ||
			math.Abs(a.SizeKB-b.SizeKB) > 1e-3 || math.Abs(a.Rank-b.Rank) > 1e-6 {
			t.Fatalf("replayed request %d = %+v, recorded as %+v", i, a, b)
		}
		if a.Work == b.Work {
			same++
		}
	}
	if same > 0 {
		t.Errorf("%d requests with the work that was drawn for another seed, want none", same)
	}
	if diff := cmp.Diff(got.Arrivals, Draw(again, 9).Arrivals); diff != "" {
		t.Errorf("two draws with one seed differ (-first +second)\n%s", diff)
	}
}

func TestReplayScalesTheRate(t *testing.T) {
	s := parse(t, plainDay)
	rec := recording(t, s)
	for _, rate := range []float64{0.25, 0.8, 1.5, 3} {
		again, _, err := s.WithTraffic(rec, rate)
		if err != nil {
			t.Fatal(err)
		}
		d := Draw(again, 2)
		if got := float64(len(d.Arrivals)) / float64(len(rec.Requests)); math.Abs(got/rate-1) > 0.03 {
			t.Errorf("replayed requests = %.3f times the recorded ones, want %v", got, rate)
		}
		ids, last, pairs := map[uint64]bool{}, time.Duration(0), 0
		for _, a := range d.Arrivals {
			if ids[a.ID] || a.At < last || a.At >= d.Length {
				t.Fatalf("rate %v: request %+v after time %v, want unique IDs and times in order within the day",
					rate, a, last)
			}
			if a.At == last {
				pairs++
			}
			ids[a.ID], last = true, a.At
		}
		if pairs > len(d.Arrivals)/100 {
			t.Errorf("rate %v: %d requests at the time of the previous one, want at most a hundredth", rate, pairs)
		}
	}
}

func TestReplayOmitsRetries(t *testing.T) {
	s := parse(t, plainDay)
	rec := recording(t, s)
	n := len(rec.Requests)
	for _, q := range rec.Requests[:n/2] { // each of the first half is retried a second later
		q.ArrivedAt = q.ArrivedAt.Add(time.Second)
		rec.Requests = append(rec.Requests, q)
	}
	again, r, err := s.WithTraffic(rec, 1)
	if err != nil || r.Retries != n/2 || len(Draw(again, 1).Arrivals) != n {
		t.Errorf("error = %v, want none; %d retries, want %d", err, r.Retries, n/2)
	}
}

func TestReplayRejectsUnfitRecordings(t *testing.T) {
	s := parse(t, plainDay)
	for _, c := range []struct {
		change func(*traffic.Recording)
		rate   float64
		want   string
	}{
		{
			func(r *traffic.Recording) { r.Classes[0] = "quiz" },
			1,
			`a class "quiz", which plain does not define`,
		},
		{func(r *traffic.Recording) { r.Tenants[0] = "x" }, 1, `a tenant "x", which plain does not define`},
		{func(r *traffic.Recording) { r.Requests = nil }, 1, "holds no requests"},
		{func(r *traffic.Recording) { r.Requests[0].ArrivedAt = 0 }, 1, "more than a day"},
		{func(*traffic.Recording) {}, 0, "a rate of 0 times"},
		{func(*traffic.Recording) {}, math.NaN(), "a rate of NaN times"},
	} {
		rec := recording(t, s)
		c.change(rec)
		var unfit *RecordingError
		_, _, err := s.WithTraffic(rec, c.rate)
		if !errors.As(err, &unfit) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error = %v, want one with %s", err, c.want)
		}
	}
}
