package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/report"
	"ryepaddle/internal/simulator/variant"
	"ryepaddle/internal/testing/daytest"
)

type verifyCmd struct {
	Day     string  `arg:"" default:"small" help:"The scenario, played in real time with one process per runner."`
	Bin     string  `default:"bin/runner" help:"The runner's executable."`
	Seed    uint64  `default:"1" help:"Seed of the day."`
	With    string  `placeholder:"FILE" help:"${help_with}"`
	Runs    int     `default:"40" help:"Simulations of the same day, which differ in random choices only."`
	Level   float64 `default:"0.95" help:"Level of the model's prediction intervals, between 0 and 1."`
	Workers int     `default:"${workers}" help:"Days simulated at once."`
	scenarioFlags
	Log  string `placeholder:"FILE" help:"Write the log of the real runners to this file."`
	JSON bool   `help:"Print the outcome as JSON."`
}

// verification is the result of a day on real processes and of simulations of the same day.
type verification struct {
	Day   string               `json:"day"`
	Seed  uint64               `json:"seed"`
	Held  []compare.Validation `json:"held"`
	Real  *fleet.Run           `json:"real"`
	Model []*fleet.Run         `json:"model"`
}

// maxErrorLogBytes limits the end of the runners' log that is appended to an error.
const maxErrorLogBytes = 2000

// Run plays a day on real runner processes and compares the result with simulations of the day.
func (c *verifyCmd) Run(console *console) error {
	if c.Runs < 3 || c.Workers < 1 || !(c.Level > 0 && c.Level < 1) {
		return badInput("--runs must be at least 3, --workers at least 1 and --level between 0 and 1")
	}
	if _, err := os.Stat(c.Bin); err != nil {
		return inputError{err}
	}
	spec, v, options, err := c.open(console, c.Day, c.With)
	if err != nil {
		return err
	}
	if len(v.Parameters) > 0 || v.Limits != (variant.Limits{}) {
		return badInput("%s: figures and limits cannot be set on real runners", c.With)
	}
	d := day.Draw(spec, c.Seed)
	model, err := simulateAll(console, c.Workers, c.Runs, func(i int) (*fleet.Run, error) {
		own := options
		own.BalancerSeed = day.Mix(c.Seed, "verify", uint64(i)+1)
		return fleet.Play(d, own)
	})
	if err != nil {
		return err
	}
	options.BalancerSeed = day.Mix(c.Seed, "verify", 0)
	measured, err := c.playProcesses(console, d, options)
	if err != nil {
		return err
	}
	return c.show(console, &verification{
		Day:   spec.Name,
		Seed:  c.Seed,
		Held:  compare.Validate(measured, model, 1-c.Level),
		Real:  measured,
		Model: model,
	})
}

// playProcesses plays the day on real runner processes. Without --log, an error contains the end of their
// log.
func (c *verifyCmd) playProcesses(console *console, d *day.Day, options fleet.Options) (*fleet.Run, error) {
	var kept bytes.Buffer
	var log io.Writer = &kept
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		log = f
	}
	if console.terminal {
		fmt.Fprintf(console.stderr, "playing %s on %d processes for %.0f s\n",
			d.Spec.Name, len(d.Runners), d.Spec.LengthS)
	}
	run, err := daytest.Play(console.ctx, d, options, c.Bin, log)
	if err != nil {
		text := kept.Bytes()
		return nil, fmt.Errorf("%w\n%s", err, text[max(len(text)-maxErrorLogBytes, 0):])
	}
	return run, nil
}

// show prints the metrics of the real fleet beside the prediction intervals of the model.
func (c *verifyCmd) show(console *console, v *verification) error {
	if c.JSON {
		return console.printJSON(v)
	}
	t := report.NewTable("figure", "real fleet", "model", "interval", "")
	inside := 0
	for _, h := range v.Held {
		word := "OUTSIDE"
		if h.Inside {
			word = "inside"
			inside++
		}
		interval := report.FormatFigure(h.Lo, h.Unit) + " to " + report.FormatFigure(h.Hi, h.Unit)
		t.AppendRow(table.Row{
			h.Name, report.FormatFigure(h.Real, h.Unit), report.FormatFigure(h.Mean, h.Unit), interval, word,
		})
	}
	fmt.Fprintf(
		console.stdout,
		"%s\n%d of %d figures lie inside; at a level of %g one in %.0f would lie outside by chance\n",
		t.Render(),
		inside,
		len(v.Held),
		c.Level,
		1/(1-c.Level),
	)
	for _, n := range v.Real.Notes {
		fmt.Fprintln(console.stdout, "real fleet:", n)
	}
	return nil
}
