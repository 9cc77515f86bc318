package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/fleet"
)

// run executes a command line and returns the exit status, stdout and stderr.
func run(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	status = execute(&console{context.Background(), strings.NewReader(""), &o, &e, false}, args)
	return status, o.String(), e.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const tiny = "name: tiny\nlength_s: 4\nwindow_s: 2\nload: {of_capacity: 0.8}\nfleet: {runners: " +
	"2}\nbalancers:\n  - {choose: two, retry: limitless}\n"

func TestRunDoesNotDependOnWorkers(t *testing.T) {
	day := write(t, "day.yaml", tiny)
	var want string
	for _, workers := range []string{"1", "8"} {
		status, out, errs := run(t, "run", day, "--days", "5", "--seed", "3", "--workers", workers, "--json")
		if status != 0 || errs != "" {
			t.Fatalf("exit status = %d, want 0 and no stderr: %s", status, errs)
		}
		if want == "" {
			want = out
		}
		if out != want {
			t.Fatalf("with %s workers the result differs from that with one", workers)
		}
	}
	var runs []fleet.Run
	if err := json.Unmarshal([]byte(want), &runs); err != nil || len(runs) != 5 || runs[4].Seed != 7 ||
		runs[0].All.First < 20 {
		t.Fatalf("run --json: error = %v, want 5 days from seed 3: %.300s", err, want)
	}
	if status, out, _ := run(t, "run", day, "--with", "../../example/lab/one-core.yaml"); status != 0 ||
		!strings.Contains(out, "lindby-skola") {
		t.Fatalf("run --with: exit status = %d, want 0 and a row of lindby-skola: %s", status, out)
	}
	if status, _, errs := run(
		t,
		"run",
		write(t, "storm.yaml", strings.Replace(tiny, "0.8", "3", 1)),
		"--log",
	); status != 0 ||
		!strings.Contains(errs, "overload entered") {
		t.Fatalf("run --log: exit status = %d, want 0 and a log of the overload: %s", status, errs)
	}
}

// Bad input gives exit status 2 and an error that names the file, line and field; help gives status 0.
func TestBadInputIsReportedWithItsPlace(t *testing.T) {
	day := write(t, "day.yaml", tiny)
	bad := write(t, "bad.yaml", strings.Replace(tiny, "two", "both", 1))
	odd := write(t, "odd.yaml", "name: odd\nfigures: {target_share: 7}\n")
	for _, c := range []struct {
		args   string
		status int
		want   string
	}{
		{"", 2, "expected one of"},
		{"--help", 0, ""},
		{"run --help", 0, ""},
		{"compare --help", 0, ""},
		{"dance", 2, "unexpected argument dance"},
		{"run", 2, `expected "<day>"`},
		{"run " + day + " --days many", 2, "--days"},
		{"run " + day + " --days 0", 2, "at least 1"},
		{"run nowhere.yaml", 2, "the scenario is neither built in"},
		{"run " + bad, 2, `bad.yaml:7: field balancers.0.choose: "both" is none of`},
		{"run " + day + " --with " + odd, 2, "odd.yaml:2: field figures.target_share: 7 is not from"},
		{"run " + day + " --with nowhere.yaml", 2, "nowhere.yaml: no such file"},
		{"compare - " + odd + " --day " + day, 2, "odd.yaml:2: field figures.target_share"},
		{"compare - - --days 1 --day " + day, 2, "--days must be at least 2"},
		{"compare - /bin/true --days 2 --day " + day, 2, "/bin/true is not a simulator worker"},
		{"worker --day nowhere.yaml", 2, "the scenario is neither built in"},
		{"verify small --bin nowhere", 2, "no such file"},
		{"verify small --bin /bin/true --runs 2", 2, "--runs must be at least 3"},
		{"verify " + bad + " --bin /bin/true", 2, "bad.yaml:7: field balancers.0.choose"},
		{"verify " + day + " --bin /bin/true --with " + odd, 2, "odd.yaml:2: field figures.target_share"},
		{
			"verify " + day + " --bin /bin/true --with ../../example/lab/tight.yaml",
			2,
			"cannot be set on real runners",
		},
		{"schema cars", 2, "must be one of"},
	} {
		status, out, errs := run(t, strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(errs, c.want) ||
			c.status == 0 && !strings.Contains(out, "Usage: simulator") {
			t.Errorf("%s: exit status = %d, want the status and the text of the case; stderr: %s", c.args, status, errs)
		}
	}
}

func TestCompareFindsWorseSettings(t *testing.T) {
	day, dir := write(t, "day.yaml", tiny), filepath.Join(t.TempDir(), "kept")
	status, out, errs := run(
		t,
		"compare",
		"-",
		"../../example/lab/one-core.yaml",
		"--day",
		day,
		"--days",
		"8",
		"--out",
		dir,
		"--json",
	)
	var got struct {
		B       string
		Outcome compare.Outcome
	}
	if err := json.Unmarshal([]byte(out), &got); status != 0 || err != nil ||
		got.Outcome.Verdict != compare.Worse ||
		got.B != "one core's work" {
		t.Fatalf("exit status = %d, error = %v; want 0 and a worse B: %s %s", status, err, errs, out)
	}
	for _, name := range []string{
		"day.yaml",
		"b.yaml",
		"days.jsonl",
		"table.csv",
		"index.html",
		"differences.svg",
		"seconds.png",
	} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s is missing or empty: error = %v", name, err)
		}
	}
}

