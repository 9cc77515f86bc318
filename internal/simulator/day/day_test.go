package day

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const plainDay = `name: plain
length_s: 60
load:
  of_capacity: [0.5, 0.7]
  curve:
    - {at_s: 0, times: 1}
    - {at_s: 30, times: 2}
fleet:
  runners: [10, 17]
balancers:
  - {count: 2, choose: round, retry: limitless, heeds: 0.5}
  - {choose: hash, share: 3}
troubles:
  - {kind: crash, at_s: [10, 20], for_s: 5, part: 0.2}
  - {kind: burst, at_s: 40, for_s: 5, times: 2, odds: 0.5}
`

func parse(t *testing.T, text string) *Spec {
	t.Helper()
	s, err := Parse("day.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestParseErrorsNameLineAndField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name: plain", "nam: plain", "day: day.yaml:1: field nam: unknown"},
		{"name: plain", "", "day: day.yaml:1: field name: missing"},
		{"length_s: 60", "length_s: sixty", "day: day.yaml:2: cannot unmarshal"},
		{"length_s: 60", "length_s: 0", "day: day.yaml:2: field length_s: 0 is not from 1 to 86400"},
		{"[0.5, 0.7]", "[0.7, 0.5]", "day: day.yaml:4: a range is [least, most]"},
		{"[0.5, 0.7]", "[0.5, 50]", "day: day.yaml:4: field load.of_capacity: 0.5 to 50 is not from 0 to 20"},
		{"at_s: 30", "at_s: -1", "day: day.yaml:7: field load.curve.1.at_s: -1 is before the previous point"},
		{"[10, 17]", "0", "day: day.yaml:9: field fleet.runners: 0 is not from 1 to 2000"},
		{"[10, 17]", "[10, 17]\n  speed: .nan", "field fleet.speed: NaN to NaN is not"},
		{"choose: round", "choose: any", `day: day.yaml:11: field balancers.0.choose: "any" is none of`},
		{
			"retry: limitless",
			"retry: always",
			`day: day.yaml:11: field balancers.0.retry: "always" is none of`,
		},
		{"heeds: 0.5", "heeds: 1.5", "day: day.yaml:11: field balancers.0.heeds: 1.5 is not from 0 to 1"},
		{"kind: crash", "kind: crush", `day: day.yaml:14: field troubles.0.kind: "crush" is none of`},
		{"kind: crash", "kind: cut", "day: day.yaml:14: field troubles.0.hall: missing"},
		{"part: 0.2", "hall: lund", `day: day.yaml:14: field troubles.0.hall: "lund" is not a hall`},
		{"times: 2,", "times: 0.5,", "day: day.yaml:15: field troubles.1.times: 0.5 is not from 1 to 1000"},
		{"troubles:", "classes:\n  - {name: a, share: 1, work_ms: 10, aim_ms: 900, deadline_ms: 800, " +
			"worth: 1, effect: safe}\ntroubles:",
			"day: day.yaml:14: field classes.0.aim_ms: 900 exceeds the deadline"},
		{"troubles:", "classes:\n  - {name: a, share: 1, work_ms: 10, aim_ms: 9, deadline_ms: 800, " +
			"worth: 1, effect: keyed}\ntroubles:",
			"day: day.yaml:14: field classes.0.window_ms: missing in a keyed class"},
		{
			"troubles:",
			"tenants: [{name: a, share: 1}, {name: a, share: 1}]\ntroubles:",
			`field tenants.1.name: "a" is empty or a duplicate`,
		},
		{plainDay, "", "day: day.yaml: empty"},
	} {
		_, err := Parse("day.yaml", []byte(strings.Replace(plainDay, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Parse() with %q: error = %v, want one with %s", c.new, err, c.want)
		}
	}
}

func TestDrawIsDeterministicAndWithinRanges(t *testing.T) {
	s := parse(t, plainDay)
	opts := []cmp.Option{cmpopts.IgnoreUnexported(Spec{})}
	if diff := cmp.Diff(Draw(s, 7), Draw(s, 7), opts...); diff != "" {
		t.Fatalf("two draws with one seed differ (-first +second)\n%s", diff)
	}
	seen := map[int]bool{}
	bursts := 0
	for seed := range uint64(40) {
		d := Draw(s, seed)
		n := len(d.Runners)
		seen[n] = true
		if n < 10 || n > 17 || d.RequestRate < 0.5*d.Capacity || d.RequestRate > 0.7*d.Capacity {
			t.Errorf("seed %d: %d runners, want 10 to 17; request rate = %v, want 0.5 to 0.7 of %v",
				seed, n, d.RequestRate, d.Capacity)
		}
		if at := d.Events[0].At; at < 10*time.Second || at > 20*time.Second ||
			len(d.Events[0].Runners) != int(math.Round(0.2*float64(n))) {
			t.Errorf("seed %d: crash = %+v, want one at 10 to 20 s of a fifth of %d runners", seed, d.Events[0], n)
		}
		bursts += len(d.Events) - 1
	}
	if len(seen) < 5 || bursts < 10 || bursts > 30 {
		t.Errorf("sizes of fleets = %v, want at least 5 sizes; %d bursts on 40 days, want 10 to 30", seen, bursts)
	}
}

func TestArrivalsFollowCurveAndShares(t *testing.T) {
	s := parse(t, plainDay)
	s.Troubles = nil
	byClass, byBalancer := make([]float64, 3), make([]float64, 3)
	early, late, work, calls := 0.0, 0.0, 0.0, 0.0
	var d *Day
	want := 0.0
	for seed := range uint64(5) {
		d = Draw(s, seed)
		want += d.RequestRate * (30*1.5 + 30*2)
		last := time.Duration(0)
		for _, a := range d.Arrivals {
			if a.At < last || a.At >= d.Length {
				t.Fatalf("arrival at %v after one at %v, want times in order within the day", a.At, last)
			}
			last = a.At
			if a.At < 10*time.Second {
				early++
			} else if a.At >= 50*time.Second {
				late++
			}
			byClass[a.Class]++
			byBalancer[a.Balancer]++
			if a.Class == 1 {
				work += a.Work / 1000 / d.MeanWorkMs[1]
				calls += float64(len(a.Calls))
			}
		}
	}
	all := byClass[0] + byClass[1] + byClass[2]
	ratio := func(what string, got, want, tolerance float64) {
		t.Helper()
		if math.Abs(got/want-1) > tolerance {
			t.Errorf("%s = %.3f, want %.3f", what, got, want)
		}
	}
	ratio("requests", all, want, 0.03)
	ratio("ratio of late to early requests", late/early, 2/(7.0/6), 0.1)
	ratio("share of class quick-check", byClass[0]/all, 0.42, 0.05)
	ratio("share of class hand-in", byClass[2]/all, 0.23, 0.05)
	ratio("share of the third balancer", byBalancer[2]/all, 0.6, 0.05)
	ratio("mean work, relative to that of the class", work/byClass[1], 1, 0.05)
	if calls != 0 {
		t.Error("requests of class full-check make calls, want none")
	}
}

func TestBurstsKeepTheMeanRate(t *testing.T) {
	s := parse(t, plainDay)
	s.Troubles, s.Load.Curve = nil, nil
	s.LengthS = 200
	variance := func(b float64) float64 {
		s.Load.Burstiness = Range{b, b}
		d := Draw(s, 1)
		n := make([]float64, 800)
		for _, a := range d.Arrivals {
			n[a.At/(250*time.Millisecond)]++
		}
		mean, sum := float64(len(d.Arrivals))/800, 0.0
		for _, v := range n {
			sum += (v - mean) * (v - mean)
		}
		if math.Abs(mean*4/d.RequestRate-1) > 0.08 {
			t.Errorf("burstiness %v: request rate = %.1f per second, want %.1f", b, mean*4, d.RequestRate)
		}
		return sum / 800 / mean
	}
	if even, bursty := variance(0), variance(0.5); even > 1.2 || bursty < 3 {
		t.Errorf("variance over mean = %.2f without bursts, want at most 1.2; %.2f with bursts, want at least 3",
			even, bursty)
	}
}

func TestQuotasBoundRequestsInShare(t *testing.T) {
	s := parse(t, plainDay)
	s.Goal.QuotaOf = Range{0.3, 0.3} // of the capacity, with a load of up to 1.4 times the capacity
	d := Draw(s, 1)
	in := 0
	for _, a := range d.Arrivals {
		if a.InShare {
			in++
		}
	}
	if got := float64(in) / 60; math.Abs(got/(0.3*d.Capacity)-1) > 0.1 {
		t.Errorf("requests within quota = %.1f per second, want %.1f", got, 0.3*d.Capacity)
	}
}

func TestRanksFollowPriorityWeights(t *testing.T) {
	d := Draw(parse(t, plainDay), 1)
	for _, a := range d.Arrivals {
		if lo := float64(a.Class) / 3; a.Rank < lo-1e-9 || a.Rank >= lo+1.0/3+1e-9 {
			t.Fatalf("request of class %d has rank %v, want one within the third of its class", a.Class, a.Rank)
		}
	}
}
