package main

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/variant"
	"ryepaddle/internal/telemetry/traffic"
)

// scenario is the day that a command plays: a scenario, and recorded traffic in place of its own if
// there is any.
type scenario struct {
	Traffic []string `placeholder:"FILE" sep:"none" help:"Recorded traffic in place of the scenario's; given again for each runner's file."`
	Rate    float64  `default:"1" help:"Times the rate of the recorded traffic."`
}

// read reads a scenario, with the text of its file.
func (c *scenario) read(l *lab, name string) (*day.Spec, []byte, error) {
	s, text, err := day.Read(name)
	if err != nil || len(c.Traffic) == 0 {
		return s, text, err
	}
	rec, err := traffic.Read(c.Traffic...)
	if err != nil {
		return nil, nil, badInput{err}
	}
	if rec.Truncation != nil {
		fmt.Fprintf(l.err, "simulator: %v; what came before that is played\n", rec.Truncation)
	}
	if rec.Lost.Any() {
		fmt.Fprintf(
			l.err,
			"simulator: the recording lacks requests: %d for a slow disk, %d for its bound, %d for "+
				"errors of the disk\n",
			rec.Lost.Queue,
			rec.Lost.Bytes,
			rec.Lost.Errors,
		)
	}
	s, _, err = s.WithTraffic(rec, c.Rate)
	if err != nil {
		return nil, nil, badInput{err}
	}
	return s, text, nil
}

// open reads a scenario and a file of differences to play it with.
func (c *scenario) open(l *lab, name, with string) (*day.Spec, *variant.Variant, fleet.Options, error) {
	s, _, err := c.read(l, name)
	if err != nil {
		return nil, nil, fleet.Options{}, err
	}
	v, _, err := variant.Read(with)
	if err != nil {
		return nil, nil, fleet.Options{}, err
	}
	opt, err := v.Options(s)
	return s, v, opt, err
}

// args are the same for a worker.
func (c *scenario) args(file string) []string {
	args := []string{"worker", "--day", file, "--rate", fmt.Sprint(c.Rate)}
	for _, t := range c.Traffic {
		args = append(args, "--traffic", t)
	}
	return args
}

type trafficCmd struct {
	Show trafficShowCmd `cmd:"" help:"Tell what files of recorded traffic hold."`
	Make trafficMakeCmd `cmd:"" help:"Write the traffic of a scenario's day as a recording."`
}

type trafficShowCmd struct {
	Files []string `arg:"" help:"Files that runners wrote."`
	JSON  bool     `help:"Print it as JSON."`
}

// shown is what is told of one file.
type shown struct {
	File     string         `json:"file"`
	Runner   string         `json:"runner"`
	Began    string         `json:"began"`
	Seconds  float64        `json:"seconds"`
	Requests int            `json:"requests"`
	Further  int            `json:"further"` // that look like further tries, within 10 s
	Backward int            `json:"backward"`
	Lost     traffic.Lost   `json:"lost"`
	Cut      string         `json:"cut,omitempty"`
	Classes  map[string]int `json:"Classes"`
}

// Run tells of each file.
func (c *trafficShowCmd) Run(l *lab) error {
	var all []shown
	for _, path := range c.Files {
		rec, err := traffic.Read(path)
		if err != nil {
			return badInput{err}
		}
		s := shown{
			File:     path,
			Runner:   rec.Runner,
			Began:    rec.StartedAt.Time().UTC().Format(time.RFC3339),
			Requests: len(rec.Requests),
			Backward: rec.OutOfOrder,
			Lost:     rec.Lost,
			Classes:  map[string]int{},
		}
		first, further := rec.WithoutRetries(func(int) time.Duration { return 10 * time.Second })
		if s.Further = further; len(first) > 0 {
			s.Seconds = float64(first[len(first)-1].ArrivedAt-first[0].ArrivedAt) / 1e6
		}
		if rec.Truncation != nil {
			s.Cut = rec.Truncation.Error()
		}
		for _, q := range rec.Requests {
			s.Classes[rec.Classes[q.Class]]++
		}
		all = append(all, s)
	}
	if c.JSON {
		return l.json(all)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(
		table.Row{"file", "runner", "began", "s", "requests", "further tries", "clock back", "lost", ""},
	)
	for _, s := range all {
		t.AppendRow(
			table.Row{
				s.File,
				s.Runner,
				s.Began,
				fmt.Sprintf("%.1f", s.Seconds),
				s.Requests,
				s.Further,
				s.Backward,
				s.Lost.Queue + s.Lost.Bytes + s.Lost.Errors,
				s.Cut,
			},
		)
	}
	fmt.Fprintln(l.out, t.Render())
	return nil
}

type trafficMakeCmd struct {
	Day  string `arg:"" help:"The scenario."`
	Out  string `required:"" placeholder:"FILE" help:"The file, which must not be there yet."`
	Seed uint64 `default:"1" help:"Seed of the day."`
}

// unixBegin is the time from which made recordings count; any will do, and one that is fixed makes
// the same bytes.
const unixBegin = 1_764_576_000_000_000

// Run writes the file.
func (c *trafficMakeCmd) Run(l *lab) error {
	s, _, err := day.Read(c.Day)
	if err != nil {
		return err
	}
	h, requests := day.Draw(s, c.Seed).Record(unixBegin)
	r, err := traffic.Create(
		c.Out,
		h,
		traffic.Options{MaxBytes: 1 << 40, QueueSize: len(requests) + 1, FlushInterval: time.Hour},
	)
	if err != nil {
		return badInput{err}
	}
	for _, q := range requests {
		r.Record(q)
	}
	if err := r.Close(time.Minute); err != nil {
		return err
	}
	if lost := r.Lost(); lost.Any() {
		return fmt.Errorf("%s: %d requests could not be written", c.Out, lost.Errors+lost.Bytes+lost.Queue)
	}
	fmt.Fprintf(l.out, "%s: %d requests\n", c.Out, len(requests))
	return nil
}
