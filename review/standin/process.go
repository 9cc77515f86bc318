package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Site is one deployment under test: the repository, a temporary folder, and the processes started.
type Site struct {
	Root   string // of the repository
	Dir    string // temporary; removed at the end
	Record *Record
	mu     sync.Mutex
	procs  []*Process
	closed bool // no process may be started any more
}

// NewSite creates the temporary folder.
func NewSite(root string, record *Record) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Site{Root: root, Dir: dir, Record: record}, nil
}

// Close kills what is still running and removes the temporary folder.
func (s *Site) Close() {
	s.mu.Lock()
	procs := s.procs
	s.closed = true
	s.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	os.RemoveAll(s.Dir)
}

// FreeAddress returns a free loopback address.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:1"
	}
	defer l.Close()
	return l.Addr().String()
}

// Class is one class of the settings.
type Class struct {
	Name, Idempotency        string
	Target, Deadline, Window time.Duration
	Worth, LateWorth         float64
	Calls                    bool
}

// Classes are those of the deployment page's settings.
var Classes = []Class{
	{"quick-check", "read_like", 2700 * time.Millisecond, 9 * time.Second, 5 * time.Second, 1, 0.2, true},
	{"full-check", "read_like", 2700 * time.Millisecond, 9 * time.Second, 5 * time.Second, 1, 0, false},
	{"hand-in", "idempotency_key", 1800 * time.Millisecond, 4300 * time.Millisecond, 13020 * time.Millisecond, 3, 0.2, true},
}

// Config holds the addresses of one process's platform file.
type Config struct {
	Name, Listen, Engine, Roster, Backend, Ops string
	StopMs                                     int
	Classes                                    []Class
}

// Write writes the platform's file, with the settings of the wire page's example.
func (c Config) Write(path string) error {
	var classes []map[string]any
	var calls, skip []any
	for _, class := range c.Classes {
		classes = append(classes, map[string]any{
			"Name": class.Name, "Idempotency": class.Idempotency, "Worth": class.Worth, "LateWorth": class.LateWorth,
			"TargetUs": class.Target.Microseconds(), "DeadlineUs": class.Deadline.Microseconds(),
			"WindowUs": class.Window.Microseconds(),
		})
		calls = append(calls, class.Calls)
		skip = append(skip, 0.0)
	}
	account := func(name string, portion, quota float64) map[string]any {
		return map[string]any{"Name": name, "Portion": portion, "QuotaRps": quota}
	}
	file := map[string]any{
		"name": c.Name, "listen": c.Listen, "engine": c.Engine, "roster": c.Roster, "backend": c.Backend, "ops": c.Ops,
		"seed": "8c1f30d27a5be964", "stop_ms": c.StopMs,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"Accounts": []any{
				account("malarskolan", 0.297, 54), account("ostra-gymnasiet", 0.277, 50),
				account("bergvik-kommun", 0.238, 43), account("lindby-skola", 0.188, 34),
			},
			"Blend":          map[string]any{"Whole": 0.45, "WorstClass": 0.3, "WorstTenant": 0.1, "WorstWindow": 0.15},
			"Callers":        map[string]any{"MarksRetry": false},
			"Caps":           map[string]any{"CpuUsPerRequest": 0.0, "CpuUsPerS": 60000, "MaxRetryAfterUs": 1000000, "RetryAfter": true},
			"Dcs":            []any{"kista", "solna", "haninge"},
			"DomainType":     "server",
			"Me":             5,
			"OverShareWorth": 0.05,
			"Prices":         map[string]any{"Connection": 0.0, "Handshake": 0.0, "LateFail": 0.044, "Origin": 0.0, "Waste": 0.05},
			"RequestClasses": classes,
			"ResolutionUs":   4000,
			"Rules": map[string]any{"AnswerSlackUs": 60000, "ColdShare": 0.2, "ColdUs": 18000000, "FallMultiple": 6.0,
				"FallUs": 2000000, "StopSendingWithinUs": 1800000},
			"Servers": 10,
			"Specifics": map[string]any{
				"Below": "one_for_all", "CallsByClass": calls, "CallsOut": 4.5, "CallsOverUs": 5000000,
				"ClassSkipWorth": skip, "Cores": 6, "DeepChecks": true, "FreshUs": 0, "Halt": "silent", "HeededUs": 1000000,
				"IdleUs": 30000000, "JustStarted": false, "KeyKb": 125.2, "LingerUs": 200000, "MemoryKb": 49836.0,
				"Meters": []any{"cpu_busy", "runnable", "mem_used", "sockets"}, "PassesDeadline": false,
				"RegistryFollows": false, "RunMemFactor": 8.0, "Say": "allowance", "TellsGone": true, "Upstreams": 3,
			},
			"Stage": 0, "Telemetry": map[string]any{"Fields": []any{}, "How": "silent"}, "Tiers": []any{"runners"},
			"ValueBy": "request", "Zone": 0,
		},
	}
	b, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Process is a process of the project that the case started.
