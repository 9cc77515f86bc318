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
	Day     string  `arg:"" default:"small" help:"The scenario; it is played in real time, with one process a runner."`
	Bin     string  `default:"bin/runner" help:"The built runner."`
	Seed    uint64  `default:"1" help:"Seed of the day."`
	With    string  `placeholder:"FILE" help:"A file of differences, for the real fleet and the model alike. Figures of the module and limits of the core cannot be set on real runners."`
	Runs    int     `default:"40" help:"Runs of the model on the same day, which differ in chance alone."`
	Level   float64 `default:"0.95" help:"Of the model's intervals."`
	Workers int     `default:"${workers}" help:"Days played at once."`
	scenario
	Log  string `placeholder:"FILE" help:"Write what the real runners log to this file."`
	JSON bool   `help:"Print the outcome as JSON."`
}

// verified is what is told of a day.
type verified struct {
	Day   string               `json:"day"`
	Seed  uint64               `json:"seed"`
	Held  []compare.Validation `json:"held"`
	Real  *fleet.Run           `json:"real"`
	Model []*fleet.Run         `json:"model"`
}

// Run plays a day on real processes and holds it against the model.
func (c *verifyCmd) Run(l *lab) error {
	if c.Runs < 3 || c.Workers < 1 || !(c.Level > 0 && c.Level < 1) {
		return badInput{fmt.Errorf("--runs is at least 3, --workers at least 1, and --level between 0 and 1")}
	}
	if _, err := os.Stat(c.Bin); err != nil {
		return badInput{err}
	}
	s, v, opt, err := c.open(l, c.Day, c.With)
	if err != nil {
		return err
	}
	if len(v.Parameters) > 0 || v.Limits != (variant.Limits{}) {
		return badInput{fmt.Errorf("%s: figures and limits cannot be set on real runners", c.With)}
	}
	d := day.Draw(s, c.Seed)
	model, err := playAll(l, c.Workers, c.Runs, func(i int) (*fleet.Run, error) {
		o := opt
		o.BalancerSeed = day.Mix(c.Seed, "verify", uint64(i)+1)
		return fleet.Play(d, o)
	})
	if err != nil {
		return err
	}
	var log bytes.Buffer
	var to io.Writer = &log
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return err
		}
		defer f.Close()
		to = f
	}
	if l.screen {
		fmt.Fprintf(l.err, "playing %s on %d processes for %.0f s\n", s.Name, len(d.Runners), s.LengthS)
	}
	opt.BalancerSeed = day.Mix(c.Seed, "verify", 0)
	real, err := daytest.Play(l.ctx, d, opt, c.Bin, to)
	if err != nil {
		return fmt.Errorf("%w\n%s", err, tail(log.Bytes(), 2000))
	}
	out := verified{
		Day:   s.Name,
		Seed:  c.Seed,
		Held:  compare.Validate(real, model, 1-c.Level),
		Real:  real,
		Model: model,
	}
	if c.JSON {
		return l.json(out)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"figure", "real fleet", "model", "interval", ""})
	inside := 0
	for _, h := range out.Held {
		word := "OUTSIDE"
		if h.Inside {
			word = "inside"
			inside++
		}
		t.AppendRow(table.Row{h.Name, report.FormatFigure(h.Real, h.Unit), report.FormatFigure(h.Mean, h.Unit),
			report.FormatFigure(h.Lo, h.Unit) + " to " + report.FormatFigure(h.Hi, h.Unit), word})
	}
	fmt.Fprintf(
		l.out,
		"%s\n%d of %d figures lie inside; at a level of %g one in %.0f would lie outside by chance\n",
		t.Render(),
		inside,
		len(out.Held),
		c.Level,
		1/(1-c.Level),
	)
	for _, n := range real.Notes {
		fmt.Fprintln(l.out, "real fleet:", n)
	}
	return nil
}

func tail(b []byte, n int) []byte { return b[max(len(b)-n, 0):] }
