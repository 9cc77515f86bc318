package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/cluster"
	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/report"
)

type routesCmd struct {
	Days    []string `arg:"" optional:"" help:"Kinds of day to simulate; without any, all built-in kinds."`
	A       string   `default:"before" help:"One way of routing: ${ways}."`
	B       string   `default:"routed" help:"The way of routing to compare with A."`
	Seed    uint64   `default:"1" help:"Seed of the first day of each kind; each further day adds 1."`
	Count   int      `default:"8" help:"Number of days of each kind, at least 2."`
	Workers int      `default:"${workers}" help:"Days simulated at once; the result does not depend on it."`
	JSON    bool     `help:"Print the comparisons, with all days, as JSON."`
	Out     string   `placeholder:"DIR" help:"Write the tables, the days and a chart to this folder."`
}

// Run compares two routing modes on simulated clusters of uwsgi servers.
func (c *routesCmd) Run(console *console) error {
	specs, err := c.check()
	if err != nil {
		return err
	}
	step, finish := console.progress("days", 2*c.Count*len(specs))
	var all []*cluster.Comparison
	for i := range specs {
		r, err := cluster.Compare(console.ctx, &specs[i], c.A, c.B, c.Seed, c.Count, c.Workers, step)
		if err != nil {
			return err
		}
		all = append(all, r)
	}
	finish()
	if c.Out != "" {
		if err := saveRoutes(c.Out, all); err != nil {
			return err
		}
	}
	if c.JSON {
		return console.printJSON(all)
	}
	fmt.Fprintln(console.stdout, routesTable(all).Render())
	return nil
}

// check checks the arguments and returns the kinds of day to simulate.
func (c *routesCmd) check() ([]cluster.Spec, error) {
	if c.Count < 2 || c.Workers < 1 {
		return nil, badInput("--count must be at least 2 to compute an interval, and --workers at least 1")
	}
	for _, mode := range []string{c.A, c.B} {
		if !slices.Contains(cluster.RoutingModes, mode) {
			return nil, badInput("unknown way of routing %q: want one of %s",
				mode, strings.Join(cluster.RoutingModes, ", "))
		}
	}
	if len(c.Days) == 0 {
		return cluster.Specs(), nil
	}
	var specs []cluster.Spec
	for _, name := range c.Days {
		spec, ok := cluster.Named(name)
		if !ok {
			var names []string
			for _, known := range cluster.Specs() {
				names = append(names, known.Name)
			}
			return nil, badInput("unknown kind of day %q: want one of %s", name, strings.Join(names, ", "))
		}
		specs = append(specs, spec)
	}
	return specs, nil
}

// routesTable returns a table of the estimates for all kinds of day.
func routesTable(all []*cluster.Comparison) table.Writer {
	t := report.NewTable("day", "figure", all[0].A, all[0].B, "difference", "95% interval", "")
	for i, c := range all {
		if i > 0 {
			t.AppendSeparator()
		}
		for k := range c.Estimates {
			name := ""
			if k == 0 {
				name = c.Day
			}
			t.AppendRow(routesRow(name, &c.Estimates[k]))
		}
	}
	return t
}

func routesRow(day string, e *compare.Estimate) table.Row {
	name := e.Name
	format := func(v float64) string { return fmt.Sprintf("%.4f", v) }
	if e.Unit != "" {
		name += " (" + e.Unit + ")"
	}
	if e.Unit == "ms" {
		format = func(v float64) string { return report.FormatFigure(v, "ms") }
	}
	interval := format(e.Lo) + " to " + format(e.Hi)
	return table.Row{day, name, format(e.A), format(e.B), format(e.Diff), interval, e.Shown}
}

// saveRoutes writes the tables, the days and a chart into a folder, which it creates.
func saveRoutes(dir string, all []*cluster.Comparison) error {
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
	if files["days.json"], err = marshalIndented(all); err != nil {
		return err
	}
	t := routesTable(all)
	files["table.txt"] = []byte(t.Render() + "\n")
	files["table.csv"] = []byte(t.RenderCSV() + "\n")
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
