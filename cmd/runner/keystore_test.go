package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/testing/cluster"
	"ryepaddle/internal/testing/uwsgiserver"
	"ryepaddle/internal/usage/ledger"
)

// startServer starts a server with a number of workers; 0: without limit.
func startServer(t testing.TB, workers int, work func(path string) time.Duration) *uwsgiserver.Server {
	t.Helper()
	s, err := uwsgiserver.Start(workers, work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Listener.Close() })
	return s
}

// newWorkingServer starts a server that takes the same time for each request.
func newWorkingServer(t testing.TB, work time.Duration) *uwsgiserver.Server {
	return startServer(t, 0, func(string) time.Duration { return work })
}

// launchWithStore starts the program before a server, with its keys in a folder.
func launchWithStore(t testing.TB, l *uwsgiserver.Server, dir, more string) *program {
	t.Helper()
	path := filepath.Join(filepath.Dir(dir), "inventory.csv")
	writeInventory(t, path, l.Listener.Addr())
	limits := "limits: {connections: 256, server_connections: 256, response_kb: 16, body_kb: 16, keep_kb: 16, " +
		"stream_mb: 2}\n"
	operator := "listen: 127.0.0.1:0\ninventory: " + path + "\n" + limits + more + "\n"
	return launch(t, platformForCrowd(t, 0), operator+routesToGraders)
}

// startBeside starts another process with the same files.
func (p *program) startBeside(t *testing.T, more ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(binary, append(more, p.cmd.Args[1:]...)...)
	c.Env = p.cmd.Env
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

func storeSection(dir string) string { return "store: {dir: " + dir + ", wait_ms: 1}\n" }

// ask sends a request and returns its answer; status 0: there is none.
func (p *program) ask(path, key string) (status int, body string) {
	return cluster.SendRequest(p.listen["uwsgi"], path, key, time.Minute)
}

// fileLimit limits the size of files that the program writes. It handles a file that reached the
// limit as a full disk.
func (p *program) fileLimit(t *testing.T, soft uint64) {
	t.Helper()
	var l unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &l); err != nil {
		t.Fatal(err)
	}
	l.Cur = min(soft, l.Max)
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &l, nil); err != nil {
		t.Fatal(err)
	}
}

func newFolder(t testing.TB) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "keys")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// killLoad has callers send hand-ins to a program that is killed and started again.
type killLoad struct {
	current                         atomic.Pointer[program]
	stop                            atomic.Bool
	callers                         sync.WaitGroup
	served, repeated, doubt, failed atomic.Int64
}

// call sends hand-ins with new keys until the load is stopped.
func (l *killLoad) call(t *testing.T, caller int) {
	for k := 0; !l.stop.Load(); k++ {
		l.sendKey(t, fmt.Sprintf("key-%d-%d", caller, k))
	}
}

// sendKey sends attempts of a key until it is served or may have run.
func (l *killLoad) sendKey(t *testing.T, key string) {
	for attempt := 0; ; attempt++ {
		switch status, body := l.current.Load().ask("/ops/hand-in", key); status {
		case 200:
			if body != "result of "+key {
				t.Errorf("%s is answered %q", key, body)
			}
			if l.served.Add(1); attempt > 0 {
				l.repeated.Add(1)
			}
			return
		case 502: // it may have run, and never runs again
			l.doubt.Add(1)
			return
		}
		l.failed.Add(1)
		time.Sleep(5 * time.Millisecond) // the program is being started
	}
}

// killRepeatedly kills the program and starts it again.
func (l *killLoad) killRepeatedly(t *testing.T, kills int, restart func() *program) {
	t.Helper()
	r := rand.New(rand.NewPCG(1, 2))
	for range kills {
		time.Sleep(time.Duration(60+r.IntN(240)) * time.Millisecond)
		old := l.current.Load()
		if err := old.cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		<-old.exit
		l.current.Store(restart())
	}
	l.stop.Store(true)
	l.callers.Wait()
}

