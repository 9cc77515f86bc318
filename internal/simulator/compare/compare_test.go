package compare

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/variant"
)

const small = `
name: small
length_s: 9
window_s: 3
load: {of_capacity: [0.7, 1.1], burstiness: 0.2}
fleet: {runners: 3, restart_s: 2}
balancers:
  - {count: 3, choose: two, retry: limitless, pause_ms: 20, heeds: 0.7}
troubles:
  - {kind: crash, at_s: [2, 5], for_s: 2, part: 0.33, odds: 0.5}
`

func spec(t testing.TB) *day.Spec {
	t.Helper()
	s, err := day.Parse("small.yaml", []byte(small))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func local(t testing.TB, changes string) Local {
	t.Helper()
	l := Local{Spec: spec(t)}
	if changes != "" {
		v, err := variant.Parse("variant.yaml", []byte("name: changed\n"+changes))
		if err != nil {
			t.Fatal(err)
		}
		if l.Options, err = v.Options(l.Spec); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

func compare(t testing.TB, plan Plan, a, b Player) *Outcome {
	t.Helper()
	o, err := Run(context.Background(), plan, a, b)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func TestOutcomeDoesNotDependOnWorkers(t *testing.T) {
	var want []byte
	for _, workers := range []int{1, 8, 3} {
		o := compare(
			t,
			Plan{Seed: 1, Days: 6, Workers: workers, Independent: true},
			local(t, ""),
			local(t, "figures: {target_share: 0.2}"),
		)
		got, err := json.Marshal(struct {
			*Outcome
			Raw []Pair
		}{o, o.Pairs})
		if err != nil {
			t.Fatal(err)
		}
		if want == nil {
			want = got
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Fatalf("%d workers (-want +got)\n%s", workers, diff)
		}
	}
}

func TestSideDoesNotDifferFromItself(t *testing.T) {
	o := compare(t, Plan{Seed: 1, Days: 8, Workers: 4}, local(t, ""), local(t, ""))
	for _, e := range o.Estimates {
		if e.Diff != 0 || e.Lo != 0 || e.Hi != 0 || e.Shown != None {
			t.Errorf("%+v", e)
		}
	}
	if o.Verdict != None || o.Days != 8 || o.Stopped != "the interval is narrow enough" {
		t.Errorf("%d days, %s, %s", o.Days, o.Verdict, o.Stopped)
	}
}

// With independent choices a side differs from itself by chance on each day. That passes for a
// difference no more often than the level says: in at most five of 40 comparisons at 95%.
func TestChanceDoesNotPassForADifference(t *testing.T) {
	if testing.Short() {
		t.Skip("640 days")
	}
	shown, differ := 0, 0
	for set := range uint64(40) {
		o := compare(
			t,
			Plan{Seed: 1000 * (set + 1), Days: 8, Workers: 4, Independent: true},
			local(t, ""),
			local(t, ""),
		)
		if o.Verdict != None {
			shown++
		}
		if e := o.Estimates[0]; e.Diff != 0 && e.Hi > e.Lo {
			differ++
		}
	}
	t.Logf("a difference was shown in %d of 40 comparisons", shown)
	if shown > 5 {
		t.Errorf("a difference was shown in %d of 40 comparisons of a side with itself", shown)
	}
	if differ < 35 {
		t.Errorf("only in %d of 40 did chance make a difference: the test proves nothing", differ)
	}
}

func TestLimitedRunnersAreFoundWorse(t *testing.T) {
	o := compare(
		t,
		Plan{Seed: 1, Days: 8, Workers: 4},
		local(t, ""),
		local(t, "settings: {cores: 1, crowd_limit: 1.25}"),
	)
	if o.Verdict != Worse || o.Days > 8 || o.Estimates[0].Hi > -0.05 {
		t.Fatalf("%s after %d days: %+v", o.Verdict, o.Days, o.Estimates[0])
	}
	if back := compare(
		t,
		Plan{Seed: 1, Days: 8, Workers: 4},
		local(t, "settings: {cores: 1, crowd_limit: 1.25}"),
		local(t, ""),
	); back.Verdict != Better {
		t.Fatalf("the other way round: %s", back.Verdict)
	}
}

// made returns scores that a test makes up.
type made func(seed uint64) float64

func (m made) Play(_ context.Context, seed, _ uint64) (*fleet.Run, error) {
	v := m(seed)
	if math.IsNaN(v) {
		return nil, errors.New("no such day")
	}
	return &fleet.Run{Result: &ledger.Result{Score: v}}, nil
}

func TestDaysAreDrawnUntilTheIntervalIsNarrow(t *testing.T) {
	zero := made(func(uint64) float64 { return 0 })
	noise := func(by float64) made {
		return func(seed uint64) float64 { return by * (day.Unit(seed, "noise", 0) - 0.5) }
	}
	for _, c := range []struct {
		name    string
		b       made
		days    int
		verdict string
		stopped string
	}{
		{"no noise", noise(0), 8, None, "the interval is narrow enough"},
		{"some noise", noise(0.1), 32, None, "the interval is narrow enough"},
		{"too much noise", noise(2), 100, None, "the limit of days is reached"},
		{
			"plainly better",
			func(s uint64) float64 { return 0.5 + noise(0.2)(s) },
			8,
			Better,
			"the interval is narrow enough",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := compare(t, Plan{Seed: 5, Days: 100, Width: 0.02, Workers: 2}, zero, c.b)
			if o.Days != c.days || o.Verdict != c.verdict || o.Stopped != c.stopped ||
				len(o.Pairs) != c.days {
				t.Errorf("%d days, %s, %s: %+v", o.Days, o.Verdict, o.Stopped, o.Estimates[0])
			}
		})
	}
}

// Under looks that stop early at least 95 in 100 intervals contain the true difference.
func TestIntervalsCoverTheTrueDifference(t *testing.T) {
	missed := 0
	for set := range uint64(400) {
		b := made(func(seed uint64) float64 {
			u := 0.0
			for k := range uint64(6) {
				u += day.Unit(seed, "normal", k) - 0.5
			}
			return 0.03 + 0.1*u
		})
		o := compare(
			t,
			Plan{Seed: set << 20, Days: 64, Width: 0.02, Workers: 1},
			made(func(uint64) float64 { return 0 }),
			b,
		)
		if e := o.Estimates[0]; e.Lo > 0.03 || e.Hi < 0.03 {
			missed++
		}
	}
	if missed > 20 {
		t.Errorf("%d of 400 intervals miss the truth", missed)
	}
}

func TestLooksShareTheLevel(t *testing.T) {
	for _, most := range []int{1, 5, 8, 9, 64, 1000} {
		at, spend := interimAnalyses(most, 0.05)
		sum := 0.0
		for _, s := range spend {
			sum += s
		}
		if at[len(at)-1] != most || math.Abs(sum-0.05) > 1e-12 {
			t.Errorf("up to %d: looks at %v spend %v", most, at, spend)
		}
	}
}

func TestFailedDayEndsTheComparison(t *testing.T) {
	bad := made(func(seed uint64) float64 {
		if seed == 12 {
			return math.NaN()
		}
		return 0
	})
	_, err := Run(
		context.Background(),
		Plan{Seed: 10, Days: 8, Workers: 3},
		made(func(uint64) float64 { return 0 }),
		bad,
	)
	if err == nil || err.Error() != "compare: day 12, side B: no such day" {
		t.Fatal(err)
	}
}

// TestMain lets the test's own binary act as other builds of the simulator.
func TestMain(m *testing.M) {
	switch os.Getenv("COMPARE_TEST_WORKER") {
	case "":
		os.Exit(m.Run())
	case "good":
		s, err := day.Parse("small.yaml", []byte(small))
		if err == nil {
			err = Serve(os.Stdin, os.Stdout, Local{Spec: s})
		}
		if err != nil {
			io.WriteString(os.Stderr, err.Error())
			os.Exit(1)
		}
	case "other":
		io.WriteString(os.Stdout, `{"model":99}`+"\n")
		io.Copy(io.Discard, os.Stdin)
	case "dies":
		io.WriteString(os.Stdout, `{"model":1}`+"\n")
		io.WriteString(os.Stderr, "out of luck")
		os.Exit(3)
	case "mute":
		io.WriteString(os.Stderr, "what worker?")
	}
}

// fakeBuild writes a script that runs this binary as a build of a kind.
func fakeBuild(t *testing.T, kind string) string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), kind)
	if err := os.WriteFile(
		path,
		[]byte("#!/bin/sh\nCOMPARE_TEST_WORKER="+kind+" exec "+self+"\n"),
		0o755,
	); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestVersionOfAnotherBuild(t *testing.T) {
	t.Run("the same", func(t *testing.T) {
		v, err := StartVersion(fakeBuild(t, "good"), nil, 3)
		if err != nil {
			t.Fatal(err)
		}
		defer v.Close()
		o := compare(t, Plan{Seed: 1, Days: 4, Workers: 3}, local(t, ""), v)
		for _, e := range o.Estimates {
			if e.Diff != 0 {
				t.Errorf("%+v", e)
			}
		}
	})
	for _, c := range []struct{ kind, want string }{
		{"other", "plays version 99 of the model, this is 1"},
		{"mute", "is no worker of the lab: EOF: what worker?"},
	} {
		t.Run(c.kind, func(t *testing.T) {
			if _, err := StartVersion(fakeBuild(t, c.kind), nil, 2); err == nil ||
				!strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
	t.Run("dies", func(t *testing.T) {
		v, err := StartVersion(fakeBuild(t, "dies"), nil, 1)
		if err != nil {
			t.Fatal(err)
		}
		defer v.Close()
		_, err = Run(context.Background(), Plan{Seed: 1, Days: 4, Workers: 2}, local(t, ""), v)
		if err == nil || !strings.Contains(err.Error(), "side B") ||
			!strings.Contains(err.Error(), "out of luck") {
			t.Errorf("%v", err)
		}
	})
	if _, err := StartVersion(filepath.Join(t.TempDir(), "none"), nil, 1); !errors.Is(err, os.ErrNotExist) &&
		!errors.Is(err, exec.ErrNotFound) {
		t.Errorf("a build that is not there: %v", err)
	}
}

func TestServeRejectsInvalidTasks(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(
		strings.NewReader(`{"seed":1}`+"\nnonsense\n"),
		&out,
		made(func(uint64) float64 { return math.NaN() }),
	); err == nil {
		t.Error("no error")
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 2 ||
		lines[1] != `{"error":"no such day"}` {
		t.Errorf("%q", out.String())
	}
}

// A further simulation lies inside the interval as often as the level says, and a fleet with other
// settings outside.
func TestValidationTellsModelsApart(t *testing.T) {
	play := func(l Local, noise uint64) *fleet.Run {
		t.Helper()
		r, err := l.Play(context.Background(), 3, noise)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	like, other := local(t, ""), local(t, "settings: {cores: 1, crowd_limit: 1.25}")
	var model []*fleet.Run
	for k := range uint64(30) {
		model = append(model, play(like, k+1))
	}
	outside := 0
	for k := range uint64(40) {
		if !Validate(play(like, 1000+k), model, 0.05)[0].Inside {
			outside++
		}
	}
	if outside > 7 {
		t.Errorf("%d of 40 further runs of the model lie outside", outside)
	}
	held := Validate(play(other, 5), model, 0.05)
	if held[0].Name != "score" || held[0].Inside || held[0].Real > held[0].Lo {
		t.Errorf("a fleet held to one core's work: %+v", held[0])
	}
}