// A comparison with workers of another build; here it is a build of the same source, so that no day differs.
func TestCompareOfTwoBuilds(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simulator")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	status, out, errs := run(
		t,
		"compare",
		bin,
		"-",
		"--day",
		write(t, "day.yaml", tiny),
		"--days",
		"8",
		"--workers",
		"3",
	)
	if status != 0 || !strings.Contains(out, "no difference shown: the score goes from") ||
		!strings.Contains(out, "by 0.000 (0.000 to 0.000") {
		t.Fatalf("exit status = %d, want 0 and no difference: %s %s", status, out, errs)
	}
}

func TestExamplesAndLists(t *testing.T) {
	_, names, _ := run(t, "days")
	for _, name := range append(strings.Fields(names), "../../example/lab/tuesday.yaml") {
		status, out, errs := run(t, "run", name, "--seed", "2", "--json")
		var runs []fleet.Run
		if err := json.Unmarshal([]byte(out), &runs); status != 0 || err != nil || runs[0].Broken != 0 ||
			runs[0].All.First < 1000 {
			t.Errorf("run %s: exit status = %d, error = %v; want a day without violations: %s", name, status, err, errs)
		}
	}
	if _, out, _ := run(t, "days", "storm"); !strings.Contains(out, "retry: limitless") {
		t.Error("days storm prints no scenario with limitless retries:", out)
	}
	if _, out, _ := run(t, "figures"); !strings.Contains(out, "target_share") {
		t.Error("figures does not list target_share:", out)
	}
	for _, of := range []string{"day", "differences"} {
		var schema map[string]any
		if _, out, _ := run(t, "schema", of); json.Unmarshal([]byte(out), &schema) != nil ||
			schema["properties"] == nil {
			t.Error("schema prints no JSON schema with properties:", out)
		}
	}
	for _, name := range []string{"tight", "bounded"} {
		if status, _, errs := run(
			t,
			"run",
			"calm",
			"--with",
			"../../example/lab/"+name+".yaml",
		); status != 0 {
			t.Errorf("run calm --with %s.yaml failed: %s", name, errs)
		}
	}
}

// makeTraffic records the traffic of a small day. It returns the paths of the day's and the recording's file.
func makeTraffic(t *testing.T) (day, file string) {
	t.Helper()
	day, file = write(t, "day.yaml", tiny), filepath.Join(t.TempDir(), "a.traffic")
	if status, _, errs := run(t, "traffic", "make", day, "--out", file); status != 0 {
		t.Fatal("traffic make failed:", errs)
	}
	return day, file
}

func TestTrafficIsMadeAndReplayed(t *testing.T) {
	day, file := makeTraffic(t)
	if status, _, errs := run(t, "traffic", "make", day, "--out", file); status != 2 ||
		!strings.Contains(errs, "file exists") {
		t.Errorf("traffic make over an existing file: exit status = %d, want 2: %s", status, errs)
	}
	var was, again []fleet.Run
	_, out, _ := run(t, "run", day, "--json")
	if err := json.Unmarshal([]byte(out), &was); err != nil {
		t.Fatal(err)
	}
	status, out, errs := run(t, "run", day, "--traffic", file, "--json")
	if err := json.Unmarshal([]byte(out), &again); status != 0 || err != nil ||
		again[0].All.First != was[0].All.First ||
		errs != "" {
		t.Fatalf("run --traffic: exit status = %d, error = %v; want as many requests as recorded: %s",
			status, err, errs)
	}
	if status, _, errs := run(t, "compare", "-", "../../example/lab/tight.yaml", "--day", day,
		"--traffic", file, "--rate", "2", "--days", "2"); status != 0 {
		t.Errorf("compare --traffic: exit status = %d, want 0: %s", status, errs)
	}
}

