package main

import (
	"fmt"
	"time"

	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/report"
	"ryepaddle/internal/simulator/virtualclock"
)

type runCmd struct {
	Day     string `arg:"" help:"The scenario: a YAML file, or the name of a built-in scenario (see simulator days)."`
	Seed    uint64 `default:"1" help:"Seed of the first day; each further day adds 1."`
	Days    int    `default:"1" help:"Number of days to simulate."`
	With    string `placeholder:"FILE" help:"A file of differences to apply to the simulation."`
	Workers int    `default:"${workers}" help:"Days simulated at once; the result does not depend on it."`
	scenarioFlags
	JSON bool `help:"Print the days as JSON."`
	Log  bool `help:"Print the log of the runners to standard error; requires --days 1."`
}

// Run simulates the days and prints their results.
func (c *runCmd) Run(console *console) error {
	if c.Days < 1 || c.Workers < 1 {
		return badInput("--days and --workers must be at least 1")
	}
	spec, _, options, err := c.open(console, c.Day, c.With)
	if err != nil {
		return err
	}
	if c.Log {
		if c.Days > 1 {
			return badInput("--log needs --days 1")
		}
		options.Log = func(at time.Duration, runner, text string) {
			fmt.Fprintf(console.stderr, "%9.3f %s %s\n", virtualclock.Micros(at)/1e6, runner, text)
		}
	}
	runs, err := simulateAll(console, c.Workers, c.Days, func(i int) (*fleet.Run, error) {
		return fleet.Play(day.Draw(spec, c.Seed+uint64(i)), options)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return console.printJSON(runs)
	}
	showDays(console, runs)
	return nil
}

// showDays prints the tables of simulated days and the violations of rules. Of a single day it also prints
// the classes, the tenants and the causes.
func showDays(console *console, runs []*fleet.Run) {
	fmt.Fprintln(console.stdout, report.Days(runs).Render())
	if len(runs) == 1 {
		fmt.Fprintln(console.stdout, report.Parts(runs[0]).Render())
	}
	for _, r := range runs {
		for _, note := range r.Notes {
			fmt.Fprintf(console.stdout, "day %d: %s\n", r.Seed, note)
		}
	}
}

// simulateAll simulates n days, up to workers of them at once. It returns the results by index.
func simulateAll(
	console *console,
	workers, n int,
	simulate func(i int) (*fleet.Run, error),
) ([]*fleet.Run, error) {
	runs := make([]*fleet.Run, n)
	step, finish := console.progress("days", n)
	defer finish()
	err := compare.ParallelEach(console.ctx, workers, n, func(i int) (err error) {
		runs[i], err = simulate(i)
		step()
		return err
	})
	if err != nil {
		return nil, err
	}
	return runs, nil
}
