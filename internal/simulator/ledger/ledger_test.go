package ledger

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func newTestLedger(length time.Duration) *Ledger {
	return New(
		[]Class{
			{"check", 100 * ms, 500 * ms, 1, 0.2},
			{"hand-in", 100 * ms, 500 * ms, 3, 0},
			{"rare", 100 * ms, 500 * ms, 1, 0},
		},
		[]string{
			"north",
			"south",
		},
		Goal{Whole: 0.45, WorstWindow: 0.15, WorstClass: 0.3, WorstTenant: 0.1, OverWorth: 0.05,
			Waste: 0.05, LateFail: 0.044, Window: 2 * time.Second},
		length,
	)
}

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

func TestScoreWeighsSharesAndPenalties(t *testing.T) {
	l := newTestLedger(4 * time.Second)
	at := func(s float64, class, tenant int, in bool) Request {
		return Request{
			At:      time.Duration(s * float64(time.Second)),
			Class:   class,
			Tenant:  tenant,
			InShare: in,
			Work:    1000,
		}
	}
	l.AddRequest(1, at(0.5, 0, 0, true))
	l.EndRequest(1, WithinObjective, 100*ms)
	l.AddRequest(2, at(1.5, 0, 0, true))
	l.EndRequest(2, WithinObjective, 101*ms) // after its latency objective
	l.AddRequest(3, at(2.5, 1, 1, true))
	l.EndRequest(3, WithinObjective, 50*ms)
	l.AddRequest(4, at(3.5, 1, 1, false))
	l.EndRequest(4, TimedOut, 500*ms)
	l.AddUsefulWork(2000)
	r, err := l.Close(4000)
	if err != nil {
		t.Fatal(err)
	}
	asked := 1 + 1 + 3 + 0.15
	checkNear(t, "whole", r.Whole, (1+0.2+3)/asked)
	checkNear(t, "worst class", r.WorstClass, 1.2/2) // the class without requests does not count
	// The other tenant's request beyond its quota does not count.
	checkNear(t, "worst tenant", r.WorstTenant, 1.2/2)
	checkNear(t, "worst window", r.WorstWindow, 3.2/4) // the windows from 1 to 3 s and from 2 to 4 s
	checkNear(t, "waste", r.Waste, 0.5)
	checkNear(t, "weight of late failures", r.LateFail, 0.15/asked)
	checkNear(t, "worth", r.Worth, 0.45*4.2/asked+0.15*0.8+0.3*0.6+0.1*0.6-0.05*0.5-0.044*0.15/asked)
	checkNear(t, "served share without requests", r.Classes[2].Served, 1)
	if r.Score != r.Worth || r.Classes[0].P50Ms < 99 || r.Classes[0].P50Ms > 102 {
		t.Errorf("score = %v, want the worth; p50 of class check = %v ms, want 99 to 102", r.Score, r.Classes[0].P50Ms)
	}
}

func TestViolationMakesTheScoreZero(t *testing.T) {
	l := newTestLedger(4 * time.Second)
	l.AddRequest(1, Request{InShare: true})
	l.EndRequest(1, WithinObjective, time.Microsecond)
	l.AddViolation(Duplicate, 1500*ms, "hand-in %d", 7)
	r, err := l.Close(0)
	if err != nil || r.Score != 0 || r.Worth < 0.9 || r.Rules["duplicate"] != 1 ||
		r.Notes[0] != "1.500 s: duplicate: hand-in 7" {
		t.Fatalf("Close() = %+v, %v; want score 0, worth 0.9 or more, and one duplicate with its note", r, err)
	}
}

func TestDayWithoutRequestsScoresOne(t *testing.T) {
	r, err := newTestLedger(4 * time.Second).Close(0)
	if err != nil || math.Abs(r.Worth-1) > 1e-9 || math.IsNaN(r.Score) {
		t.Fatalf("Close() = %+v, %v; want worth 1 and a score", r, err)
	}
}

func TestInconsistentAccountIsAnError(t *testing.T) {
	l := newTestLedger(4 * time.Second)
	l.AddRequest(1, Request{})
	var inconsistent *InconsistencyError
	if _, err := l.Close(0); !errors.As(err, &inconsistent) || !strings.Contains(err.Error(), "has not ended") {
		t.Errorf("Close() with a request that has not ended: error = %v, want an InconsistencyError", err)
	}
	l.EndRequest(1, Failed, time.Microsecond)
	l.EndRequest(1, WithinObjective, time.Microsecond)
	if _, err := l.Close(0); !errors.As(err, &inconsistent) ||
		!strings.Contains(err.Error(), "1 ends of requests that had ended") {
		t.Errorf("Close() with a request that ended twice: error = %v, want an InconsistencyError", err)
	}
}

func TestSumsByClassTenantCauseAndSecondAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLedger(10 * time.Second)
		n := rapid.IntRange(0, 200).Draw(t, "n")
		for i := range n {
			id := uint64(i)
			l.AddRequest(id, Request{At: time.Duration(
				i,
			) * 50 * ms, Class: rapid.IntRange(0, 2).Draw(t, "class"),
				Tenant: rapid.IntRange(0, 1).Draw(t, "tenant"), InShare: rapid.Bool().Draw(t, "in")})
			l.EndRequest(
				id,
				Cause(rapid.IntRange(int(WithinObjective), int(causeCount)-1).Draw(t, "cause")),
				time.Duration(rapid.Int64Range(0, 200_000).Draw(t, "took"))*time.Microsecond,
			)
		}
		r, err := l.Close(0)
		if err != nil {
			t.Fatal(err)
		}
		var byClass, byTenant, byCause, bySecond, got, count float64
		for _, p := range r.Classes {
			byClass += p.Asked
		}
		for _, p := range r.Tenants {
			byTenant += p.Asked
		}
		for _, c := range r.Causes {
			byCause, got, count = byCause+c.Worth, got+c.Got, count+float64(c.Count)
		}
		for _, s := range r.Series {
			bySecond += s.Asked
		}
		for what, v := range map[string]float64{
			"classes": byClass,
			"tenants": byTenant,
			"causes":  byCause,
			"seconds": bySecond,
		} {
			if math.Abs(v-r.All.Asked) > 1e-6 {
				t.Fatalf("weight of all %s = %v, want %v", what, v, r.All.Asked)
			}
		}
		if math.Abs(got-r.All.Got) > 1e-6 || int(count) != n {
			t.Fatalf("weight earned by cause = %v, want %v; requests by cause = %v, want %d", got, r.All.Got, count, n)
		}
	})
}
