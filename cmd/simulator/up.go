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
	Bin     string        `placeholder:"FILE" help:"The runner's program; without it, it is built from this checkout."`
	Runners int           `default:"3" help:"Runners to start."`
	Servers int           `default:"3" help:"uwsgi servers behind them."`
	Callers int           `default:"6" help:"Callers that hand in at once."`
	Copies  int           `help:"Runners are peers and keep so many copies beside the first, in place of a disk."`
	Roam    bool          `help:"A repeat goes to another runner than the try before it; without copies that runs keys twice."`
	For     time.Duration `default:"10s" help:"How long callers hand in, or as long as the faults take."`
	Script  string        `placeholder:"FILE" help:"Faults, a line each, such as: 2s kill n2 --back 1s"`
	Fault   []string      `sep:"none" placeholder:"LINE" help:"One fault; may be given more than once."`
	Random  int           `help:"So many faults, drawn by the seed."`
	Wipe    bool          `help:"Some of them take the disk as well."`
	Seed    uint64        `default:"1" help:"Of the faults that are drawn."`
	Logs    string        `placeholder:"FOLDER" help:"Where the runners' files and folders stay; else they go with the fleet."`
	JSON    bool          `help:"Print the end of it as JSON."`
}

// broken is the error of a run in which a promise was broken.
type broken struct{ historychecker.Verdict }

func (b broken) Error() string { return b.String() }

// lookEvery is how often the table is drawn anew.
const lookEvery = 500 * time.Millisecond

// Run brings a fleet up, sends traffic, plays faults, and ends with the checker's verdict.
func (c *upCmd) Run(l *lab) error {
	faults, err := c.faults()
	if err != nil {
		return badInput{err}
	}
	if c.Runners < 1 || c.Runners > 64 || c.Servers < 1 || c.Servers > 64 || c.Callers < 1 || c.For <= 0 ||
		c.Copies < 0 ||
		c.Copies >= c.Runners {
		return badInput{
			fmt.Errorf(
				"--runners and --servers are 1 to 64, --callers at least 1, --for above 0, --copies " +
					"fewer than runners",
			),
		}
	}
	bin, remove, err := c.program(l)
	if err != nil {
		return err
	}
	defer remove()
	fleet, err := cluster.Start(
		cluster.Options{
			Binary:   bin,
			Dir:      c.Logs,
			Runners:  c.Runners,
			Zones:    3,
			Servers:  c.Servers,
			RunTime:  5 * time.Millisecond,
			Window:   c.window(),
			Timeout:  10 * time.Second,
			Replicas: c.Copies,
		},
	)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if c.Copies > 0 {
		fmt.Fprintln(l.err, "copies are made; sets that begin with nothing take no hand-ins for a window")
		if err := fleet.WaitUntilReplicated(30 * time.Second); err != nil {
			return err
		}
		if err := fleet.WaitUntilAccepting(30 * time.Second); err != nil {
			return err
		}
	}
	load := &cluster.Load{Callers: c.Callers, SwitchRunners: c.Roam, Repeats: 1, RepeatFor: c.window() / 2}
	load.Start(fleet)
	began := time.Now()
	var last atomic.Value
	over, drawn := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(drawn)
		c.draw(l, fleet, began, &last, over)
	}()
	err = fleet.Play(faults, func(f cluster.Fault) { last.Store(f.String()) })
	select {
	case <-time.After(time.Until(began.Add(c.For))):
	case <-l.ctx.Done():
	}
	if err == nil {
		err = fleet.Repair()
	}
	load.Stop()
	close(over)
	<-drawn
	if err != nil {
		return err
	}
	return c.verdict(l, fleet)
}

// window is that of hand-ins. Sets that begin with nothing take no keys for as long: with peers it
// is short.
func (c *upCmd) window() time.Duration {
	if c.Copies > 0 {
		return 3 * time.Second
	}
	return 10 * time.Minute
}

// faults are those of the script, of the flags, and those that are drawn.
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
	for _, f := range cluster.RandomFaults(c.Seed, c.Random, c.For, c.Runners, c.Servers, c.Wipe, c.Copies > 0) {
		text += "\n" + f.String()
	}
	return cluster.ParseScript(text)
}

