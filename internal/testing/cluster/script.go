package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/testing/faultlink"

	"golang.org/x/sys/unix"
)

// Fault is one line of a script: when, what, to whom.
//
//	2s kill n2            the process is lost; `--wipe` its disk too; `--back 1s` it is started again so much later
//	2s start n2           it is started; `--old` on the disk that was kept aside
//	2s aside n2           its disk is kept aside, while it runs
//	2s stop n2 3s         it is stopped for so long
//	2s full n2 1s         its disk takes nothing for so long
//	2s hang n2 1s         its disk does not answer for so long; its program is built with the tag faults
//	2s drain n2           it is asked to leave; `--back 1s`
//	2s cut n1 s1          both ways, until heal; with a time for so long
//	2s hold n1 s1 1s      nothing passes; `--there` or `--back-way`: in that direction only
//	2s delay n1 s1 50ms   each piece
//	2s drip n1 s1 100     bytes a second
//	2s chop n1 s1 90      the connection is reset behind so many bytes
//	2s heal n1 s1
//	2s wait               nothing: the run lasts so long at the least
//
// A runner's callers are `clients`. A link to another runner, `n1 n2`, is what n1 says to n2.
type Fault struct {
	At            time.Duration
	Action        string
	Targets       []string
	Value         string
	WipeDisk      bool
	RestoreBackup bool
	RestartAfter  time.Duration // after which it is started again; negative: it is not
	Direction     faultlink.Direction
}

// String is the fault as a line.
func (f Fault) String() string {
	words := append([]string{f.At.String(), f.Action}, f.Targets...)
	if f.Value != "" {
		words = append(words, f.Value)
	}
	if f.WipeDisk {
		words = append(words, "--wipe")
	}
	if f.RestoreBackup {
		words = append(words, "--old")
	}
	if f.RestartAfter >= 0 {
		words = append(words, "--back", f.RestartAfter.String())
	}
	switch f.Direction {
	case faultlink.ToServer:
		words = append(words, "--there")
	case faultlink.ToClient:
		words = append(words, "--back-way")
	}
	return strings.Join(words, " ")
}

// verbs have so many parties, and need a value, may have one, or have none.
var verbs = map[string]struct {
	parties int
	value   string // duration, number, maybe (a duration), none
}{
	"kill": {
		1,
		"none",
	}, "start": {1, "none"},
	"aside": {1, "none"},
	"stop":  {1, "duration"},
	"full":  {1, "duration"},
	"hang":  {1, "duration"},
	"drain": {1, "none"},
	"cut": {
		2,
		"maybe",
	}, "hold": {2, "maybe"},
	"delay": {2, "duration"},
	"drip":  {2, "number"},
	"chop":  {2, "number"},
	"heal":  {2, "none"},
	"wait":  {0, "none"},
}

