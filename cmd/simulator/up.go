package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/testing/cluster"
	"ryepaddle/internal/testing/historychecker"
	"ryepaddle/internal/usage/ledger"
)

type upCmd struct {
	Bin     string        `placeholder:"FILE" help:"The runner's executable; without it, build one from this checkout."`
	Runners int           `default:"3" help:"Number of runners to start."`
	Servers int           `default:"3" help:"Number of uwsgi servers to start behind the runners."`
	Callers int           `default:"6" help:"Number of concurrent callers."`
	Copies  int           `help:"Further replicas of each key on peers; without it, keys are stored on disk."`
	Roam    bool          `help:"${help_roam}"`
	For     time.Duration `default:"10s" help:"How long callers send requests; longer if the faults take longer."`
	Script  string        `placeholder:"FILE" help:"File of faults, one per line, such as: 2s kill n2 --back 1s"`
	Fault   []string      `sep:"none" placeholder:"LINE" help:"A fault, as in a line of --script; may be repeated."`
	Random  int           `help:"Number of random faults to add, drawn with --seed."`
	Wipe    bool          `help:"Have some of the random kills also delete the runner's disk."`
	Seed    uint64        `default:"1" help:"Seed of the random faults."`
	Logs    string        `placeholder:"FOLDER" help:"${help_logs}"`
	JSON    bool          `help:"Print the result as JSON."`
}

// violationError reports a run in which guarantees to callers were violated.
type violationError struct{ historychecker.Verdict }

// Error implements error.
func (e violationError) Error() string { return e.String() }

const (
	displayInterval = 500 * time.Millisecond // between two displays of the runners' states
	runTime         = 5 * time.Millisecond   // time that a server takes for a keyed request
	zones           = 3
	answerTimeout   = 10 * time.Second
	readyTimeout    = 30 * time.Second
	maxProcesses    = 64 // of runners, and of servers

	// The windows of idempotency keys that are kept on disk, and of replicated ones.
	keyWindow           = 10 * time.Minute
	replicatedKeyWindow = 3 * time.Second
)

