package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/testing/scenario"
)

// pair is a runner of which there are two processes for a while.
type pair struct {
	t    *testing.T
	addr string // where both listen
	tmp  string
}

// newPair holds an address that several processes can listen on, and nobody else gets.
func newPair(t *testing.T) *pair {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &pair{t: t, addr: fmt.Sprintf("127.0.0.1:%d", sa.(*unix.SockaddrInet4).Port), tmp: t.TempDir()}
}

// run starts a process and waits until its door says that it is ready.
func (p *pair) start(engine string) *program {
	p.t.Helper()
	r := launch(
		p.t,
		map[string]any{
			"listen":  p.addr,
			"ops":     "127.0.0.1:0",
			"engine":  engine,
			"backend": engine,
			"stop_ms": 30000,
			"$TMPDIR": p.tmp,
		},
		"",
	)
	p.ready(r)
	return r
}

func (p *pair) ready(r *program) {
	p.t.Helper()
	for range int(patience / lookEvery) {
		if status, _ := r.door("/ops/readiness"); status == 200 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatal("it does not become ready")
}

// door asks at the operators' door; status 0: nobody answers.
func (p *program) door(path string) (status int, body []byte) {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + p.listen["ops"] + path)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	body, _ = io.ReadAll(a.Body) // what is missing is not the JSON that is expected
	return a.StatusCode, body
}

// stats are the figures that the door tells.
func (p *program) stats(t testing.TB) (f struct {
	Fulfilled, Throttled, Faulted         map[string]int64
	Relayed                               int64
	Open, CfgAccepted, CfgInvalid, Others int64
}) {
	t.Helper()
	status, body := p.door("/ops/stats")
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); status != 200 || err != nil {
		t.Fatalf("%d %s: %v", status, body, err)
	}
	for name, to := range map[string]any{"fulfilled": &f.Fulfilled, "throttled": &f.Throttled, "faulted": &f.Faulted, "relayed": &f.Relayed,
		"open_requests": &f.Open, "cfg_accepted": &f.CfgAccepted, "cfg_invalid": &f.CfgInvalid} {
		if err := json.Unmarshal(all[name], to); err != nil {
			t.Fatalf("figure %s of %s: %v", name, body, err)
		}
	}
	return f
}

func TestNewVersionBeside(t *testing.T) {
	t.Parallel()
	for name, x := range map[string]struct{ before, during, after string }{
		"a key that ran is not run again, and its result is given": {`
			balancer send 1 hand-in key=a body=code
			engine expect RUN 1 hand-in code
			engine send done 1 fine graded
			balancer expect 1 200 graded`, `
			old send TERM
			old expect exit 0
			balancer expect gone`, `
			other send 2 hand-in key=a body=code
			other expect 2 200 graded
			other send 3 hand-in key=a body=else
			other expect 3 422 the dedupe key stands for another body
			second expect nothing`},
		"a key that runs in the other process is waited for": {`
			balancer send 1 hand-in key=a body=code
			engine expect RUN 1 hand-in code`, `
			old send TERM`, `
			other send 2 hand-in key=a body=code
			other send 3 quick-check
			second expect RUN 3 quick-check
			other expect nothing
			engine send done 1 fine graded
			balancer expect 1 200 graded
			other expect 2 200 graded
			second send done 3 fine checked
			other expect 3 200 checked
			old expect exit 0
			second expect nothing`},
		"a key that the other process was killed over is in doubt": {`
			balancer send 1 hand-in key=a body=code
			engine expect RUN 1 hand-in code`, `
			old close
			balancer expect gone`, `
			other send 2 hand-in key=a body=code
			other expect 2 500
			other send 3 hand-in key=b body=code
			second expect RUN 3 hand-in code
			second send done 3 fine graded
			other expect 3 200 graded
			second expect nothing`},
		"what comes on a connection that stands is served": {`
			balancer send 1 quick-check
			engine expect RUN 1 quick-check`, `
			old send TERM
			balancer send 2 quick-check
			engine expect RUN 2 quick-check
			engine send done 1 fine one
			balancer expect 1 200 one
			engine send done 2 fine two
			balancer expect 2 200 two
			balancer expect gone
			old expect exit 0`, `
			balancer send 3 quick-check
			second expect RUN 3 quick-check
			second send done 3 fine three
			balancer expect 3 200 three`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			engine, second := scenario.NewEngine(t), scenario.NewEngine(t)
			old := p.start(engine.Listener.Addr().String())
			actors := map[string]scenario.Actor{
				"engine":   engine,
				"second":   second,
				"old":      old,
				"balancer": scenario.NewBalancer(t, p.addr, false),
			}
			scenario.Play(t, "engine expect ATTACH 0"+x.before, actors)
			actors["new"] = p.start(second.Listener.Addr().String())
			scenario.Play(t, "second expect ATTACH 0"+x.during, actors)
			// only the new process listens now
			actors["other"] = scenario.NewBalancer(t, p.addr, false)
			scenario.Play(t, x.after, actors)
		})
	}
}

