// Package report writes what the simulator found: tables, charts and a page, into a folder that
// also holds the inputs, the seeds and the raw days, so that whoever finds it can see what was
// compared and play it again.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"math"
	"os"
	"path/filepath"
	"strconv"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/fleet"
	"ryepaddle/internal/simulator/ledger"
)

//go:embed page.html
var page string

// Input is a file that a result depends on.
type Input struct {
	Name string // in the folder
	Text []byte
}

// Comparison is all that is kept of one.
type Comparison struct {
	Title   string           `json:"title"`
	A       string           `json:"a"`
	B       string           `json:"b"`
	Day     string           `json:"day"`
	Build   string           `json:"build"` // of the simulator
	Builds  []string         `json:"builds,omitempty"`
	Traffic []string         `json:"traffic,omitempty"` // recordings, with their checksums
	Outcome *compare.Outcome `json:"outcome"`
	Inputs  []Input          `json:"-"`
}

// FormatFigure gives one with as many places as it is worth.
func FormatFigure(v float64, unit string) string {
	switch {
	case math.Abs(v) >= math.MaxFloat64/2:
		return "-"
	case unit == "ms":
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', 3, 64)
}

// Table is the figures of a comparison.
func Table(c *Comparison) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"figure", "A", "B", "B - A", "interval", ""})
	for _, e := range c.Outcome.Estimates {
		name := e.Name
		if e.Unit != "" {
			name += " (" + e.Unit + ")"
		}
		t.AppendRow(table.Row{name, FormatFigure(e.A, e.Unit), FormatFigure(e.B, e.Unit), FormatFigure(e.Diff, e.Unit),
			fmt.Sprintf("%s to %s", FormatFigure(e.Lo, e.Unit), FormatFigure(e.Hi, e.Unit)), e.Shown})
	}
	return t
}

// Summary is the outcome in a few lines.
func Summary(c *Comparison) string {
	o := c.Outcome
	broken := [2]int{}
	for _, p := range o.Pairs {
		if p.A.Broken > 0 {
			broken[0]++
		}
		if p.B.Broken > 0 {
			broken[1]++
		}
	}
	e := o.Estimates[0]
	return fmt.Sprintf(
		"%s: the score goes from %s to %s, by %s (%s to %s at %.4g%%) over %d days; %s.\nDays with a "+
			"broken rule: A %d, B %d.",
		o.Verdict,
		FormatFigure(e.A, ""),
		FormatFigure(e.B, ""),
		FormatFigure(e.Diff, ""),
		FormatFigure(e.Lo, ""),
		FormatFigure(e.Hi, ""),
		100*o.Level,
		o.Days,
		o.Stopped,
		broken[0],
		broken[1],
	)
}

// Days is a table of days that were played.
func Days(runs []*fleet.Run) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(
		table.Row{
			"day",
			"score",
			"worth",
			"whole",
			"worst stretch",
			"worst class",
			"worst school",
			"p50 ms",
			"p99 ms",
			"asked/s",
			"refusals",
			"retries",
			"broken rules",
		},
	)
	for _, r := range runs {
		t.AppendRow(
			table.Row{
				r.Seed,
				FormatFigure(r.Score, ""),
				FormatFigure(r.Worth, ""),
				FormatFigure(r.Whole, ""),
				FormatFigure(r.WorstWindow, ""),
				FormatFigure(
					r.WorstClass,
					"",
				),
				FormatFigure(r.WorstTenant, ""),
				FormatFigure(r.All.P50Ms, "ms"),
				FormatFigure(r.All.P99Ms, "ms"),
				strconv.FormatFloat(
					r.RequestRate,
					'f',
					0,
					64,
				),
				FormatFigure(r.Refusals, ""),
				FormatFigure(r.Retries, ""),
				r.Broken,
			},
		)
	}
	return t
}

// Parts is a table of the classes and tenants of one day, and what became of its requests.
func Parts(r *fleet.Run) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"", "first tries", "asked", "served", "share", "p50 ms", "p99 ms"})
	for _, parts := range [][]ledger.Share{r.Classes, r.Tenants} {
		for _, p := range parts {
			t.AppendRow(
				table.Row{
					p.Name,
					p.First,
					FormatFigure(p.Asked, "ms"),
					FormatFigure(p.Got, "ms"),
					FormatFigure(p.Served, ""),
					ms(p.P50Ms),
					ms(p.P99Ms),
				},
			)
		}
		t.AppendSeparator()
	}
	for _, name := range ledger.CauseNames() {
		if c := r.Causes[name]; c.Count > 0 {
			t.AppendRow(table.Row{name, c.Count, FormatFigure(c.Worth, "ms"), FormatFigure(c.Got, "ms"), "", "", ""})
		}
	}
	return t
}

// Save writes a comparison into a folder, which is made if need be.
func Save(dir string, c *Comparison) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	files := map[string][]byte{}
	for _, in := range c.Inputs {
		files[in.Name] = in.Text
	}
	var err error
	if files["comparison.json"], err = json.MarshalIndent(c, "", "  "); err != nil {
		return err
	}
	var days bytes.Buffer
	enc := json.NewEncoder(&days)
	for _, p := range c.Outcome.Pairs {
		if err := enc.Encode(p); err != nil {
			return err
		}
	}
	files["days.jsonl"] = days.Bytes()
	t := Table(c)
	files["table.csv"] = []byte(t.RenderCSV() + "\n")
	files["table.txt"] = []byte(Summary(c) + "\n\n" + t.Render() + "\n")
	drawn, err := drawCharts(c)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for name, text := range drawn {
		files[name] = text
	}
	if files["index.html"], err = html(c); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return nil
}

func html(c *Comparison) ([]byte, error) {
	t, err := template.New("page").Funcs(template.FuncMap{"text": FormatFigure}).Parse(page)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, struct {
		*Comparison
		Summary string
		Charts  []chart
	}{c, Summary(c), charts})
	return out.Bytes(), err
}

// ms gives a time; 0 is one that is not kept.
func ms(v float64) string {
	if v == 0 {
		return ""
	}
	return FormatFigure(v, "ms")
}
