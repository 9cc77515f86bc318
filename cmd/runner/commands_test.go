package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

// runCommand executes a command line in this process, and returns its exit status and output.
func runCommand(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	status = run(&streams{&o, &e}, args)
	return status, o.String(), e.String()
}

// newStoreFolder creates a folder with a journal of 5 keys. The journal stays open, as in a running
// program.
func newStoreFolder(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	now := wallclock.FromTime(time.Now())
	j, _, err := store.OpenJournal(store.Dir(dir), now, store.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	for k := range 5 {
		r := &store.Record{
			Kind:      store.RunStarted,
			Name:      store.KeyName{Class: "hand-in", Key: fmt.Sprint("key", k)},
			Owner:     1,
			ExpiresAt: now.Add(time.Minute),
		}
		if err := j.Commit([]*store.Record{r}); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestStoreCommands(t *testing.T) {
	t.Parallel()
	dir, copied := newStoreFolder(t), filepath.Join(t.TempDir(), "copy")
	requireCommands(t, []commandCase{ // while the folder is in use
		{"store inspect " + dir, 0, "key3"},
		{"store inspect " + dir + " --json", 0, `"state": "begun"`},
		{"store verify " + dir, 0, "whole: 5 keys"},
		{"store verify " + dir + " --json", 0, `"keys": 5`},
		{"store copy " + dir + " " + copied, 0, "5 keys"},
		{"store copy " + dir + " " + copied, 2, "exists"},
		{"store verify " + copied, 0, "whole: 5 keys"},
		{"store compact " + copied, 0, "5 keys in one snapshot"},
		{"store inspect " + copied, 0, "key4"},
		{"store verify " + filepath.Join(dir, "nowhere"), 2, "no such file"},
	}, "")
	file := filepath.Join(dir, "journal-0000000000000001")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text[100] ^= 1
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, command := range []string{"verify", "compact"} {
		if status, _, errs := runCommand(t, "store", command, dir); status != 2 ||
			!strings.Contains(errs, "are damaged") {
			t.Errorf("store %s with damage: status %d, stderr %s; want status 2", command, status, errs)
		}
	}
	if status, out, errs := runCommand(t, "store", "compact", dir, "--repair"); status != 0 ||
		!strings.Contains(out, "4 keys") {
		t.Errorf("store compact --repair: status %d, output %s%s; want status 0 and 4 keys", status, out, errs)
	}
}

// The program prints completions of a command line that a shell passes in COMP_LINE.
func TestCompletion(t *testing.T) {
	t.Parallel()
	for line, want := range map[string]string{
		"runner sta":           "status\n",
		"runner store ver":     "verify\n",
		"runner explain --not": "--not-served\n",
	} {
		cmd := exec.Command(binary)
		cmd.Env = append(os.Environ(), "COMP_LINE="+line, fmt.Sprint("COMP_POINT=", len(line)))
		if out, err := cmd.Output(); err != nil || string(out) != want {
			t.Errorf("completion of %q = %q, error %v", line, out, err)
		}
	}
	for _, args := range [][]string{
		{"completion"},
		{"explain", "--help"},
		{"store", "--help"},
		{"levels", "--help"},
	} {
		if status, out, errs := runCommand(t, args...); status != 0 || !strings.Contains(out+errs, "runner") {
			t.Errorf("%q: status %d, output %s%s; want status 0 and a text", args, status, out, errs)
		}
	}
}

func TestInventoryCheck(t *testing.T) {
	t.Parallel()
	status, out, errs := runCommand(t, "inventory", "check", "../../example/inventory.yaml")
	if status != 0 || !strings.Contains(out, "toy-2") || !strings.Contains(out, "2 servers") {
		t.Fatalf("inventory check: status %d, output %s %s; want status 0 and 2 servers", status, out, errs)
	}
	write := func(t *testing.T, name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	current := write(t, "held.csv", "name,address,group\na,127.0.0.1:1,g\nb,127.0.0.1:2,g\nc,127.0.0.1:3,g\n")
	for text, want := range map[string]string{
		"a,127.0.0.1:1,g\nb,127.0.0.1:9,g\nd,127.0.0.1:4,g\n": "1 came, 1 left, 1 moved, 0 changed",
		"a,127.0.0.1:1,g\n": "2 of 3 servers are missing from the new list, the first is b: send " +
			"SIGHUP to accept the list",
	} {
		next := write(t, "next.csv", "name,address,group\n"+text)
		status, _, errs := runCommand(t, "inventory", "check", next, "--against", current)
		if !strings.Contains(errs, want) || (status == 0) != strings.Contains(want, "came") {
			t.Errorf("inventory check --against: status %d, stderr %s, want %s", status, errs, want)
		}
	}
	if status, _, errs := runCommand(t, "inventory", "check", "nowhere.csv"); status != 2 ||
		!strings.Contains(errs, "no such file") {
		t.Errorf("inventory check of no file: status %d, stderr %s; want status 2", status, errs)
	}
	cut := write(t, "cut.csv", "name,address,group\na,127.0.0.1:1,g\nb,127.0.0.1:2,to")
	if status, _, errs := runCommand(t, "inventory", "check", cut); status != 2 ||
		!strings.Contains(errs, "cut.csv:3: the last line has no newline") {
		t.Fatalf("inventory check of a truncated file: status %d, stderr %s; want status 2 and line 3", status, errs)
	}
}

// A bill is made from the statements that an instance wrote. Missing statements are reported, and the
// rest is billed.
func TestUsageCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	const hour = 3_600_000_000 // in microseconds
	set := ledger.Settings{Instance: "n0", Period: hour, Slice: hour / 60, MaxKeys: 10, MaxLines: 10}
	l := ledger.New(set, "a", 480_000*hour)
	for n := range wallclock.UnixMicro(3) {
		l.Add(
			ledger.Record{
				AnsweredAt:   (480_000 + n) * hour,
				Tenant:       "north",
				Class:        "hand-in",
				Outcome:      ledger.OutcomeServed,
				Work:         1500,
				Key:          uint64(n + 1),
				KeyExpiresAt: 480_010 * hour,
			},
		)
		s := l.Seal((480_001 + n) * hour)
		if err := os.WriteFile(filepath.Join(dir, s.FileName()), s.Encode(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "state"), l.Encode(3), 0o600); err != nil {
		t.Fatal(err)
	}
	one := filepath.Join(dir, "usage-n0-a-00000001.json")
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"bill", dir, "--csv"}, 0, "2024-10-04T02:00:00Z,north,hand-in,1,0,0,0,0,0,1500,false"},
		{[]string{"bill", dir, one}, 0, "3 statements, 1 copies of them"},
		{[]string{"bill", dir, "--json"}, 0, `"above": 0`},
		{[]string{"bill", dir, "--config", "../../example/config.json"}, 0, "ABOVE ITS SHARE"},
		{[]string{"bill", dir, "--instances", "n0,n7"}, 1, "n7 (account none): there is no statement of it"},
		{[]string{"bill", one, filepath.Join(dir, "usage-n0-a-00000003.json")}, 1, "statement 2 is missing"},
		{[]string{"bill", filepath.Join(dir, "state")}, 2, "state: it is not as it was written"},
		{[]string{"show", dir}, 0, "in 3 statements, 0 of them written; 3 keys"},
		{[]string{"show", dir, "--json"}, 0, `"instance": "n0"`},
		{[]string{"show", t.TempDir()}, 2, "no such file"},
	} {
		if status, out, errs := runCommand(t, append([]string{"usage"}, c.args...)...); status != c.status ||
			!strings.Contains(out+errs, c.want) {
			t.Errorf("usage %q: status %d, want %d; output %s%s, want %q", c.args, status, c.status, out, errs, c.want)
		}
	}
}

// correctCommand returns the arguments that correct the usage of a tenant.
func correctCommand(socket, id, period string) []string {
	return []string{
		"usage", "correct", "--socket", socket, "--id", id, "--period", period, "--school", "north",
		"--class", "hand-in", "--served=-1", "--why", "a test",
	}
}

// A running program accepts a correction once and stores it on its disk. After a kill its ledger has
// all that was counted and corrected before.
func TestUsageCorrections(t *testing.T) {
	t.Parallel()
	server, usage, socket := newWorkingServer(t, 0), newFolder(t), socketPath(t)
	operator := "usage: {dir: " + usage + ", keys: 1000, lines: 100, queue: 1024}\n" +
		"control: {socket: " + socket + "}\n"
	p := launchWithStore(t, server, newFolder(t), operator)
	for _, key := range []string{"a", "b"} {
		if status, _ := p.ask("/ops/hand-in", key); status != 200 {
			t.Fatal("status of a new key, want 200:", status)
		}
	}
	p.ask("/ops/hand-in", "a")
	p.ask("/ops/quick-check", "")
	now := time.Now().UTC().Truncate(time.Hour).Format(time.RFC3339)
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{correctCommand(socket, "t1", now), 0, "t1 is accepted"},
		{correctCommand(socket, "t1", now), 0, "t1 had been accepted before"},
		{correctCommand(socket, "t2", "2031-01-01T00:00:00Z"), 1, "has not begun"},
		{[]string{"usage", "open", "--socket", socket}, 0, "2 keys, 1 corrections to come"},
	} {
		if status, out, errs := runCommand(t, c.args...); status != c.status ||
			!strings.Contains(out+errs, c.want) {
			t.Errorf("%q: status %d, want %d; output %s%s, want %q", c.args, status, c.status, out, errs, c.want)
		}
	}
	if err := p.startSecondProcess(t).Wait(); err == nil {
		t.Error("a second process started with the same usage folder")
	}
	requireCorrectionOnFullDisk(t, p, correctCommand(socket, "t3", now))
	p.Close()
	launchWithStore(t, server, newFolder(t), operator).awaitLog(t, "event=usage.opened")
	s := ask[ledger.Summary](t, socket, control.Request{Command: app.CommandUsage})
	var sum ledger.Count
	for _, line := range s.Lines {
		sum.Add(line.Count)
	}
	if sum.Served != 4 || sum.Duplicates != 1 || sum.Work <= 0 || s.Corrections != 2 {
		t.Errorf("ledger after a restart = %+v, want 4 served, 1 repeat, some work and 2 corrections", s)
	}
}

// requireCorrectionOnFullDisk checks that a full disk prevents no answer, that a correction fails while
// the disk is full, and that it is stored once there is space again.
func requireCorrectionOnFullDisk(t *testing.T, p *program, correct []string) {
	t.Helper()
	p.setFileSizeLimit(t, 0)
	if status, _ := p.ask("/ops/hand-in", "c"); status != 200 {
		t.Error("status with a full disk, want 200:", status)
	}
	if status, _, errs := runCommand(t, correct...); status != 1 || !strings.Contains(errs, "file too large") {
		t.Errorf("correction with a full disk: status %d, stderr %s; want status 1", status, errs)
	}
	p.awaitLog(t, "event=usage.disk_failed")
	p.setFileSizeLimit(t, 1<<40)
	p.awaitLog(t, "event=usage.disk_recovered")
}