// A process that never becomes ready, or dies, changes nothing for the one that serves, and no
// connection goes to it.
func TestNewVersionThatFails(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	engine := scenario.NewEngine(t)
	old := p.start(engine.Listener.Addr().String())
	nobody := scenario.NewEngine(t) // whose engine does not come up
	nobody.Listener.Close()
	actors := map[string]scenario.Actor{"engine": engine, "old": old}
	scenario.Play(t, "engine expect ATTACH 0", actors)
	for _, end := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		fresh := launchUnready(t, p, nobody.Listener.Addr().String())
		if status, _ := fresh.door("/ops/readiness"); status != 503 {
			t.Errorf("a process without an engine says %d", status)
		}
		for i := range 8 {
			b := scenario.NewBalancer(t, p.addr, false)
			actors["balancer"] = b
			id := fmt.Sprint(int(end)*100 + i)
			scenario.Play(
				t,
				"balancer send "+id+" quick-check\nengine expect RUN "+id+" quick-check\nengine send "+
					"done "+id+" fine ok\nbalancer expect "+id+" 200 ok",
				actors,
			)
		}
		if err := fresh.cmd.Process.Signal(end); err != nil {
			t.Fatal(err)
		}
		<-fresh.exit
	}
	scenario.Play(t, "old send TERM\nold expect exit 0", actors)
	if !strings.Contains(old.log(), "event=drain.started") {
		t.Error("without another process that serves TERM is a drain: " + old.log())
	}
}

// launchUnready starts a process of which only the door listens.
func launchUnready(t *testing.T, p *pair, engine string) *program {
	t.Helper()
	// The front's line never comes; the door's is the one that is waited for.
	return launch(
		t,
		map[string]any{
			"listen":  p.addr,
			"ops":     "127.0.0.1:0",
			"engine":  engine,
			"backend": engine,
			"stop_ms": 1000,
			"$TMPDIR": p.tmp,
			"$WAIT":   1,
		},
		"",
	)
}

// Two processes are one runner to the roster: it is told that the runner is there all the while,
// and never that it leaves.
func TestRosterHearsOfOneRunner(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	roster, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { roster.Close() })
	start := func(engine, roster string) *program {
		r := launch(
			t,
			map[string]any{
				"listen":  p.addr,
				"ops":     "127.0.0.1:0",
				"engine":  engine,
				"backend": engine,
				"roster":  roster,
				"stop_ms": 30000,
				"$TMPDIR": p.tmp,
			},
			"",
		)
		p.ready(r)
		return r
	}
	hear := func() string {
		buf := make([]byte, 64)
		roster.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _, err := roster.ReadFrom(buf)
		if err != nil {
			t.Fatal(err)
		}
		return string(buf[:n])
	}
	engines := []string{
		scenario.NewEngine(t).Listener.Addr().String(),
		scenario.NewEngine(t).Listener.Addr().String(),
	}
	down := listenNowhere(t) // a start does not wait for a roster that is down
	old := start(engines[0], roster.LocalAddr().String())
	if got := hear(); got != "HERE n0 on" {
		t.Errorf("it says %q", got)
	}
	fresh := start(engines[1], down)
	scenario.Play(t, "old send TERM\nold expect exit 0", map[string]scenario.Actor{"old": old})
	roster.SetReadDeadline(time.Now())
	for buf := make([]byte, 64); ; {
		roster.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, _, err := roster.ReadFrom(buf)
		if err != nil { // all that it had said is read
			break
		}
		if got := string(buf[:n]); got != "HERE n0 on" {
			t.Errorf("a process that is replaced says %q", got)
		}
	}
	if status, _ := fresh.door("/ops/readiness"); status != 200 {
		t.Errorf("without a roster it says %d", status)
	}
}

