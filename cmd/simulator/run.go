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
	Day     string `arg:"" help:"A scenario: a YAML file, or the name of one that is built in (see simulator days)."`
	Seed    uint64 `default:"1" help:"Seed of the first day; further days count on from it."`
	Days    int    `default:"1" help:"How many days to play."`
	With    string `placeholder:"FILE" help:"A file of differences to play them with."`
	Workers int    `default:"${workers}" help:"Days played at once. It does not change the result."`
	scenario
	JSON bool `help:"Print the days as JSON."`
	Log  bool `help:"Print what the runners log, for one day."`
}

// Run plays the days.
func (c *runCmd) Run(l *lab) error {
	if c.Days < 1 || c.Workers < 1 {
		return badInput{fmt.Errorf("--days and --workers are at least 1")}
	}
	s, _, opt, err := c.open(l, c.Day, c.With)
	if err != nil {
		return err
	}
	if c.Log {
		if c.Days > 1 {
			return badInput{fmt.Errorf("--log is for one day")}
		}
		opt.Log = func(at time.Duration, runner, text string) {
			fmt.Fprintf(l.err, "%9.3f %s %s\n", virtualclock.Micros(at)/1e6, runner, text)
		}
	}
	runs, err := playAll(l, c.Workers, c.Days, func(i int) (*fleet.Run, error) {
		return fleet.Play(day.Draw(s, c.Seed+uint64(i)), opt)
	})
	if err != nil {
		return err
	}
	return l.show(runs, c.JSON)
}

// show prints days that were played.
func (l *lab) show(runs []*fleet.Run, asJSON bool) error {
	if asJSON {
		return l.json(runs)
	}
	fmt.Fprintln(l.out, report.Days(runs).Render())
	if len(runs) == 1 {
		fmt.Fprintln(l.out, report.Parts(runs[0]).Render())
	}
	for _, r := range runs {
		for _, n := range r.Notes {
			fmt.Fprintf(l.out, "day %d: %s\n", r.Seed, n)
		}
	}
	return nil
}

// playAll plays n days on so many workers, in the order of their numbers.
func playAll(l *lab, workers, n int, play func(i int) (*fleet.Run, error)) ([]*fleet.Run, error) {
	runs := make([]*fleet.Run, n)
	tell, finish := l.progress("days", n)
	defer finish()
	err := compare.ParallelEach(l.ctx, workers, n, func(i int) (err error) {
		runs[i], err = play(i)
		tell()
		return err
	})
	if err != nil {
		return nil, err
	}
	return runs, nil
}