type Process struct {
	Name    string
	Ops     string
	LogPath string
	cmd     *exec.Cmd
	exited  chan struct{}
	record  *Record
}

// RunLine returns the command `run` of the deploy file.
func (s *Site) RunLine() (string, error) {
	b, err := os.ReadFile(filepath.Join(s.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(b)
	if m == nil {
		return "", errors.New("deploy file: no run line")
	}
	return string(m[1]), nil
}

// Start starts a runner with the deploy file's command. args are appended to it. tmpdir is its $TMPDIR.
func (s *Site) Start(label string, c Config, tmpdir string, args ...string) (*Process, error) {
	path := filepath.Join(s.Dir, label+".json")
	if err := c.Write(path); err != nil {
		return nil, err
	}
	line, err := s.RunLine()
	if err != nil {
		return nil, err
	}
	p := &Process{Name: label, Ops: c.Ops, LogPath: filepath.Join(s.Dir, label+".log"), exited: make(chan struct{}), record: s.Record}
	log, err := os.Create(p.LogPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", strings.Join(append([]string{line}, args...), " "))
	p.cmd.Dir = s.Root
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), "ROUTER_NAME="+c.Name, "ROUTER_LISTEN="+c.Listen, "ROUTER_CONFIG="+path,
		"ROUTER_OPS="+c.Ops, "TMPDIR="+tmpdir)
	// If the case itself is killed, the system kills what it started. Main keeps its thread for this.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.start(p); err != nil {
		return nil, err
	}
	s.Record.Line("platform: process %s started, pid %d, engine %s", label, p.cmd.Process.Pid, c.Engine)
	go func() {
		err := p.cmd.Wait()
		s.Record.Line("platform: process %s ended: %v", label, p.cmd.ProcessState)
		_ = err
		close(p.exited)
	}()
	return p, nil
}

// start starts a process that Close will end.
func (s *Site) start(p *Process) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("the case ends")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.procs = append(s.procs, p)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.record.Line("platform: %v to process %s", sig, p.Name)
	_ = p.cmd.Process.Signal(sig)
}

// Kill kills the process if it still runs, and waits for its end.
func (p *Process) Kill() {
	if !p.Ended() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process.
func (p *Process) Wait(within time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// AwaitReady waits until the process answers its readiness call with yes.
func (p *Process) AwaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.Ended() {
			return fmt.Errorf("process %s ended at its start", p.Name)
		}
		answer, err := client.Get("http://" + p.Ops + "/ops/readiness")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode/100 == 2 {
			p.record.Line("platform: process %s is ready", p.Name)
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready within %v", p.Name, within)
}

// StopAfter sends SIGKILL once d has passed, as the platform does after SIGTERM.
func (p *Process) StopAfter(d time.Duration) {
	go func() {
		if !p.Wait(d) {
			p.Signal(syscall.SIGKILL)
		}
	}()
}
