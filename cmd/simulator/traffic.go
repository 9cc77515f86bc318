package main

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/report"
	"ryepaddle/internal/simulator/variant"
	"ryepaddle/internal/telemetry/traffic"
	"ryepaddle/internal/wallclock"
)

// scenarioFlags holds the flags of commands that simulate days of a scenario. With files of recorded
// traffic, that traffic replaces the scenario's own.
type scenarioFlags struct {
	Traffic []string `placeholder:"FILE" sep:"none" help:"${help_traffic}"`
	Rate    float64  `default:"1" help:"Factor by which to scale the recorded request rate, at most 100."`
}

// read reads a scenario and the recorded traffic. It also returns the text of the scenario's file.
func (f *scenarioFlags) read(console *console, name string) (*day.Spec, []byte, error) {
	spec, text, err := day.Read(name)
	if err != nil || len(f.Traffic) == 0 {
		return spec, text, err
	}
	recording, err := traffic.Read(f.Traffic...)
	if err != nil {
		return nil, nil, inputError{err}
	}
	if recording.Truncation != nil {
		fmt.Fprintf(console.stderr, "simulator: %v; only the traffic before that is replayed\n", recording.Truncation)
	}
	if lost := recording.Lost; lost.Any() {
		fmt.Fprintf(
			console.stderr,
			"simulator: the recording lacks requests: %d because the disk was slow, %d because of the size "+
				"limit, %d because of disk errors\n",
			lost.Queue,
			lost.Bytes,
			lost.Errors,
		)
	}
	spec, _, err = spec.WithTraffic(recording, f.Rate)
	if err != nil {
		return nil, nil, inputError{err}
	}
	return spec, text, nil
}

// open reads a scenario and a variant file, and returns the options of simulations of both.
func (f *scenarioFlags) open(
	console *console,
	name, with string,
) (*day.Spec, *variant.Variant, fleet.Options, error) {
	spec, _, err := f.read(console, name)
	if err != nil {
		return nil, nil, fleet.Options{}, err
	}
	v, _, err := variant.Read(with)
	if err != nil {
		return nil, nil, fleet.Options{}, err
	}
	options, err := v.Options(spec)
	return spec, v, options, err
}

// workerArgs returns the arguments of a worker that simulates days of the same scenario and traffic.
func (f *scenarioFlags) workerArgs(dayFile string) []string {
	args := []string{"worker", "--day", dayFile, "--rate", fmt.Sprint(f.Rate)}
	for _, file := range f.Traffic {
		args = append(args, "--traffic", file)
	}
	return args
}

type trafficCmd struct {
	Show trafficShowCmd `cmd:"" help:"Summarize files of recorded traffic."`
	Make trafficMakeCmd `cmd:"" help:"Write the traffic of a scenario's day as a recording."`
}

type trafficShowCmd struct {
	Files []string `arg:"" help:"Files of traffic that runners recorded."`
	JSON  bool     `help:"Print the summary as JSON."`
}

// trafficSummary sums up a file of recorded traffic.
type trafficSummary struct {
	File     string         `json:"file"`
	Runner   string         `json:"runner"`
	Began    string         `json:"began"`
	Seconds  float64        `json:"seconds"` // from the first to the last request that is no retry
	Requests int            `json:"requests"`
	Further  int            `json:"further"`  // requests that look like retries
	Backward int            `json:"backward"` // requests whose time is before that of their predecessor
	Lost     traffic.Lost   `json:"lost"`
	Cut      string         `json:"cut,omitempty"` // where and how the file is truncated
	Classes  map[string]int `json:"Classes"`       // requests by class, retries included
}

// assumedDeadline is the time within which an equal request counts as a retry.
const assumedDeadline = 10 * time.Second

// Run prints a summary of each file.
func (c *trafficShowCmd) Run(console *console) error {
	var all []trafficSummary
	for _, path := range c.Files {
		recording, err := traffic.Read(path)
		if err != nil {
			return inputError{err}
		}
		all = append(all, summarize(path, recording))
	}
	if c.JSON {
		return console.printJSON(all)
	}
	t := report.NewTable("file", "runner", "began", "s", "requests", "further tries", "clock back", "lost", "")
	for _, s := range all {
		t.AppendRow(table.Row{
			s.File,
			s.Runner,
			s.Began,
			fmt.Sprintf("%.1f", s.Seconds),
			s.Requests,
			s.Further,
			s.Backward,
			s.Lost.Total(),
			s.Cut,
		})
	}
	fmt.Fprintln(console.stdout, t.Render())
	return nil
}

func summarize(path string, recording *traffic.Recording) trafficSummary {
	s := trafficSummary{
		File:     path,
		Runner:   recording.Runner,
		Began:    recording.StartedAt.Time().UTC().Format(time.RFC3339),
		Requests: len(recording.Requests),
		Backward: recording.OutOfOrder,
		Lost:     recording.Lost,
		Classes:  map[string]int{},
	}
	first, retries := recording.WithoutRetries(func(int) time.Duration { return assumedDeadline })
	s.Further = retries
	if len(first) > 0 {
		s.Seconds = float64(first[len(first)-1].ArrivedAt-first[0].ArrivedAt) / 1e6
	}
	if recording.Truncation != nil {
		s.Cut = recording.Truncation.Error()
	}
	for _, r := range recording.Requests {
		s.Classes[recording.Classes[r.Class]]++
	}
	return s
}

type trafficMakeCmd struct {
	Day  string `arg:"" help:"The scenario."`
	Out  string `required:"" placeholder:"FILE" help:"The file to create, which must not exist."`
	Seed uint64 `default:"1" help:"Seed of the day."`
}

// recordingStart is the time at which the recordings of trafficMakeCmd start: 2025-12-01 08:00:00 UTC. It is
// fixed, so that a day always gives the same bytes.
const recordingStart wallclock.UnixMicro = 1_764_576_000_000_000

const (
	maxRecordingBytes = 1 << 40
	closeTimeout      = time.Minute
)

// Run writes the traffic of the day to the file.
func (c *trafficMakeCmd) Run(console *console) error {
	spec, _, err := day.Read(c.Day)
	if err != nil {
		return err
	}
	header, requests := day.Draw(spec, c.Seed).Record(recordingStart)
	options := traffic.Options{
		MaxBytes:      maxRecordingBytes,
		QueueSize:     len(requests) + 1,
		FlushInterval: time.Hour,
	}
	recorder, err := traffic.Create(c.Out, header, options)
	if err != nil {
		return inputError{err}
	}
	for _, r := range requests {
		recorder.Record(r)
	}
	if err := recorder.Close(closeTimeout); err != nil {
		return err
	}
	if lost := recorder.Lost(); lost.Any() {
		return fmt.Errorf("%s: %d requests could not be written", c.Out, lost.Total())
	}
	fmt.Fprintf(console.stdout, "%s: %d requests\n", c.Out, len(requests))
	return nil
}