// ParseFault reads one line.
func ParseFault(line string) (Fault, error) {
	f := Fault{RestartAfter: -1, Direction: faultlink.BothDirections}
	fail := func(why string) (Fault, error) { return f, fmt.Errorf("%q: %s", line, why) }
	var words []string
	in := strings.Fields(line)
	for i := 0; i < len(in); i++ {
		switch in[i] {
		case "--wipe":
			f.WipeDisk = true
		case "--old":
			f.RestoreBackup = true
		case "--there":
			f.Direction = faultlink.ToServer
		case "--back-way":
			f.Direction = faultlink.ToClient
		case "--back":
			var err error
			if i++; i < len(in) {
				f.RestartAfter, err = time.ParseDuration(in[i])
			}
			if i == len(in) || err != nil || f.RestartAfter < 0 {
				return fail("--back needs a time")
			}
		default:
			if strings.HasPrefix(in[i], "--") {
				return fail("unknown flag " + in[i])
			}
			words = append(words, in[i])
		}
	}
	if len(words) < 2 {
		return fail("a fault is a time, a verb and whom it meets")
	}
	var err error
	if f.At, err = time.ParseDuration(words[0]); err != nil || f.At < 0 {
		return fail("it does not begin with a time")
	}
	f.Action = words[1]
	v, ok := verbs[f.Action]
	if !ok {
		return fail("unknown verb " + f.Action)
	}
	rest := words[2:]
	if len(rest) < v.parties {
		return fail(fmt.Sprintf("%s needs %d names", f.Action, v.parties))
	}
	f.Targets, rest = rest[:v.parties], rest[v.parties:]
	if len(rest) > 0 {
		f.Value, rest = rest[0], rest[1:]
	}
	switch {
	case len(rest) > 0 || v.value == "none" && f.Value != "":
		return fail("there is more than " + f.Action + " takes")
	case v.value == "duration" || v.value == "maybe" && f.Value != "":
		if d, err := time.ParseDuration(f.Value); err != nil || d <= 0 {
			return fail(f.Action + " needs a time")
		}
	case v.value == "number":
		if n, err := strconv.Atoi(f.Value); err != nil || n <= 0 {
			return fail(f.Action + " needs a number above 0")
		}
	}
	return f, nil
}