// listenNowhere is an address of UDP on which nobody listens.
func listenNowhere(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// Classes come and go under load, twice in quick succession too. Requests of a class that stays are
// all served or refused, and one that is dropped fails or is served, but never breaks a connection.
func TestClassesChangeUnderLoad(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	r := p.start(scenario.NewCountingEngine(t, 3*time.Millisecond, &scenario.RunCounts{}).Listener.Addr().String())
	var ids atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, class := range []string{"full-check", "full-check", "extra", "quick-check"} {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", ids.Add(1))
				status, body, err := scenario.SendRequest(p.addr, id, class, id)
				switch {
				case err != nil:
					t.Errorf("%s: %v", class, err)
				case status == 200 && body != "result of "+id,
					status != 200 && status != 503 && class == "full-check":
					t.Errorf("%s: %d %q", class, status, body)
				}
			}
		})
	}
	for range 3 { // of one event ten lines pass in a second
		for _, classes := range []string{
			"extra full-check hand-in",
			"full-check hand-in",
			"quick-check full-check hand-in",
		} {
			if err := r.Send(append([]string{"HUP", "classes"}, strings.Fields(classes)...)); err != nil {
				t.Error(err)
			}
		}
	}
	close(stop)
	callers.Wait()
	f := r.stats(t)
	if f.Open != 0 || f.CfgAccepted != 9 || f.CfgInvalid != 0 || f.Fulfilled["full-check"] == 0 {
		t.Errorf("the figures are %+v", f)
	}
	t.Logf("%d requests", ids.Load())
}

// Tries of one key go to whichever process takes them, while versions are replaced by TERM or
// killed: no key runs twice, what is served is its own result, and without kills each try has a
// whole answer.
func TestKeysRunOnceWhileVersionsChange(t *testing.T) {
	t.Parallel()
	for name, kill := range map[string]bool{"replaced": false, "killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			runs := &scenario.RunCounts{}
			engine := func() string {
				return scenario.NewCountingEngine(
					t,
					3*time.Millisecond,
					runs,
				).Listener.Addr().String()
			}
			old := p.start(engine())
			var ids, keys, served, broken atomic.Int64
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						key := fmt.Sprintf("key-%d", keys.Add(1))
						var tries sync.WaitGroup
						for range 3 { // at the same time, and one after that
							tries.Go(func() { p.tryKey(&ids, &served, &broken, key) })
						}
						tries.Wait()
						p.tryKey(&ids, &served, &broken, key)
					}
				})
			}
			for range 3 {
				fresh := p.start(engine())
				time.Sleep(100 * time.Millisecond) // both serve
				if kill {
					old.cmd.Process.Kill()
				} else if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				if err := <-old.exit; err != nil && !kill {
					t.Error(err)
				}
				old = fresh
			}
			close(stop)
			callers.Wait()
			ran := 0
			runs.Each(func(key string, n int) {
				if ran++; n > 1 {
					t.Errorf("%s ran %d times", key, n)
				}
			})
			if served.Load() == 0 || ran == 0 {
				t.Error("nothing was served")
			}
			if n := broken.Load(); !kill && n > 0 {
				t.Errorf("%d tries had no whole answer", n)
			}
			t.Logf(
				"%d keys, %d tries, %d served, %d broken",
				keys.Load(),
				ids.Load(),
				served.Load(),
				broken.Load(),
			)
		})
	}
}

func (p *pair) tryKey(ids, served, broken *atomic.Int64, key string) {
	status, body, err := scenario.SendRequest(p.addr, fmt.Sprintf("%016x", ids.Add(1)), "hand-in", key)
	switch {
	case err != nil:
		broken.Add(1)
	case status == 200 && body != "result of "+key:
		p.t.Errorf("%s is served with %q", key, body)
	case status == 200:
		served.Add(1)
	}
}
