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

const smallDay = `
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
	s, err := day.Parse("small.yaml", []byte(smallDay))
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
			t.Fatalf("outcome with %d workers (-want +got)\n%s", workers, diff)
		}
	}
}

func TestSideDoesNotDifferFromItself(t *testing.T) {
	o := compare(t, Plan{Seed: 1, Days: 8, Workers: 4}, local(t, ""), local(t, ""))
	for _, e := range o.Estimates {
		if e.Diff != 0 || e.Lo != 0 || e.Hi != 0 || e.Shown != None {
			t.Errorf("estimate = %+v, want no difference", e)
		}
	}
	if o.Verdict != None || o.Days != 8 || o.Stopped != "the interval is narrow enough" {
		t.Errorf("%d days, verdict %q, stopped because %q; want 8 days, no difference and a narrow interval",
			o.Days, o.Verdict, o.Stopped)
	}
}

// With independent choices of the balancers a side differs from itself by chance on each day. At a
// confidence level of 95% at most five of 40 comparisons may report that as a difference.
func TestChanceDoesNotPassForADifference(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 640 days")
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
		t.Errorf("a difference was shown in %d of 40 comparisons of a side with itself, want at most 5", shown)
	}
	if differ < 35 {
		t.Errorf("sides differed by chance in %d of 40 comparisons, want 35 or more for a meaningful test", differ)
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
		t.Fatalf("verdict %q after %d days, want a worse B within 8; score = %+v", o.Verdict, o.Days, o.Estimates[0])
	}
	if reversed := compare(
		t,
		Plan{Seed: 1, Days: 8, Workers: 4},
		local(t, "settings: {cores: 1, crowd_limit: 1.25}"),
		local(t, ""),
	); reversed.Verdict != Better {
		t.Fatalf("verdict with the sides exchanged = %q, want a better B", reversed.Verdict)
	}
}

// scoreFunc is a Player whose days have the score that the function returns for the seed, or fail if it is
// NaN.
type scoreFunc func(seed uint64) float64

func (m scoreFunc) Play(_ context.Context, seed, _ uint64) (*fleet.Run, error) {
	v := m(seed)
	if math.IsNaN(v) {
		return nil, errors.New("no such day")
	}
	return &fleet.Run{Result: &ledger.Result{Score: v}}, nil
}

func TestDaysAreDrawnUntilTheIntervalIsNarrow(t *testing.T) {
	zero := scoreFunc(func(uint64) float64 { return 0 })
	noise := func(by float64) scoreFunc {
		return func(seed uint64) float64 { return by * (day.Unit(seed, "noise", 0) - 0.5) }
	}
	for _, c := range []struct {
		name    string
		b       scoreFunc
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
				t.Errorf("%d days, verdict %q, stopped because %q, want those of the case; score = %+v",
					o.Days, o.Verdict, o.Stopped, o.Estimates[0])
			}
		})
	}
}

// At least 95% of the intervals contain the true difference, although a comparison may stop at an interim
// analysis.
func TestIntervalsCoverTheTrueDifference(t *testing.T) {
	missed := 0
	for set := range uint64(400) {
		b := scoreFunc(func(seed uint64) float64 {
			u := 0.0
			for k := range uint64(6) {
				u += day.Unit(seed, "normal", k) - 0.5
			}
			return 0.03 + 0.1*u
		})
		o := compare(
			t,
			Plan{Seed: set << 20, Days: 64, Width: 0.02, Workers: 1},
			scoreFunc(func(uint64) float64 { return 0 }),
			b,
		)
		if e := o.Estimates[0]; e.Lo > 0.03 || e.Hi < 0.03 {
			missed++
		}
	}
	if missed > 20 {
		t.Errorf("%d of 400 intervals miss the true difference, want at most 20", missed)
	}
}

func TestInterimAnalysesShareTheLevel(t *testing.T) {
	for _, limit := range []int{1, 5, 8, 9, 64, 1000} {
		days, alphas := interimAnalyses(limit, 0.05)
		sum := 0.0
		for _, s := range alphas {
			sum += s
		}
		if days[len(days)-1] != limit || math.Abs(sum-0.05) > 1e-12 {
			t.Errorf("limit %d: analyses after %v days with alphas %v, want the last at the limit and a sum of 0.05",
				limit, days, alphas)
		}
	}
}

func TestFailedDayEndsTheComparison(t *testing.T) {
	bad := scoreFunc(func(seed uint64) float64 {
		if seed == 12 {
			return math.NaN()
		}
		return 0
	})
	_, err := Run(
		context.Background(),
		Plan{Seed: 10, Days: 8, Workers: 3},
		scoreFunc(func(uint64) float64 { return 0 }),
		bad,
	)
	if err == nil || err.Error() != "compare: day 12, side B: no such day" {
		t.Fatal("Run() did not fail with the error of day 12 on side B:", err)
	}
}

// TestMain lets the test binary act as a worker of another build of the simulator, of the kind that
// COMPARE_TEST_WORKER names.
func TestMain(m *testing.M) {
	switch os.Getenv("COMPARE_TEST_WORKER") {
	case "":
		os.Exit(m.Run())
	case "good":
		s, err := day.Parse("small.yaml", []byte(smallDay))
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

// fakeBuild writes a script that runs the test binary as a worker of a kind, and returns its path.
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
				t.Errorf("estimate = %+v, want no difference", e)
			}
		}
	})
	for _, c := range []struct{ kind, want string }{
		{"other", "has version 99 of the model, this build has 1"},
		{"mute", "is not a simulator worker: EOF: what worker?"},
	} {
		t.Run(c.kind, func(t *testing.T) {
			if _, err := StartVersion(fakeBuild(t, c.kind), nil, 2); err == nil ||
				!strings.Contains(err.Error(), c.want) {
				t.Errorf("StartVersion() error = %v, want %s", err, c.want)
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
			t.Errorf("Run() error = %v, want one of side B with the worker's error output", err)
		}
	})
	if _, err := StartVersion(filepath.Join(t.TempDir(), "none"), nil, 1); !errors.Is(err, os.ErrNotExist) &&
		!errors.Is(err, exec.ErrNotFound) {
		t.Errorf("StartVersion() of a missing file: error = %v, want one of a missing file", err)
	}
}

func TestServeRejectsInvalidTasks(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(
		strings.NewReader(`{"seed":1}`+"\nnonsense\n"),
		&out,
		scoreFunc(func(uint64) float64 { return math.NaN() }),
	); err == nil {
		t.Error("Serve() returned no error for an invalid task")
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 2 ||
		lines[1] != `{"error":"no such day"}` {
		t.Errorf("output = %q, want hello and a reply with an error", out.String())
	}
}

// Further simulations of the model lie inside its prediction interval about as often as the level says; a
// fleet with other settings lies outside.
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
		t.Errorf("%d of 40 further runs of the model lie outside the interval, want at most 7", outside)
	}
	limited := Validate(play(other, 5), model, 0.05)
	if limited[0].Name != "score" || limited[0].Inside || limited[0].Real > limited[0].Lo {
		t.Errorf("score of a fleet limited to one core = %+v, want it below the interval", limited[0])
	}
}