// ParseScript reads lines; blank ones and those that begin with # are passed over. Faults are in
// the order of their times.
func ParseScript(text string) ([]Fault, error) {
	var all []Fault
	var errs []error
	for n, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		f, err := ParseFault(line)
		if err != nil {
			errs = append(errs, fmt.Errorf("line %d: %w", n+1, err))
			continue
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all, errors.Join(errs...)
}

// RandomFaults draws so many faults within a time, by a seed. Runners come back, and links heal; no disk is
// lost unless wipe says so, and links between runners are met only if they are peers.
func RandomFaults(seed uint64, count int, within time.Duration, runners, servers int, wipe, peers bool) []Fault {
	r := rand.New(rand.NewPCG(seed, 0x6661756c7473))
	some := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	all := make([]Fault, 0, count)
	for range count {
		n, s := fmt.Sprintf("n%d", r.IntN(runners)+1), fmt.Sprintf("s%d", r.IntN(servers)+1)
		f := Fault{
			At:           time.Duration(r.Int64N(int64(within))).Round(time.Millisecond),
			Targets:      []string{n, s},
			RestartAfter: -1,
			Direction:    faultlink.BothDirections,
		}
		if r.IntN(3) == 0 {
			f.Targets[1] = "clients"
		}
		if o := fmt.Sprintf("n%d", r.IntN(runners)+1); peers && o != n && r.IntN(2) == 0 {
			f.Targets[1] = o
		}
		switch r.IntN(9) {
		case 0, 1, 2:
			f.Action, f.Targets, f.RestartAfter = "kill", f.Targets[:1], some(20, 300)
			f.WipeDisk = wipe && r.IntN(2) == 0
		case 3:
			f.Action, f.Targets, f.Value = "stop", f.Targets[:1], some(50, 800).String()
		case 4:
			f.Action, f.Targets, f.RestartAfter = "drain", f.Targets[:1], some(20, 300)
		case 5:
			f.Action, f.Value = "cut", some(50, 500).String()
		case 6:
			f.Action, f.Value, f.Direction = "hold", some(50, 800).String(), faultlink.Direction(1+r.IntN(3))
		case 7:
			f.Action, f.Value = "delay", some(1, 60).String()
		case 8:
			f.Action, f.Value = "chop", strconv.Itoa(1+r.IntN(600))
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// link is the one between two parties.
func (c *Cluster) link(who []string) (*faultlink.Link, error) {
	n, err := c.Node(who[0])
	if err != nil {
		return nil, err
	}
	if who[1] == "clients" {
		return n.clientLink, nil
	}
	if l := n.links[who[1]]; l != nil {
		return l, nil
	}
	return nil, fmt.Errorf("%s has no link to %q", who[0], who[1])
}

// Validate tells whether a fault names only whom there is.
func (c *Cluster) Validate(f Fault) (err error) {
	switch len(f.Targets) {
	case 1:
		_, err = c.Node(f.Targets[0])
	case 2:
		_, err = c.link(f.Targets)
	}
	return err
}

// Apply carries a fault out. What ends by itself, or comes back, does so beside it.
func (c *Cluster) Apply(f Fault) error {
	d, _ := time.ParseDuration(f.Value) // a number is none
	count, _ := strconv.Atoi(f.Value)
	if len(f.Targets) == 2 {
		l, err := c.link(f.Targets)
		if err != nil {
			return err
		}
		heal := l.Heal
		switch f.Action {
		case "cut":
			l.Cut()
		case "hold":
			l.Set(f.Direction, faultlink.Fault{Stall: true})
		case "delay":
			l.Set(f.Direction, faultlink.Fault{Delay: d})
			d = 0
		case "drip":
			l.Set(f.Direction, faultlink.Fault{BytesPerSecond: count})
		case "chop":
			l.Set(f.Direction, faultlink.Fault{ResetAfterBytes: int64(count)})
		case "heal":
			heal()
		}
		if d > 0 {
			c.runAfter(d, func() error { heal(); return nil })
		}
		return nil
	}
	if f.Action == "wait" {
		return nil
	}
	n, err := c.Node(f.Targets[0])
	if err != nil {
		return err
	}
	n.faultMu.Lock() // faults of one runner come one after the other
	defer n.faultMu.Unlock()
	switch f.Action {
	case "kill":
		err = n.Kill()
	case "drain":
		err = n.Drain()
	case "stop":
		if err = n.Suspend(); err == nil {
			c.runAfter(d, n.Resume)
		}
	case "full":
		if err = n.limitFileSize(1); err == nil {
			c.runAfter(d, func() error { return n.limitFileSize(unix.RLIM_INFINITY) })
		}
	case "hang":
		if err = n.setDiskHang(true); err == nil {
			c.runAfter(d, func() error { return n.setDiskHang(false) })
		}
	case "aside":
		err = backUp(n.disk())
	case "start":
		if f.RestoreBackup {
			if err = restore(n.disk()); err != nil {
				return err
			}
		}
		if !n.IsRunning() {
			err = n.Start()
		}
	}
	if f.WipeDisk && err == nil {
		err = emptyDir(n.disk())
	}
	if f.RestartAfter >= 0 && err == nil {
		c.runAfter(f.RestartAfter, func() error {
			n.faultMu.Lock()
			defer n.faultMu.Unlock()
			if n.IsRunning() { // another fault has brought it back
				return nil
			}
			return n.Start()
		})
	}
	return err
}

// runAfter does something beside the run, which does not end before.
func (c *Cluster) runAfter(d time.Duration, fn func() error) {
	c.background.Go(func() {
		time.Sleep(d)
		if err := fn(); err != nil {
			c.fail(err)
		}
	})
}

// Play carries faults out at their times, and returns once the last one is over and has come back.
func (c *Cluster) Play(faults []Fault, told func(Fault)) error {
	for _, f := range faults {
		if err := c.Validate(f); err != nil {
			return fmt.Errorf("%v: %w", f, err)
		}
	}
	began := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(began.Add(f.At)))
		if told != nil {
			told(f)
		}
		if err := c.Apply(f); err != nil {
			return fmt.Errorf("%v: %w", f, err)
		}
	}
	c.background.Wait()
	return nil
}

// Repair ends all faults: links heal, and every runner is up.
func (c *Cluster) Repair() error {
	c.background.Wait()
	var errs []error
	for _, n := range c.Nodes {
		n.clientLink.Heal()
		for _, l := range n.links {
			l.Heal()
		}
		errs = append(errs, n.Resume())
		if !n.IsRunning() {
			errs = append(errs, n.Start())
		}
	}
	return errors.Join(errs...)
}