// A truncated recording is shown and replayed up to the truncation, with a warning. A file of another kind or
// of a later version is an error.
func TestDamagedTrafficIsReported(t *testing.T) {
	day, file := makeTraffic(t)
	dir := t.TempDir()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	cut, later := filepath.Join(dir, "cut"), filepath.Join(dir, "later")
	os.WriteFile(cut, text[:len(text)-10], 0o644)
	text[8] = 200
	os.WriteFile(later, text, 0o644)
	if status, out, _ := run(t, "traffic", "show", file, cut); status != 0 ||
		!strings.Contains(out, "at byte") {
		t.Errorf("traffic show: exit status = %d, want 0 and the place of the truncation: %s", status, out)
	}
	for _, c := range []struct {
		file, want string
		status     int
	}{
		{cut, "unexpected EOF; only the traffic before that is replayed", 0},
		{later, "a later version wrote it: version 200", 2},
		{day, "this is no recorded traffic", 2},
		{filepath.Join(dir, "none"), "no such file", 2},
	} {
		if status, _, errs := run(t, "run", day, "--traffic", c.file); status != c.status ||
			!strings.Contains(errs, c.want) {
			t.Errorf("run --traffic %s: exit status = %d, want the status and the text of the case; stderr: %s",
				c.file, status, errs)
		}
	}
}

func TestRoutesSavesItsResults(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	status, out, errs := run(t, "routes", "flapping", "--count", "2", "--out", dir)
	if status != 0 || !strings.Contains(out, "broken rules") || !strings.Contains(out, "flapping") {
		t.Fatalf("routes flapping: exit status = %d, want 0 and a table: %s %s", status, out, errs)
	}
	for _, name := range []string{"days.json", "table.txt", "table.csv", "worth.png", "worth.svg"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s is missing or empty: error = %v", name, err)
		}
	}
	for _, c := range []struct{ args, want string }{
		{"routes nonsense", `unknown kind of day "nonsense"`},
		{"routes --b nonsense", `unknown way of routing "nonsense"`},
		{"routes calm --count 1", "--count must be at least 2"},
	} {
		if status, _, errs := run(t, strings.Fields(c.args)...); status != 2 ||
			!strings.Contains(errs, c.want) {
			t.Errorf("%s: exit status = %d, want 2; stderr: %s", c.args, status, errs)
		}
	}
}

// up finds no violation in a fleet with faults. With --roam and without replicas it finds violations: repeats
// go to another runner, so that keys run twice.
func TestUpChecksAFleet(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "ryepaddle")
	if out, err := exec.Command(
		"go",
		"build",
		"-o",
		bin,
		"ryepaddle/cmd/runner",
	).CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	up := func(more ...string) (int, string, string) {
		return run(t, append([]string{"up", "--bin", bin, "--for", "1s"}, more...)...)
	}
	status, out, errs := up(
		"--fault",
		"100ms kill n2 --back 100ms",
		"--script",
		write(t, "faults", "300ms cut n1 s1 200ms\n"),
		"--json",
	)
	var end struct {
		Runners []struct{ State string }
		Tries   map[string]int
		Broken  []string
	}
	if err := json.Unmarshal([]byte(out), &end); status != 0 || err != nil || len(end.Runners) != 3 ||
		end.Tries["served"] == 0 ||
		len(end.Broken) > 0 {
		t.Errorf("up: exit status = %d, error = %v; want 3 runners and no violation: %s%s", status, err, out, errs)
	}
	for _, r := range end.Runners {
		if r.State != "up" {
			t.Errorf("state of a runner at the end = %q, want up", r.State)
		}
	}
	status, out, errs = up("--roam", "--runners", "2")
	if status != 1 || !strings.Contains(out, "ran 2 times") ||
		!strings.Contains(errs, "repeat with: simulator up --runners 2") {
		t.Errorf("up --roam without copies: exit status = %d, want 1 and a key that ran twice: %.500s%s",
			status, out, errs)
	}
	for _, bad := range [][]string{
		{"--fault", "1s explode n1"},
		{"--fault", "1s kill n9"},
		{"--runners", "0"},
		{"--script", "nowhere"},
		{"--bin", "nowhere"},
	} {
		if status, _, errs := up(bad...); status == 0 || errs == "" {
			t.Errorf("up %v: exit status = %d, want an error; stderr: %s", bad, status, errs)
		}
	}
}