// program is the runner's, which is built if none was named.
func (c *upCmd) program(l *lab) (bin string, remove func(), err error) {
	if c.Bin != "" {
		if _, err := os.Stat(c.Bin); err != nil {
			return "", nil, badInput{err}
		}
		return c.Bin, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "simulator")
	if err != nil {
		return "", nil, err
	}
	bin = filepath.Join(dir, "ryepaddle")
	if out, err := exec.CommandContext(
		l.ctx,
		"go",
		"build",
		"-o",
		bin,
		"ryepaddle/cmd/runner",
	).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", nil, badInput{
			fmt.Errorf("no --bin, and the program cannot be built here: %w\n%s", err, out),
		}
	}
	return bin, func() { os.RemoveAll(dir) }, nil
}

// draw shows how the fleet stands until it is over: a table in place on a screen, a line a second
// elsewhere.
func (c *upCmd) draw(
	l *lab,
	fleet *cluster.Cluster,
	began time.Time,
	last *atomic.Value,
	over chan struct{},
) {
	for lines := 0; ; {
		select {
		case <-over:
			return
		case <-time.After(lookEvery):
		}
		fault, _ := last.Load().(string)
		head := fmt.Sprintf("%4.1fs  %v  last fault: %s", time.Since(began).Seconds(), fleet, fault)
		if !l.screen {
			fmt.Fprintln(l.err, head)
			continue
		}
		text := head + "\n" + rows(fleet.States()) + "\n"
		fmt.Fprintf(l.err, "\x1b[%dA\x1b[J%s", lines, text)
		if lines == 0 {
			fmt.Fprintf(l.err, "\x1b[J")
		}
		lines = strings.Count(text, "\n")
	}
}

func rows(all []cluster.NodeState) string {
	t := table.NewWriter()
	t.AppendHeader(
		table.Row{
			"runner",
			"hall",
			"state",
			"served",
			"refused",
			"failed",
			"broken",
			"keys held",
			"slots whole",
		},
	)
	for _, r := range all {
		keys := fmt.Sprint(r.KeysHeld)
		if r.Process != "up" || r.Unresponsive {
			keys = "?"
		}
		t.AppendRow(
			table.Row{
				r.Name,
				r.Zone,
				r.Process,
				r.Responses[historychecker.Served],
				r.Responses[historychecker.Rejected],
				r.Responses[historychecker.Failed],
				r.Responses[historychecker.Unknown],
				keys,
				r.ReplicatedSlots,
			},
		)
	}
	return t.Render()
}

// verdict tells how it ended. A broken promise is told with the command that plays it again.
func (c *upCmd) verdict(l *lab, fleet *cluster.Cluster) error {
	v, all := fleet.Check(), fleet.States()
	var bill *ledger.Bill
	// drawn faults may take more machines at once than there are copies
	if c.Copies > 0 && !(c.Random > 0 && c.Wipe) {
		its, b, err := fleet.ReconcileUsage()
		if err != nil {
			return err
		}
		v, bill = append(v, its...), b
	}
	if c.JSON {
		err := l.json(struct {
			Runners []cluster.NodeState    `json:"runners"`
			Tries   map[string]int         `json:"tries"`
			Ran     int                    `json:"keys_run"`
			Broken  historychecker.Verdict `json:"broken"`
			Bill    *ledger.Bill           `json:"bill,omitempty"`
			Seed    uint64                 `json:"seed"`
		}{all, named(fleet.History.Count()), len(fleet.RunCounts()), v, bill, c.Seed})
		if err != nil {
			return err
		}
	} else {
		fmt.Fprintf(l.out, "%s\n%v\n", rows(all), fleet)
		if bill != nil {
			served := int64(0)
			for _, line := range bill.Lines {
				served += line.Served
			}
			fmt.Fprintf(l.out, "%d hand-ins billed, by %d statements\n", served, bill.Statements)
		}
		fmt.Fprintf(l.out, "%v\n", v)
	}
	if len(v) > 0 {
		fmt.Fprintf(l.err, "again with: simulator up %s\n", c.again())
		return broken{v}
	}
	return nil
}

func named(n map[historychecker.Outcome]int) map[string]int {
	out := map[string]int{}
	for end, count := range n {
		out[end.String()] = count
	}
	return out
}

// again is the command line that plays the same faults.
func (c *upCmd) again() string {
	words := []string{
		fmt.Sprintf(
			"--runners %d --servers %d --callers %d --for %v --seed %d",
			c.Runners,
			c.Servers,
			c.Callers,
			c.For,
			c.Seed,
		),
	}
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