// A process that is killed again and again under load runs no hand-in twice, and a retry in a later
// incarnation gets the result. Its usage ledger has each hand-in that was served, and none twice.
// RYEPADDLE_KILLS is how often, for a long run by hand.
func TestKeysRunOnceThroughRepeatedKills(t *testing.T) {
	t.Parallel()
	kills := 20
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_KILLS")); err == nil {
		kills = n
	}
	server := newWorkingServer(t, 3*time.Millisecond)
	dir, usage, socket := newFolder(t), newFolder(t), socketPath(t)
	operator := storeSection(dir) +
		"usage: {dir: " + usage + ", keys: 10000, lines: 100, queue: 4096, every_s: 1}\n" +
		"control: {socket: " + socket + "}\n"
	restart := func() *program { return launchWithStore(t, server, dir, operator) }
	load := &killLoad{}
	load.current.Store(restart())
	for n := range 16 {
		load.callers.Go(func() { load.call(t, n) })
	}
	load.killRepeatedly(t, kills, restart)
	requireUsage(t, socket, load.served.Load())
	for key, n := range server.Runs() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	t.Logf(
		"%d kills: %d hand-ins ran, %d served, %d of them after a retry, %d may have run, %d attempts failed",
		kills,
		len(server.Runs()),
		load.served.Load(),
		load.repeated.Load(),
		load.doubt.Load(),
		load.failed.Load(),
	)
	if load.served.Load() < int64(5*kills) || load.doubt.Load() == 0 {
		t.Error("that tells nothing")
	}
}

// requireUsage checks that the usage ledger has each served hand-in once.
func requireUsage(t *testing.T, socket string, served int64) {
	t.Helper()
	counted := ask[ledger.Summary](t, socket, control.Request{Command: app.CommandUsage})
	if len(counted.Lines) == 0 || counted.Lines[0].Tenant != "north" || counted.Lost > 0 {
		t.Fatalf("%+v", counted)
	}
	sum := int64(0)
	for _, line := range counted.Lines { // an hour may have begun
		sum += line.Served
	}
	if sum != served || sum != int64(counted.Keys) {
		t.Errorf("%d hand-ins were served, and %d are counted, with %d keys", served, sum, counted.Keys)
	}
}

