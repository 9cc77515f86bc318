package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryepaddle/internal/testing/faultlink"
)

// Fault is one line of a fault script: a time, an action, and the parties that it affects.
//
//	2s kill n2            the process is killed; --wipe: its disk is emptied too; --back 1s: it is
//	                      restarted after that time
//	2s start n2           it is started; --old: with the backup of its disk
//	2s aside n2           its disk is backed up while it runs
//	2s stop n2 3s         it is suspended for that time
//	2s full n2 1s         its disk is full for that time
//	2s hang n2 1s         operations on its disk block for that time; needs the build tag faults
//	2s drain n2           it shuts down gracefully; --back 1s: as for kill
//	2s cut n1 s1          no connection in either direction until heal; cut n1 s1 1s: for that time
//	2s hold n1 s1         no bytes pass until heal; hold n1 s1 1s: for that time; --there: only bytes
//	                      from the party that connects are held; --back-way: only bytes to it
//	2s delay n1 s1 50ms   each piece of data is delayed by that time until heal
//	2s drip n1 s1 100     at most that many bytes per second pass until heal
//	2s chop n1 s1 90      the connection is reset after that many bytes
//	2s heal n1 s1         all faults of the link end
//	2s wait               no fault: the run lasts at least until that time
//
// "clients" stands for the clients of a runner. The link "n1 n2" carries the connections that n1 opens
// to n2.
type Fault struct {
	At            time.Duration // since the start of the run
	Action        Action
	Targets       []string // names of runners, servers, or Clients
	Value         string   // a duration or a count, depending on the action; empty: none
	WipeDisk      bool
	RestoreBackup bool
	RestartAfter  time.Duration // negative: the runner is not restarted
	Direction     faultlink.Direction
}

// Action is what a fault does, under its name in scripts.
type Action string

// The actions.
const (
	ActionKill     Action = "kill"
	ActionStart    Action = "start"
	ActionBackup   Action = "aside"
	ActionSuspend  Action = "stop"
	ActionFillDisk Action = "full"
	ActionHangDisk Action = "hang"
	ActionDrain    Action = "drain"
	ActionCut      Action = "cut"
	ActionStall    Action = "hold"
	ActionDelay    Action = "delay"
	ActionThrottle Action = "drip"
	ActionReset    Action = "chop"
	ActionHeal     Action = "heal"
	ActionWait     Action = "wait"
)

// Clients is the name of a runner's clients in scripts.
const Clients = "clients"

// The flags of a line.
const (
	flagWipe     = "--wipe"
	flagOld      = "--old"
	flagToServer = "--there"
	flagToClient = "--back-way"
	flagRestart  = "--back"
)

// valueKind says what value an action takes.
type valueKind uint8

const (
	noValue valueKind = iota
	durationValue
	optionalDuration
	countValue
)

// actionSyntax is the syntax of an action: its number of targets and the kind of its value.
type actionSyntax struct {
	targets int
	value   valueKind
}

var syntaxOf = map[Action]actionSyntax{
	ActionKill:     {1, noValue},
	ActionStart:    {1, noValue},
	ActionBackup:   {1, noValue},
	ActionSuspend:  {1, durationValue},
	ActionFillDisk: {1, durationValue},
	ActionHangDisk: {1, durationValue},
	ActionDrain:    {1, noValue},
	ActionCut:      {2, optionalDuration},
	ActionStall:    {2, optionalDuration},
	ActionDelay:    {2, durationValue},
	ActionThrottle: {2, countValue},
	ActionReset:    {2, countValue},
	ActionHeal:     {2, noValue},
	ActionWait:     {0, noValue},
}