// Run starts a fleet, sends keyed requests, injects faults and checks the outcomes that the callers saw.
func (c *upCmd) Run(console *console) error {
	faults, err := c.faults()
	if err != nil {
		return inputError{err}
	}
	if err := c.check(); err != nil {
		return err
	}
	binary, remove, err := c.program(console)
	if err != nil {
		return err
	}
	defer remove()
	fleet, err := cluster.Start(cluster.Options{
		Binary:   binary,
		Dir:      c.Logs,
		Runners:  c.Runners,
		Zones:    zones,
		Servers:  c.Servers,
		RunTime:  runTime,
		Window:   c.window(),
		Timeout:  answerTimeout,
		Replicas: c.Copies,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if c.Copies > 0 {
		if err := waitForReplicas(console, fleet); err != nil {
			return err
		}
	}
	if err := c.injectFaults(console, fleet, faults); err != nil {
		return err
	}
	return c.verdict(console, fleet)
}

func (c *upCmd) check() error {
	if c.Runners < 1 || c.Runners > maxProcesses || c.Servers < 1 || c.Servers > maxProcesses ||
		c.Callers < 1 || c.For <= 0 || c.Copies < 0 || c.Copies >= c.Runners {
		return badInput("--runners and --servers must be 1 to %d, --callers at least 1, --for above 0, --copies "+
			"0 or more and less than --runners", maxProcesses)
	}
	return nil
}

// waitForReplicas waits until the replicas are complete and keyed requests are admitted.
func waitForReplicas(console *console, fleet *cluster.Cluster) error {
	fmt.Fprintln(console.stderr, "waiting for replicas; replica sets without data admit no keyed requests for a window")
	if err := fleet.WaitUntilReplicated(readyTimeout); err != nil {
		return err
	}
	return fleet.WaitUntilAccepting(readyTimeout)
}

// injectFaults injects the faults while callers send requests, and shows the states of the runners. At the
// end it repairs all faults.
func (c *upCmd) injectFaults(console *console, fleet *cluster.Cluster, faults []cluster.Fault) error {
	load := &cluster.Load{Callers: c.Callers, SwitchRunners: c.Roam, Repeats: 1, RepeatFor: c.window() / 2}
	load.Start(fleet)
	display := startDisplay(console, fleet)
	err := fleet.Play(faults, display.setLastFault)
	select {
	case <-time.After(time.Until(display.startedAt.Add(c.For))):
	case <-console.ctx.Done():
	}
	if err == nil {
		err = fleet.Repair()
	}
	load.Stop()
	display.stop()
	return err
}

// window returns the window of the idempotency keys. With replicas it is short: a fleet that starts without
// data admits no keyed requests until a window has passed.
func (c *upCmd) window() time.Duration {
	if c.Copies > 0 {
		return replicatedKeyWindow
	}
	return keyWindow
}

// faults returns the faults of the script, those of the flags and the random ones.
func (c *upCmd) faults() ([]cluster.Fault, error) {
	text := strings.Join(c.Fault, "\n")
	if c.Script != "" {
		file, err := os.ReadFile(c.Script)
		if err != nil {
			return nil, err
		}
		text = string(file) + "\n" + text
	}
	faults, err := cluster.ParseScript(text)
	if err != nil || c.Random <= 0 {
		return faults, err
	}
	drawn := cluster.RandomFaults(c.Seed, c.Random, c.For, c.Runners, c.Servers, c.Wipe, c.Copies > 0)
	for _, f := range drawn {
		text += "\n" + f.String()
	}
	return cluster.ParseScript(text)
}

// program returns the path of the runner's executable. It builds one if --bin is not given. remove deletes
// the built executable.
func (c *upCmd) program(console *console) (path string, remove func(), err error) {
	if c.Bin != "" {
		if _, err := os.Stat(c.Bin); err != nil {
			return "", nil, inputError{err}
		}
		return c.Bin, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "simulator")
	if err != nil {
		return "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	path = filepath.Join(dir, "ryepaddle")
	build := exec.CommandContext(console.ctx, "go", "build", "-o", path, "ryepaddle/cmd/runner")
	if output, err := build.CombinedOutput(); err != nil {
		remove()
		return "", nil, badInput("--bin is not given, and building the runner failed: %w\n%s", err, output)
	}
	return path, remove, nil
}

// display shows the states of the runners every displayInterval: on a terminal as a table that is redrawn in
// place, otherwise as one more line.
type display struct {
	console   *console
	fleet     *cluster.Cluster
	startedAt time.Time
	lastFault atomic.Value // text of the last injected fault, a string
	stopping  chan struct{}
	stopped   chan struct{}
}

func startDisplay(console *console, fleet *cluster.Cluster) *display {
	d := &display{
		console:   console,
		fleet:     fleet,
		startedAt: time.Now(),
		stopping:  make(chan struct{}),
		stopped:   make(chan struct{}),
	}
	go d.run()
	return d
}

func (d *display) setLastFault(f cluster.Fault) { d.lastFault.Store(f.String()) }

// stop stops the display and waits until it has stopped.
func (d *display) stop() {
	close(d.stopping)
	<-d.stopped
}

func (d *display) run() {
	defer close(d.stopped)
	for lines := 0; ; {
		select {
		case <-d.stopping:
			return
		case <-time.After(displayInterval):
		}
		fault, _ := d.lastFault.Load().(string)
		head := fmt.Sprintf("%4.1fs  %v  last fault: %s", time.Since(d.startedAt).Seconds(), d.fleet, fault)
		if !d.console.terminal {
			fmt.Fprintln(d.console.stderr, head)
			continue
		}
		text := head + "\n" + renderStates(d.fleet.States()) + "\n"
		// Move the cursor up to the first line of the last table, and clear the screen from there.
		fmt.Fprintf(d.console.stderr, "\x1b[%dA\x1b[J%s", lines, text)
		if lines == 0 {
			fmt.Fprintf(d.console.stderr, "\x1b[J")
		}
		lines = strings.Count(text, "\n")
	}
}

// renderStates returns a table of the states of the runners.
func renderStates(states []cluster.NodeState) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{
		"runner", "hall", "state", "served", "refused", "failed", "broken", "keys held", "slots whole",
	})
	for _, s := range states {
		keys := fmt.Sprint(s.KeysHeld)
		if s.Process != "up" || s.Unresponsive {
			keys = "?"
		}
		t.AppendRow(table.Row{
			s.Name,
			s.Zone,
			s.Process,
			s.Responses[historychecker.Served],
			s.Responses[historychecker.Rejected],
			s.Responses[historychecker.Failed],
			s.Responses[historychecker.Unknown],
			keys,
			s.ReplicatedSlots,
		})
	}
	return t.Render()
}

// fleetResult is the result of a run as JSON.
type fleetResult struct {
	Runners []cluster.NodeState    `json:"runners"`
	Tries   map[string]int         `json:"tries"`    // attempts by outcome
	Ran     int                    `json:"keys_run"` // keys that a server began to run
	Broken  historychecker.Verdict `json:"broken"`   // violations of guarantees to callers
	Bill    *ledger.Bill           `json:"bill,omitempty"`
	Seed    uint64                 `json:"seed"`
}

// verdict checks the run and prints its result. After a violation it prints the command that repeats the
// run, and returns a violationError.
func (c *upCmd) verdict(console *console, fleet *cluster.Cluster) error {
	result := fleetResult{Broken: fleet.Check(), Runners: fleet.States(), Seed: c.Seed}
	// With --wipe, random faults may wipe more disks at once than there are replicas. Usage may then be lost, so
	// it is not reconciled.
	if c.Copies > 0 && !(c.Random > 0 && c.Wipe) {
		violations, bill, err := fleet.ReconcileUsage()
		if err != nil {
			return err
		}
		result.Broken = append(result.Broken, violations...)
		result.Bill = bill
	}
	if err := c.show(console, fleet, &result); err != nil {
		return err
	}
	if len(result.Broken) > 0 {
		fmt.Fprintf(console.stderr, "repeat with: simulator up %s\n", c.arguments())
		return violationError{result.Broken}
	}
	return nil
}

func (c *upCmd) show(console *console, fleet *cluster.Cluster, result *fleetResult) error {
	if c.JSON {
		result.Tries = map[string]int{}
		result.Ran = len(fleet.RunCounts())
		for outcome, count := range fleet.History.Count() {
			result.Tries[outcome.String()] = count
		}
		return console.printJSON(result)
	}
	fmt.Fprintf(console.stdout, "%s\n%v\n", renderStates(result.Runners), fleet)
	if bill := result.Bill; bill != nil {
		served := int64(0)
		for _, line := range bill.Lines {
			served += line.Served
		}
		fmt.Fprintf(console.stdout, "%d keyed requests billed, by %d statements\n", served, bill.Statements)
	}
	fmt.Fprintf(console.stdout, "%v\n", result.Broken)
	return nil
}

// arguments returns the arguments that repeat the run.
func (c *upCmd) arguments() string {
	words := []string{fmt.Sprintf("--runners %d --servers %d --callers %d --for %v --seed %d",
		c.Runners, c.Servers, c.Callers, c.For, c.Seed)}
	if c.Copies > 0 {
		words = append(words, fmt.Sprintf("--copies %d", c.Copies))
	}
	if c.Roam {
		words = append(words, "--roam")
	}
	if c.Random > 0 {
		words = append(words, fmt.Sprintf("--random %d", c.Random))
	}
	if c.Wipe {
		words = append(words, "--wipe")
	}
	if c.Script != "" {
		words = append(words, "--script "+c.Script)
	}
	for _, f := range c.Fault {
		words = append(words, fmt.Sprintf("--fault %q", f))
	}
	return strings.Join(words, " ")
}
