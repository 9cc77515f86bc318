// Package report writes the results of the simulator: tables, charts and a page, in a folder that also
// holds the inputs, the seeds and the simulated days, so that a comparison can be repeated.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
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

// Input is a file on which the result of a comparison depends.
type Input struct {
	Name string // of the file in the folder of the report
	Text []byte
}

// Comparison is a comparison with its inputs.
type Comparison struct {
	Title   string           `json:"title"`
	A       string           `json:"a"`
	B       string           `json:"b"`
	Day     string           `json:"day"`               // name or file of the scenario
	Build   string           `json:"build"`             // version of this build of the simulator
	Builds  []string         `json:"builds,omitempty"`  // names and checksums of other builds that were compared
	Traffic []string         `json:"traffic,omitempty"` // names and checksums of the recordings
	Outcome *compare.Outcome `json:"outcome"`
	Inputs  []Input          `json:"-"`
}

// FormatFigure formats a value: in whole milliseconds if its unit is "ms", otherwise with three decimals. An
// infinite value becomes "-".
func FormatFigure(value float64, unit string) string {
	switch {
	case math.Abs(value) >= math.MaxFloat64/2: // stands for infinity, which JSON does not have
		return "-"
	case unit == "ms":
		return strconv.FormatFloat(value, 'f', 0, 64)
	}
	return strconv.FormatFloat(value, 'f', 3, 64)
}

// formatMs formats a time in milliseconds. 0 means that it was not measured and gives an empty text.
func formatMs(value float64) string {
	if value == 0 {
		return ""
	}
	return FormatFigure(value, "ms")
}

// NewTable returns a table with a header, in the style of all reports and commands.
func NewTable(header ...any) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}

// Table returns a table of the estimates of a comparison.
func Table(c *Comparison) table.Writer {
	t := NewTable("figure", "A", "B", "B - A", "interval", "")
	for _, e := range c.Outcome.Estimates {
		name := e.Name
		if e.Unit != "" {
			name += " (" + e.Unit + ")"
		}
		interval := FormatFigure(e.Lo, e.Unit) + " to " + FormatFigure(e.Hi, e.Unit)
		t.AppendRow(table.Row{
			name,
			FormatFigure(e.A, e.Unit),
			FormatFigure(e.B, e.Unit),
			FormatFigure(e.Diff, e.Unit),
			interval,
			e.Shown,
		})
	}
	return t
}

// Summary returns the outcome in a few lines.
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
	score := o.Estimates[0]
	return fmt.Sprintf(
		"%s: the score goes from %s to %s, by %s (%s to %s at %.4g%%) over %d days; %s.\nDays with a "+
			"broken rule: A %d, B %d.",
		o.Verdict,
		FormatFigure(score.A, ""),
		FormatFigure(score.B, ""),
		FormatFigure(score.Diff, ""),
		FormatFigure(score.Lo, ""),
		FormatFigure(score.Hi, ""),
		100*o.Level,
		o.Days,
		o.Stopped,
		broken[0],
		broken[1],
	)
}

// Days returns a table of simulated days, one in each row.
func Days(runs []*fleet.Run) table.Writer {
	t := NewTable("day", "score", "worth", "whole", "worst stretch", "worst class", "worst school",
		"p50 ms", "p99 ms", "asked/s", "refusals", "retries", "broken rules")
	for _, r := range runs {
		t.AppendRow(table.Row{
			r.Seed,
			FormatFigure(r.Score, ""),
			FormatFigure(r.Worth, ""),
			FormatFigure(r.Whole, ""),
			FormatFigure(r.WorstWindow, ""),
			FormatFigure(r.WorstClass, ""),
			FormatFigure(r.WorstTenant, ""),
			FormatFigure(r.All.P50Ms, "ms"),
			FormatFigure(r.All.P99Ms, "ms"),
			strconv.FormatFloat(r.RequestRate, 'f', 0, 64),
			FormatFigure(r.Refusals, ""),
			FormatFigure(r.Retries, ""),
			r.Broken,
		})
	}
	return t
}

// Parts returns a table of the classes, the tenants and the causes of a day. Weights are formatted like
// milliseconds, as whole numbers.
func Parts(r *fleet.Run) table.Writer {
	t := NewTable("", "first tries", "asked", "served", "share", "p50 ms", "p99 ms")
	for _, shares := range [][]ledger.Share{r.Classes, r.Tenants} {
		for _, s := range shares {
			t.AppendRow(table.Row{
				s.Name,
				s.First,
				FormatFigure(s.Asked, "ms"),
				FormatFigure(s.Got, "ms"),
				FormatFigure(s.Served, ""),
				formatMs(s.P50Ms),
				formatMs(s.P99Ms),
			})
		}
		t.AppendSeparator()
	}
	for _, name := range ledger.CauseNames() {
		if c := r.Causes[name]; c.Count > 0 {
			t.AppendRow(table.Row{
				name, c.Count, FormatFigure(c.Worth, "ms"), FormatFigure(c.Got, "ms"), "", "", "",
			})
		}
	}
	return t
}

// Save writes a comparison into a folder, which it creates: the inputs, the estimates, the days, the
// charts and a page.
func Save(dir string, c *Comparison) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	files, err := filesOf(c)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return nil
}

// filesOf returns the files of a comparison by name.
func filesOf(c *Comparison) (map[string][]byte, error) {
	files := map[string][]byte{}
	for _, in := range c.Inputs {
		files[in.Name] = in.Text
	}
	var err error
	if files["comparison.json"], err = json.MarshalIndent(c, "", "  "); err != nil {
		return nil, err
	}
	var days bytes.Buffer
	encoder := json.NewEncoder(&days)
	for _, pair := range c.Outcome.Pairs {
		if err := encoder.Encode(pair); err != nil {
			return nil, err
		}
	}
	files["days.jsonl"] = days.Bytes()
	t := Table(c)
	files["table.csv"] = []byte(t.RenderCSV() + "\n")
	files["table.txt"] = []byte(Summary(c) + "\n\n" + t.Render() + "\n")
	drawn, err := drawCharts(c)
	if err != nil {
		return nil, err
	}
	maps.Copy(files, drawn)
	files["index.html"], err = renderPage(c)
	return files, err
}

// renderPage renders the page of a comparison.
func renderPage(c *Comparison) ([]byte, error) {
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
