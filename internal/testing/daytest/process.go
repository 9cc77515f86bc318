package daytest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/simulator/dependencies"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/virtualclock"
)

const (
	receiveBuffer = 1 << 20 // bytes, of each connection
	sendBuffer    = 4 << 20 // bytes, of each connection
)

var bufferLimits = eventloop.BufferLimits{In: receiveBuffer, Out: sendBuffer}

// listenEvent matches the log line with the address of the FastCGI listener.
var listenEvent = regexp.MustCompile(`event=start.listens name=\S+ address=(\S+)`)

// process is a runner's process, with its engine and the balancers' connections to it. It implements
// fleet.Process.
type process struct {
	harness     *harness
	incarnation *fleet.Incarnation
	command     *exec.Cmd
	exited      chan struct{}  // closed once the process has ended
	addr        netip.AddrPort // address of its listener; invalid: not known yet
	engine      *engine
	conns       map[uint32][]*balancerConn   // by balancer
	exchanges   map[*fleet.Attempt]*exchange // in flight
	isKilled    bool
}

// launch starts an engine and a runner whose configuration has that engine's address.
func (h *harness) launch(incarnation *fleet.Incarnation, set admission.Settings) (fleet.Process, error) {
	p := &process{
		harness:     h,
		incarnation: incarnation,
		exited:      make(chan struct{}),
		conns:       map[uint32][]*balancerConn{},
		exchanges:   map[*fleet.Attempt]*exchange{},
	}
	var err error
	if p.engine, err = newEngine(h.loop, incarnation); err != nil {
		return nil, err
	}
	h.starts++
	path := filepath.Join(h.dir, fmt.Sprintf("%d.json", h.starts))
	if err := p.writeConfig(path, &set); err != nil {
		return nil, err
	}
	if err := p.start(path); err != nil {
		return nil, err
	}
	h.processes = append(h.processes, p)
	return p, nil
}

// writeConfig writes the platform's file of the process.
func (p *process) writeConfig(path string, set *admission.Settings) error {
	h := p.harness
	text, err := json.Marshal(PlatformConfig{
		Name:     p.incarnation.Name(),
		Listen:   loopback.String(),
		Engine:   p.engine.listener.Addr().String(),
		Backend:  h.backend.addr.String(),
		Roster:   h.registry.LocalAddr().String(),
		Seed:     fmt.Sprintf("%016x", h.starts),
		StopMs:   virtualclock.Micros(h.simulation.StopTimeout()) / 1000,
		Limits:   runnerLimits,
		Settings: Settings(set),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// start starts the program. Its temporary directory is empty at each start, as on the platform, and
// the process does not outlive this one.
func (p *process) start(config string) error {
	temp := config + ".tmp"
	if err := os.Mkdir(temp, 0o700); err != nil {
		return err
	}
	p.command = exec.Command(p.harness.binary)
	p.command.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+temp)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr, err := p.command.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("daytest: %w", err)
	}
	go p.readLog(bufio.NewScanner(stderr))
	return nil
}

// readLog passes on the log lines of the process, takes its address from them, and reports its exit to
// the model. It runs in a goroutine of its own.
func (p *process) readLog(lines *bufio.Scanner) {
	for lines.Scan() {
		line := lines.Text()
		p.harness.logLine(p.incarnation.Name(), line)
		if m := listenEvent.FindStringSubmatch(line); m != nil {
			p.setAddress(m[1])
		}
	}
	err := p.command.Wait()
	close(p.exited)
	p.harness.loop.Deliver(func() {
		if !p.isKilled {
			p.incarnation.Lost(fmt.Sprintf("crash: the process ended: %v", err))
		}
	})
}

// setAddress stores the address that the process logged. It may be called by any goroutine.
func (p *process) setAddress(text string) {
	addr, err := netip.ParseAddrPort(text)
	p.harness.loop.Deliver(func() {
		p.addr = addr
		if err != nil {
			p.harness.fail(fmt.Errorf("daytest: %s: %w", p.incarnation.Name(), err))
		}
	})
}

// IsReady implements fleet.Process.
func (p *process) IsReady() bool { return p.addr.IsValid() && p.engine.isAttached() }

// Forget implements fleet.Process.
func (p *process) Forget(*fleet.Attempt) {}

// Drain implements fleet.Process.
func (p *process) Drain(time.Duration) { _ = p.command.Process.Signal(syscall.SIGTERM) }

// Kill implements fleet.Process. It kills the process and all processes that it started.
func (p *process) Kill() {
	if p.isKilled {
		return
	}
	p.isKilled = true
	_ = syscall.Kill(-p.command.Process.Pid, syscall.SIGKILL) // fails if the process has exited
	p.engine.close()
	for _, conns := range p.conns {
		for _, c := range conns {
			c.Close(nil)
		}
	}
}

// Needs implements fleet.Process.
func (p *process) Needs(a *fleet.Attempt) {
	p.engine.notify(message{Type: typeNeed, RequestID: a.Name, Body: []byte(a.Name)})
}

// Ended implements fleet.Process.
func (p *process) Ended(a *fleet.Attempt, outcome dependencies.RunOutcome) {
	m := message{Type: typeDone, RequestID: a.Name, Status: statusAborted}
	if outcome == dependencies.RunSucceeded {
		m.Status = statusSuccess
		m.Body = resultOf(a)
	}
	p.engine.notify(m)
}

// resultOf returns the result of a run.
func resultOf(a *fleet.Attempt) []byte { return append([]byte("result of "), a.Body()...) }