// A hand-in that was served before a kill is answered with its result after it, and does not run;
// so it is after a drain. A second process on a folder does not start, and damage prevents the
// start unless it is repaired.
func TestKeyStoreSurvivesRestarts(t *testing.T) {
	t.Parallel()
	server, dir := newWorkingServer(t, 0), newFolder(t)
	p := launchWithStore(t, server, dir, storeSection(dir))
	p.await(t, "event=store.recovered keys=0 ")
	requireResult(t, p, "at first", "a")
	second := p.startBeside(t)
	if err := second.Wait(); err == nil {
		t.Error("two processes use one folder")
	}
	p.Close()
	p = launchWithStore(t, server, dir, storeSection(dir))
	p.await(t, "event=store.recovered keys=1 ")
	requireResult(t, p, "after a kill", "a")
	requireResult(t, p, "another", "b")
	p.signal(t, syscall.SIGTERM)
	<-p.exit
	p = launchWithStore(t, server, dir, storeSection(dir))
	p.await(t, "event=store.recovered keys=2 ")
	requireResult(t, p, "after a drain", "a")
	requireResult(t, p, "after a drain", "b")
	moveStore(t, p, dir)
	for k := range 20 { // so that later marks vouch for what is damaged
		p.ask("/ops/hand-in", fmt.Sprint("c", k))
	}
	p.Close()
	damageJournal(t, dir)
	p = launchWithStore(t, server, dir, storeSection(dir))
	requireDamageReported(t, p)
	requireRepaired(t, p, dir)
	for key, n := range server.Runs() {
		if n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// requireResult checks that a hand-in gets its result.
func requireResult(t *testing.T, p *program, when, key string) {
	t.Helper()
	if status, body := p.ask("/ops/hand-in", key); status != 200 || body != "result of "+key {
		t.Fatalf("%s: %d %s", when, status, body)
	}
}

// moveStore names another folder at a HUP, which needs a restart.
func moveStore(t *testing.T, p *program, dir string) {
	t.Helper()
	operator := filepath.Join(filepath.Dir(p.config), "operator.yaml")
	moved := strings.Replace(p.operator, dir, newFolder(t), 1)
	if err := os.WriteFile(operator, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	p.await(t, "event=reload.restart_needed field=store")
}

// damageJournal changes a bit of the journal.
func damageJournal(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "journal-*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	text[60] ^= 1
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// requireDamageReported checks that a program on a damaged folder ends, and logs the place.
func requireDamageReported(t *testing.T, p *program) {
	t.Helper()
	select {
	case err := <-p.exit:
		if err == nil || !strings.Contains(p.log(), "bytes 20 to ") {
			t.Errorf("it ends with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("it goes on with damaged files")
	}
}

// requireRepaired checks that a program with -repair sets the damaged file aside.
func requireRepaired(t *testing.T, p *program, dir string) {
	t.Helper()
	repaired := p.startBeside(t, "-repair")
	defer func() { // and it is gone before its folder is
		repaired.Process.Kill()
		repaired.Wait()
	}()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(pollInterval) {
		if bad, _ := filepath.Glob(filepath.Join(dir, "*.bad")); len(bad) == 1 {
			return
		} else if time.Now().After(deadline) {
			t.Fatal("the damaged file is not set aside")
		}
	}
}

// With a full disk hand-ins are rejected at once, with a time to come back, and checks go on; once
// there is space hand-ins are accepted again, without a restart.
func TestFullDiskRejectsKeyedRequests(t *testing.T) {
	t.Parallel()
	l, dir := newWorkingServer(t, 0), newFolder(t)
	p := launchWithStore(t, l, dir, storeSection(dir))
	p.await(t, "event=store.recovered keys=0 ")
	if status, _ := p.ask("/ops/hand-in", "a"); status != 200 {
		t.Fatal(status)
	}
	limit := func(soft uint64) { t.Helper(); p.fileLimit(t, soft) }
	limit(0)
	var refused int
	for k := range 10 {
		began := time.Now()
		status, _ := p.ask("/ops/hand-in", fmt.Sprint("full", k))
		if status == 503 && time.Since(began) < time.Second {
			refused++
		}
		if status, _ := p.ask("/ops/quick-check", ""); status != 200 {
			t.Errorf("a check gets %d", status)
		}
	}
	if refused != 10 {
		t.Errorf("%d of 10 hand-ins are refused", refused)
	}
	if status, body := p.ask("/ops/hand-in", "a"); status != 200 || body != "result of a" {
		t.Errorf("a repeat: %d %s", status, body)
	}
	limit(1 << 40)
	p.await(t, "event=store.disk_recovered")
	if status, _ := p.ask("/ops/hand-in", "full0"); status != 200 || l.Runs()["full0"] != 1 {
		t.Errorf("once there is room: %d, it ran %d times", status, l.Runs()["full0"])
	}
}

// BenchmarkHandIns sends hand-ins through the program, whose keys are in memory alone or on a disk
// in one of the modes. Each run has a program of its own, and few enough keys for its table: run it
// with -benchtime 6000x and RYEPADDLE_BIN.
func BenchmarkHandIns(b *testing.B) {
	if bin := os.Getenv("RYEPADDLE_BIN"); bin != "" {
		old := binary
		binary = bin
		defer func() { binary = old }()
	}
	for _, mode := range []string{"memory", "none", "group", "always"} {
		for _, callers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("%s/%d", mode, callers), func(b *testing.B) {
				l, dir := newWorkingServer(b, 0), newFolder(b)
				more := ""
				if mode != "memory" {
					more = "store: {dir: " + dir + ", mode: " + mode + "}\n"
				}
				p := launchWithStore(b, l, dir, more)
				for status := 0; status != 200; { // until it has read its folder
					status, _ = p.ask("/ops/hand-in", "first")
				}
				measureHandIns(b, p, callers)
			})
		}
	}
}

// measureHandIns has callers send hand-ins, and reports rate, latency and memory.
func measureHandIns(b *testing.B, p *program, callers int) {
	b.Helper()
	var next, failed atomic.Int64
	var mu sync.Mutex
	times := hdrhistogram.New(1, 60_000_000, 3)
	var all sync.WaitGroup
	b.ResetTimer()
	for range callers {
		all.Go(func() {
			for k := next.Add(1); k <= int64(b.N); k = next.Add(1) {
				began := time.Now()
				if status, _ := p.ask("/ops/hand-in", fmt.Sprint("key", k)); status != 200 {
					failed.Add(1)
				}
				mu.Lock()
				_ = times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		})
	}
	all.Wait()
	report(b, "hand-ins/s", times, failed.Load())
	rss, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if _, after, ok := strings.Cut(string(rss), "VmHWM:"); err == nil && ok {
		kb, _ := strconv.Atoi(strings.Fields(after)[0])
		b.ReportMetric(float64(kb)/1024, "peak-MB")
	}
}
