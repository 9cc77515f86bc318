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

// startServer starts a server with a number of workers; 0: no limit. work returns how long a request
// for a path takes.
func startServer(t testing.TB, workers int, work func(path string) time.Duration) *uwsgiserver.Server {
	t.Helper()
	s, err := uwsgiserver.Start(workers, work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Listener.Close() })
	return s
}

// newWorkingServer starts a server that takes the same time for each request, without a limit of workers.
func newWorkingServer(t testing.TB, work time.Duration) *uwsgiserver.Server {
	return startServer(t, 0, func(string) time.Duration { return work })
}

// launchWithStore starts the program in front of a server. more is added to the operator's file; the
// inventory is written beside dir.
func launchWithStore(t testing.TB, l *uwsgiserver.Server, dir, more string) *program {
	t.Helper()
	path := filepath.Join(filepath.Dir(dir), "inventory.csv")
	writeInventory(t, path, l.Listener.Addr())
	limits := "limits: {connections: 256, server_connections: 256, response_kb: 16, body_kb: 16, keep_kb: 16, " +
		"stream_mb: 2}\n"
	operator := "listen: 127.0.0.1:0\ninventory: " + path + "\n" + limits + more + "\n"
	return launch(t, platformForHighLoad(t, 0), operator+routesToGraders)
}

// startSecondProcess starts another process with the same configuration files.
func (p *program) startSecondProcess(t *testing.T, more ...string) *exec.Cmd {
	t.Helper()
	c := exec.Command(binary, append(more, p.cmd.Args[1:]...)...)
	c.Env = p.cmd.Env
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	return c
}

func storeSection(dir string) string { return "store: {dir: " + dir + ", wait_ms: 1}\n" }

// ask sends a request and returns the answer; status 0: there was none.
func (p *program) ask(path, key string) (status int, body string) {
	return cluster.SendRequest(p.listen["uwsgi"], path, key, time.Minute)
}

// setFileSizeLimit limits the size of files that the program writes. The program handles a file that
// reached the limit as a full disk.
func (p *program) setFileSizeLimit(t *testing.T, soft uint64) {
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

// killLoad has callers send requests with idempotency keys to a program that is killed and started
// again.
type killLoad struct {
	current                           atomic.Pointer[program]
	stop                              atomic.Bool
	callers                           sync.WaitGroup
	served, repeated, inDoubt, failed atomic.Int64
}

// call sends requests with new keys until the load is stopped.
func (l *killLoad) call(t *testing.T, caller int) {
	for k := 0; !l.stop.Load(); k++ {
		l.sendKey(t, fmt.Sprintf("key-%d-%d", caller, k))
	}
}

// sendKey sends attempts of a key until one is served, or the program answers that it may have run.
func (l *killLoad) sendKey(t *testing.T, key string) {
	for attempt := 0; ; attempt++ {
		switch status, body := l.current.Load().ask("/ops/hand-in", key); status {
		case 200:
			if body != "result of "+key {
				t.Errorf("answer to %s = %q, want its own result", key, body)
			}
			if l.served.Add(1); attempt > 0 {
				l.repeated.Add(1)
			}
			return
		case 502: // it may have run, and must not run again
			l.inDoubt.Add(1)
			return
		}
		l.failed.Add(1)
		time.Sleep(5 * time.Millisecond) // the program is starting
	}
}

// killRepeatedly kills the program and starts it again, and stops the load after the last start.
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

// A program that is killed repeatedly under load runs no request with an idempotency key twice, and a
// retry after a restart gets the result. Its usage ledger has each served request exactly once.
// RYEPADDLE_KILLS sets the number of kills, for a longer run by hand.
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
			t.Errorf("key %s ran %d times, want at most once", key, n)
		}
	}
	t.Logf(
		"%d kills: %d keys ran, %d served, %d of them after a retry, %d may have run, %d attempts failed",
		kills,
		len(server.Runs()),
		load.served.Load(),
		load.repeated.Load(),
		load.inDoubt.Load(),
		load.failed.Load(),
	)
	if load.served.Load() < int64(5*kills) || load.inDoubt.Load() == 0 {
		t.Error("too few requests were served, or none was interrupted: the test proves nothing")
	}
}

// requireUsage checks that the usage ledger has each served request once.
func requireUsage(t *testing.T, socket string, served int64) {
	t.Helper()
	counted := ask[ledger.Summary](t, socket, control.Request{Command: app.CommandUsage})
	if len(counted.Lines) == 0 || counted.Lines[0].Tenant != "north" || counted.Lost > 0 {
		t.Fatalf("usage ledger = %+v, want lines of tenant north and nothing lost", counted)
	}
	sum := int64(0)
	for _, line := range counted.Lines { // more than one if a new hour has begun
		sum += line.Served
	}
	if sum != served || sum != int64(counted.Keys) {
		t.Errorf("%d requests were served; the ledger counts %d, with %d keys", served, sum, counted.Keys)
	}
}

