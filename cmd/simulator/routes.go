package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/cluster"
	"ryepaddle/internal/simulator/report"
)

type routesCmd struct {
	Days    []string `arg:"" optional:"" help:"Kinds of day; all that are built in, if none is named."`
	A       string   `default:"before" help:"One way of routing: ${ways}."`
	B       string   `default:"routed" help:"And the other."`
	Seed    uint64   `default:"1" help:"Seed of the first day of each kind; further days count on from it."`
	Count   int      `default:"8" help:"How many days of each kind."`
	Workers int      `default:"${workers}" help:"Days played at once. It does not change the result."`
	JSON    bool     `help:"Print the comparisons, with all days, as JSON."`
	Out     string   `placeholder:"DIR" help:"Keep the tables, the days and a chart in this folder."`
}

// Run compares two ways of routing to uwsgi servers on the model.
func (c *routesCmd) Run(l *lab) error {
	if c.Count < 2 || c.Workers < 1 {
		return badInput{errors.New("--count is at least 2, for an interval, and --workers at least 1")}
	}
	for _, way := range []string{c.A, c.B} {
		if !slices.Contains(cluster.RoutingModes, way) {
			return badInput{
				fmt.Errorf(
					"unknown way of routing %q: want one of %s",
					way,
					strings.Join(cluster.RoutingModes, ", "),
				),
			}
		}
	}
	var specs []cluster.Spec
	for _, name := range c.Days {
		s, ok := cluster.Named(name)
		if !ok {
			var names []string
			for _, s := range cluster.Specs() {
				names = append(names, s.Name)
			}
			return badInput{
				fmt.Errorf("unknown kind of day %q: want one of %s", name, strings.Join(names, ", ")),
			}
		}
		specs = append(specs, s)
	}
	if len(specs) == 0 {
		specs = cluster.Specs()
	}
	tell, finish := l.progress("days", 2*c.Count*len(specs))
	var all []*cluster.Comparison
	for i := range specs {
		r, err := cluster.Compare(l.ctx, &specs[i], c.A, c.B, c.Seed, c.Count, c.Workers, tell)
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	finish()
	if c.Out != "" {
		if err := keepRoutes(c.Out, all); err != nil {
			return err
		}
	}
	if c.JSON {
		return l.json(all)
	}
	fmt.Fprintln(l.out, routesTable(all).Render())
	return nil
}

func routesTable(all []*cluster.Comparison) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"day", "figure", all[0].A, all[0].B, "difference", "95% interval", ""})
	for i, c := range all {
		if i > 0 {
			t.AppendSeparator()
		}
		for k, e := range c.Estimates {
			day := ""
			if k == 0 {
				day = c.Day
			}
			name, f := e.Name, func(v float64) string { return fmt.Sprintf("%.4f", v) }
			if e.Unit != "" {
				name += " (" + e.Unit + ")"
			}
			if e.Unit == "ms" {
				f = func(v float64) string { return report.FormatFigure(v, "ms") }
			}
			t.AppendRow(table.Row{day, name, f(e.A), f(e.B), f(e.Diff), f(e.Lo) + " to " + f(e.Hi), e.Shown})
		}
	}
	return t
}

// keepRoutes writes the folder of results.
func keepRoutes(dir string, all []*cluster.Comparison) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var bars []report.Bar
	for _, c := range all {
		e := c.Estimates[0]
		bars = append(bars, report.Bar{Name: c.Day, Mean: e.Diff, Lo: e.Lo, Hi: e.Hi})
	}
	files, err := report.Bars("worth", fmt.Sprintf("worth: %s less %s", all[0].B, all[0].A), bars)
	if err != nil {
		return err
	}
	text, err := marshal(all)
	if err != nil {
		return err
	}
	files["days.json"], files["table.txt"], files["table.csv"] = text, []byte(
		routesTable(all).Render()+"\n",
	), []byte(
		routesTable(all).RenderCSV()+"\n",
	)
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
