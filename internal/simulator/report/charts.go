package report

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/ledger"
)

// chart is a chart of a comparison. Name is the base name of its files.
type chart struct {
	Name, Title string
	draw        func(c *Comparison, p *plot.Plot) error
}

// charts lists the charts of a comparison.
var charts = []chart{
	{"differences", "Score of B less that of A, day by day", drawDifferences},
	{"shares", "Shares served: differences and their intervals", drawShares},
	{"seconds", "Served of what was asked, second by second, over all days", drawSeconds},
}

const (
	chartWidth    = 18 * vg.Centimeter
	chartHeight   = 9 * vg.Centimeter
	labelRotation = 0.5 // radians
	// minLineLength is added to horizontal lines, which have no length on a chart of one day otherwise.
	minLineLength = 1e-3
)

// lineStyle is the style of a line of a chart.
type lineStyle uint8

const (
	solid lineStyle = iota
	dashed
)

// formats lists the file formats in which each chart is rendered.
var formats = []string{"png", "svg"}

var (
	blue   = color.RGBA{R: 31, G: 119, B: 180, A: 255}
	orange = color.RGBA{R: 255, G: 127, B: 14, A: 255}
	grey   = color.RGBA{R: 130, G: 130, B: 130, A: 255}
)

// render renders a chart in one of the formats.
func render(p *plot.Plot, format string) ([]byte, error) {
	w, err := p.WriterTo(chartWidth, chartHeight, format)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	_, err = w.WriteTo(&out)
	return out.Bytes(), err
}

// drawCharts renders the charts of a comparison and returns the files by name.
func drawCharts(c *Comparison) (map[string][]byte, error) {
	files := map[string][]byte{}
	for _, ch := range charts {
		p := plot.New()
		p.Title.Text = ch.Title
		p.Add(plotter.NewGrid())
		if err := ch.draw(c, p); err != nil {
			return nil, err
		}
		if err := renderAll(files, ch.Name, p); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// line adds a line to a chart. An empty legend is not shown.
func line(p *plot.Plot, pts plotter.XYs, c color.Color, style lineStyle, legend string) error {
	l, err := plotter.NewLine(pts)
	if err != nil {
		return err
	}
	l.Color = c
	if style == dashed {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	if legend != "" {
		p.Legend.Add(legend, l)
	}
	return nil
}

// drawDifferences draws the difference of the scores of each day, and the mean with its interval.
func drawDifferences(c *Comparison, p *plot.Plot) error {
	p.X.Label.Text = "day"
	p.Y.Label.Text = "B - A"
	var pts plotter.XYs
	for _, pair := range c.Outcome.Pairs {
		pts = append(pts, plotter.XY{X: float64(pair.Seed), Y: pair.B.Score - pair.A.Score})
	}
	s, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	s.GlyphStyle = draw.GlyphStyle{Color: blue, Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
	p.Add(s)
	first := pts[0].X
	last := pts[len(pts)-1].X + minLineLength
	score := c.Outcome.Estimates[0]
	flat := func(y float64) plotter.XYs { return plotter.XYs{{X: first, Y: y}, {X: last, Y: y}} }
	if err := line(p, flat(0), grey, solid, ""); err != nil {
		return err
	}
	if err := line(p, flat(score.Diff), orange, solid, "mean"); err != nil {
		return err
	}
	if len(pts) < 2 {
		return nil
	}
	if err := line(p, flat(score.Lo), orange, dashed, "interval"); err != nil {
		return err
	}
	return line(p, flat(score.Hi), orange, dashed, "")
}

// bars implements plotter.XYer and plotter.YErrorer: points with intervals, side by side.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// drawShares draws the differences of all shares with their intervals.
func drawShares(c *Comparison, p *plot.Plot) error {
	p.Y.Label.Text = "B - A"
	var all []Bar
	for _, e := range c.Outcome.Estimates {
		if e.Unit == "" && e.Name != "waste" && c.Outcome.Days >= 2 {
			all = append(all, Bar{e.Name, e.Diff, e.Lo, e.Hi})
		}
	}
	return drawBars(all, p)
}

// Bar is a mean with its interval.
type Bar struct {
	Name         string
	Mean, Lo, Hi float64
}

// drawBars adds means with their intervals to a chart.
func drawBars(all []Bar, p *plot.Plot) error {
	if len(all) == 0 {
		return nil
	}
	var b bars
	var names []string
	for _, e := range all {
		b.XYs = append(b.XYs, plotter.XY{X: float64(len(names)), Y: e.Mean})
		b.YErrors = append(b.YErrors, struct{ Low, High float64 }{e.Mean - e.Lo, e.Hi - e.Mean})
		names = append(names, e.Name)
	}
	s, err := plotter.NewScatter(b.XYs)
	if err != nil {
		return err
	}
	s.GlyphStyle = draw.GlyphStyle{Color: blue, Radius: vg.Points(3), Shape: draw.CircleGlyph{}}
	bar, err := plotter.NewYErrorBars(b)
	if err != nil {
		return err
	}
	bar.Color = blue
	p.Add(s, bar)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = labelRotation
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Tick.Label.YAlign = draw.YCenter
	return line(p, plotter.XYs{{X: -0.5, Y: 0}, {X: float64(len(names)) - 0.5, Y: 0}}, grey, solid, "")
}

// Bars draws a chart of means with their intervals and returns its files by name. name is the base name of
// the files.
func Bars(name, title string, all []Bar) (map[string][]byte, error) {
	p := plot.New()
	p.Title.Text = title
	p.Add(plotter.NewGrid())
	if err := drawBars(all, p); err != nil {
		return nil, err
	}
	files := map[string][]byte{}
	return files, renderAll(files, name, p)
}

// renderAll renders a chart in all formats into files.
func renderAll(files map[string][]byte, name string, p *plot.Plot) error {
	for _, format := range formats {
		text, err := render(p, format)
		if err != nil {
			return err
		}
		files[name+"."+format] = text
	}
	return nil
}

// series returns the share served in each second of the day that has requests, over all days. of returns the
// seconds of one side of a pair.
func series(pairs []compare.Pair, of func(compare.Pair) []ledger.Second) (pts plotter.XYs) {
	var asked, earned []float64
	for _, p := range pairs {
		for i, s := range of(p) {
			if i == len(asked) {
				asked = append(asked, 0)
				earned = append(earned, 0)
			}
			asked[i] += s.Asked
			earned[i] += s.Got
		}
	}
	for i := range asked {
		if asked[i] > 0 {
			pts = append(pts, plotter.XY{X: float64(i), Y: earned[i] / asked[i]})
		}
	}
	return pts
}

// drawSeconds draws the share served in each second of the day.
func drawSeconds(c *Comparison, p *plot.Plot) error {
	p.X.Label.Text = "second of the day in which it was asked"
	p.Y.Label.Text = "share served"
	p.Y.Min = 0
	p.Y.Max = 1
	a := series(c.Outcome.Pairs, func(p compare.Pair) []ledger.Second { return p.A.Series })
	b := series(c.Outcome.Pairs, func(p compare.Pair) []ledger.Second { return p.B.Series })
	if len(a) == 0 || len(b) == 0 {
		return nil
	}
	if err := line(p, a, blue, solid, "A"); err != nil {
		return err
	}
	return line(p, b, orange, dashed, "B")
}