// A request that was served before a kill or a drain is answered with its stored result after the
// restart, and does not run again. A second process with the same folder does not start. Damaged files
// prevent the start unless -repair is given.
func TestKeyStoreSurvivesRestarts(t *testing.T) {
	t.Parallel()
	server, dir := newWorkingServer(t, 0), newFolder(t)
	p := launchWithStore(t, server, dir, storeSection(dir))
	p.awaitLog(t, "event=store.recovered keys=0 ")
	requireResult(t, p, "at first", "a")
	second := p.startSecondProcess(t)
	if err := second.Wait(); err == nil {
		t.Error("a second process started with the same folder")
	}
	p.Close()
	p = launchWithStore(t, server, dir, storeSection(dir))
	p.awaitLog(t, "event=store.recovered keys=1 ")
	requireResult(t, p, "after a kill", "a")
	requireResult(t, p, "another", "b")
	p.signal(t, syscall.SIGTERM)
	<-p.exit
	p = launchWithStore(t, server, dir, storeSection(dir))
	p.awaitLog(t, "event=store.recovered keys=2 ")
	requireResult(t, p, "after a drain", "a")
	requireResult(t, p, "after a drain", "b")
	moveStore(t, p, dir)
	for k := range 20 { // later records show that the damage is no incomplete write at the end
		p.ask("/ops/hand-in", fmt.Sprint("c", k))
	}
	p.Close()
	damageJournal(t, dir)
	p = launchWithStore(t, server, dir, storeSection(dir))
	requireDamageReported(t, p)
	requireRepaired(t, p, dir)
	for key, n := range server.Runs() {
		if n != 1 {
			t.Errorf("key %s ran %d times, want once", key, n)
		}
	}
}

// requireResult checks that a request is answered with the result of its key.
func requireResult(t *testing.T, p *program, when, key string) {
	t.Helper()
	if status, body := p.ask("/ops/hand-in", key); status != 200 || body != "result of "+key {
		t.Fatalf("%s: status %d, body %s; want 200 with the key's result", when, status, body)
	}
}

// moveStore changes store.dir at a HUP, and waits for the log line that this needs a restart.
func moveStore(t *testing.T, p *program, dir string) {
	t.Helper()
	operator := filepath.Join(filepath.Dir(p.config), "operator.yaml")
	moved := strings.Replace(p.operator, dir, newFolder(t), 1)
	if err := os.WriteFile(operator, []byte(moved), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	p.awaitLog(t, "event=reload.restart_needed field=store")
}

// damageJournal changes a bit of the journal.
func damageJournal(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "journal-*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("journals = %v, error %v, want one file", files, err)
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

// requireDamageReported checks that a program with a damaged folder exits with an error, and logs the
// damaged bytes.
func requireDamageReported(t *testing.T, p *program) {
	t.Helper()
	select {
	case err := <-p.exit:
		if err == nil || !strings.Contains(p.log(), "bytes 20 to ") {
			t.Errorf("exit with %v, want an error and the damaged bytes in the log", err)
		}
	case <-time.After(testTimeout):
		t.Error("the program does not exit although its files are damaged")
	}
}

// requireRepaired checks that a program with -repair renames the damaged file to *.bad.
func requireRepaired(t *testing.T, p *program, dir string) {
	t.Helper()
	repaired := p.startSecondProcess(t, "-repair")
	defer func() { // the process must exit before its folder is removed
		repaired.Process.Kill()
		repaired.Wait()
	}()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(pollInterval) {
		if bad, _ := filepath.Glob(filepath.Join(dir, "*.bad")); len(bad) == 1 {
			return
		} else if time.Now().After(deadline) {
			t.Fatal("the damaged file was not renamed to *.bad")
		}
	}
}

// While the disk is full, requests with new idempotency keys are rejected at once, and requests without
// keys and retries of stored keys are served. Once there is space, new keys are accepted again without
// a restart.
func TestFullDiskRejectsKeyedRequests(t *testing.T) {
	t.Parallel()
	l, dir := newWorkingServer(t, 0), newFolder(t)
	p := launchWithStore(t, l, dir, storeSection(dir))
	p.awaitLog(t, "event=store.recovered keys=0 ")
	if status, _ := p.ask("/ops/hand-in", "a"); status != 200 {
		t.Fatal("status of a new key, want 200:", status)
	}
	limit := func(soft uint64) { t.Helper(); p.setFileSizeLimit(t, soft) }
	limit(0)
	var refused int
	for k := range 10 {
		began := time.Now()
		status, _ := p.ask("/ops/hand-in", fmt.Sprint("full", k))
		if status == 503 && time.Since(began) < time.Second {
			refused++
		}
		if status, _ := p.ask("/ops/quick-check", ""); status != 200 {
			t.Errorf("status of a request without a key = %d, want 200", status)
		}
	}
	if refused != 10 {
		t.Errorf("%d of 10 requests with new keys were rejected within a second, want all", refused)
	}
	if status, body := p.ask("/ops/hand-in", "a"); status != 200 || body != "result of a" {
		t.Errorf("retry of a stored key: status %d, body %s; want 200 with its result", status, body)
	}
	limit(1 << 40)
	p.awaitLog(t, "event=store.disk_recovered")
	if status, _ := p.ask("/ops/hand-in", "full0"); status != 200 || l.Runs()["full0"] != 1 {
		t.Errorf("after there is space: status %d, %d runs; want 200 and one run", status, l.Runs()["full0"])
	}
}

// BenchmarkHandIns sends requests with idempotency keys through the program, which stores keys in memory
// only or on a disk in one of the modes. Each run has its own program, whose table must have room for
// all keys: run it with -benchtime 6000x and RYEPADDLE_BIN.
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
				for status := 0; status != 200; { // until the program has read its folder
					status, _ = p.ask("/ops/hand-in", "first")
				}
				measureKeyedRequests(b, p, callers)
			})
		}
	}
}

// measureKeyedRequests has callers send requests with new keys, and reports rate, latency and memory.
func measureKeyedRequests(b *testing.B, p *program, callers int) {
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
	procStatus, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if _, after, ok := strings.Cut(string(procStatus), "VmHWM:"); err == nil && ok {
		kb, _ := strconv.Atoi(strings.Fields(after)[0])
		b.ReportMetric(float64(kb)/1024, "peak-MB")
	}
}
