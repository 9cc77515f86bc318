package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// class is a class of the settings.
type class struct {
	Name, Idempotency              string
	Worth, LateWorth               float64
	TargetUs, DeadlineUs, WindowUs int64
}

// siteClasses are the classes of the first site.
func siteClasses() []class {
	return []class{
		{"quick-check", "read_like", 1, 0.2, 2_700_000, 9_000_000, 5_000_000},
		{"full-check", "read_like", 1, 0, 2_700_000, 9_000_000, 5_000_000},
		{"hand-in", "idempotency_key", 3, 0.2, 1_800_000, 4_300_000, 13_020_000},
	}
}

// site is what a configuration file says of the platform.
type site struct {
	listen, engine, backend, roster, ops string
	classes                              []class
}

// file returns the platform's file.
func (s *site) file() []byte {
	type object = map[string]any
	classes := []any{}
	calls := []bool{}
	skip := []float64{}
	for _, c := range s.classes {
		classes = append(classes, c)
		calls = append(calls, c.Name != "full-check")
		skip = append(skip, 0)
	}
	text, _ := json.MarshalIndent(object{
		"name": "n3", "listen": s.listen, "engine": s.engine, "backend": s.backend, "roster": s.roster,
		"ops": s.ops, "seed": "8c1f30d27a5be964", "stop_ms": 5600,
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": object{
			"Accounts": []any{
				object{"Name": "malarskolan", "Portion": 0.6, "QuotaRps": 54.0},
				object{"Name": "lindby-skola", "Portion": 0.4, "QuotaRps": 34.0},
			},
			"Callers":        object{"MarksRetry": false},
			"Caps":           object{"CpuUsPerRequest": 0, "CpuUsPerS": 60000, "MaxRetryAfterUs": 1000000, "RetryAfter": true},
			"OverShareWorth": 0.05, "RequestClasses": classes, "Servers": 10, "ValueBy": "request",
			"Rules": object{"AnswerSlackUs": 60000, "ColdShare": 0.2, "ColdUs": 18000000, "FallMultiple": 6.0,
				"FallUs": 2000000, "StopSendingWithinUs": 1800000},
			"Specifics": object{
				"Below": "one_for_all", "CallsByClass": calls, "CallsOut": 4.5, "CallsOverUs": 5000000,
				"ClassSkipWorth": skip, "Cores": 6, "DeepChecks": true, "FreshUs": 0, "Halt": "silent",
				"HeededUs": 1000000, "IdleUs": 30000000, "JustStarted": false, "KeyKb": 125.2, "LingerUs": 200000,
				"MemoryKb": 49836.0, "Meters": []string{"cpu_busy", "runnable", "mem_used", "sockets"},
				"PassesDeadline": false, "RegistryFollows": false, "RunMemFactor": 8.0, "Say": "allowance",
				"TellsGone": true, "Upstreams": 3,
			},
		},
	}, "", " ")
	return append(text, '\n')
}

// runner is one process of the program.
type runner struct {
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
}

// runCommand returns the command of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run line")
}

// startRunner starts the program with a configuration file and, if it is not empty, an operator's file.
func (c *env) startRunner(name, config, operator string) (*runner, error) {
	command, err := runCommand(c.root)
	if err != nil {
		return nil, err
	}
	if operator != "" {
		command += " -operator " + operator
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = c.root
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config, "TMPDIR="+c.tmp)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &runner{cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		c.rec.note("%s has ended: %v", name, err)
		close(r.exited)
	}()
	c.runners = append(c.runners, r)
	c.rec.note("%s is started", name)
	return r, nil
}

func (r *runner) isAlive() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

// logText returns what the program has logged.
func (r *runner) logText() string {
	text, _ := os.ReadFile(r.log.Name())
	return string(text)
}

// awaitReady waits until the door for operators says yes.
func (c *env) awaitReady(ops string) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		reply, err := client.Get("http://" + ops + "/ops/readiness")
		if err != nil {
			continue
		}
		reply.Body.Close()
		if reply.StatusCode == http.StatusOK {
			c.rec.note("the runner at %s is ready", ops)
			return nil
		}
	}
	return errors.New("the runner does not become ready")
}

// freeAddr returns a loopback address that is free.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

// writeFile replaces a file as a whole.
func writeFile(path string, text []byte) error {
	if err := os.WriteFile(path+".tmp", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

// env is what a case runs in.
type env struct {
	root, dir, tmp string
	trouble        bool
	rec            *record
	all            *registry
	runners        []*runner
	roster         *net.UDPConn
}

func newEnv(number string) (*env, error) {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	if err != nil || os.Getenv("ROOT") == "" {
		return nil, errors.New("ROOT is not set: start the case by its run.sh")
	}
	c := &env{root: root, trouble: os.Getenv("TROUBLE") != "0", all: newRegistry()}
	if c.dir, err = os.MkdirTemp("", "ryepaddle-review-"); err != nil {
		return nil, err
	}
	c.tmp = filepath.Join(c.dir, "tmp")
	if err := os.Mkdir(c.tmp, 0o700); err != nil {
		return nil, err
	}
	if c.rec, err = newRecord(filepath.Join(root, "review", number)); err != nil {
		return nil, err
	}
	c.roster, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}) // reports get no answer
	return c, err
}

// newSite returns a site with the stand-ins' addresses.
func (c *env) newSite(e *engine, b *backend) *site {
	return &site{
		listen: freeAddr(), ops: freeAddr(), engine: e.addr(), backend: b.addr(),
		roster: c.roster.LocalAddr().String(), classes: siteClasses(),
	}
}

func (c *env) path(name string) string { return filepath.Join(c.dir, name) }

// close ends all processes and removes the temporary folder.
func (c *env) close() {
	for _, r := range c.runners {
		if r.isAlive() {
			_ = r.cmd.Process.Kill()
			<-r.exited
		}
		for _, line := range bytes.Split([]byte(r.logText()), []byte("\n")) {
			if bytes.Contains(line, []byte("level=error")) || bytes.Contains(line, []byte("panic")) {
				c.rec.note("log: %s", line)
			}
		}
		r.log.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// errRule is the error of a case in which the rule was broken.
type errRule struct{ text string }

func (e *errRule) Error() string { return e.text }

func broken(format string, v ...any) error { return &errRule{fmt.Sprintf(format, v...)} }