// String returns the fault as a line of a script, which ParseFault decodes.
func (f Fault) String() string {
	words := append([]string{f.At.String(), string(f.Action)}, f.Targets...)
	if f.Value != "" {
		words = append(words, f.Value)
	}
	if f.WipeDisk {
		words = append(words, flagWipe)
	}
	if f.RestoreBackup {
		words = append(words, flagOld)
	}
	if f.RestartAfter >= 0 {
		words = append(words, flagRestart, f.RestartAfter.String())
	}
	switch f.Direction {
	case faultlink.ToServer:
		words = append(words, flagToServer)
	case faultlink.ToClient:
		words = append(words, flagToClient)
	}
	return strings.Join(words, " ")
}

// ParseFault decodes one line of a script. Its error quotes the line.
func ParseFault(line string) (Fault, error) {
	f := Fault{RestartAfter: -1, Direction: faultlink.BothDirections}
	words, err := f.parseFlags(strings.Fields(line))
	if err == nil {
		err = f.parseWords(words)
	}
	if err != nil {
		return f, fmt.Errorf("%q: %w", line, err)
	}
	return f, nil
}

// parseFlags takes the flags of a line and returns the other words.
func (f *Fault) parseFlags(fields []string) (words []string, err error) {
	for len(fields) > 0 {
		field := fields[0]
		fields = fields[1:]
		switch {
		case field == flagWipe:
			f.WipeDisk = true
		case field == flagOld:
			f.RestoreBackup = true
		case field == flagToServer:
			f.Direction = faultlink.ToServer
		case field == flagToClient:
			f.Direction = faultlink.ToClient
		case field == flagRestart:
			if len(fields) == 0 {
				return nil, errors.New("--back needs a time")
			}
			f.RestartAfter, err = time.ParseDuration(fields[0])
			if err != nil || f.RestartAfter < 0 {
				return nil, errors.New("--back needs a time")
			}
			fields = fields[1:]
		case strings.HasPrefix(field, "--"):
			return nil, fmt.Errorf("unknown flag %s", field)
		default:
			words = append(words, field)
		}
	}
	return words, nil
}

// parseWords decodes the time, the action, its targets and its value.
func (f *Fault) parseWords(words []string) error {
	if len(words) < 2 {
		return errors.New("a line needs a time and a verb, followed by the names that the verb affects")
	}
	var err error
	if f.At, err = time.ParseDuration(words[0]); err != nil || f.At < 0 {
		return errors.New("the line does not begin with a time")
	}
	f.Action = Action(words[1])
	syntax, ok := syntaxOf[f.Action]
	if !ok {
		return fmt.Errorf("unknown verb %s", f.Action)
	}
	words = words[2:]
	if len(words) < syntax.targets {
		return fmt.Errorf("%s needs %d names", f.Action, syntax.targets)
	}
	f.Targets = words[:syntax.targets]
	return f.parseValue(words[syntax.targets:], syntax.value)
}

// parseValue decodes the value of the action, if it has one.
func (f *Fault) parseValue(words []string, kind valueKind) error {
	if len(words) > 1 || kind == noValue && len(words) > 0 {
		return fmt.Errorf("too many arguments for %s", f.Action)
	}
	if len(words) == 1 {
		f.Value = words[0]
	}
	switch {
	case kind == durationValue, kind == optionalDuration && f.Value != "":
		if d, err := time.ParseDuration(f.Value); err != nil || d <= 0 {
			return fmt.Errorf("%s needs a time", f.Action)
		}
	case kind == countValue:
		if n, err := strconv.Atoi(f.Value); err != nil || n <= 0 {
			return fmt.Errorf("%s needs a number above 0", f.Action)
		}
	}
	return nil
}

// ParseScript decodes a script with one fault per line. Blank lines and lines that begin with # are
// ignored. The faults are returned in the order of their times. The error joins the errors of all lines.
func ParseScript(text string) ([]Fault, error) {
	var faults []Fault
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		f, err := ParseFault(line)
		if err != nil {
			errs = append(errs, fmt.Errorf("line %d: %w", i+1, err))
			continue
		}
		faults = append(faults, f)
	}
	sortByTime(faults)
	return faults, errors.Join(errs...)
}

func sortByTime(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
