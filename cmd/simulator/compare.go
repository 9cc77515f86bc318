package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/simulator/compare"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/report"
	"ryepaddle/internal/simulator/variant"
)

type compareCmd struct {
	A           string  `arg:"" help:"What B is compared with: a file of differences, a build of simulator, or - for this build as it is."`
	B           string  `arg:"" help:"What may be better, in the same forms."`
	Day         string  `default:"sunday" help:"The scenario: a file, or the name of one that is built in."`
	Seed        uint64  `default:"1" help:"Seed of the first day."`
	Days        int     `default:"64" help:"The most days that are drawn."`
	Width       float64 `default:"0.01" help:"Half the width of the score's interval that is narrow enough."`
	Workers     int     `default:"${workers}" help:"Days played at once. It does not change the result."`
	Independent bool    `help:"Draw the balancers' choices of the two sides apart, to see what chance does."`
	scenario
	Out  string `placeholder:"DIR" help:"Keep inputs, raw days, tables, charts and a page in this folder."`
	JSON bool   `help:"Print the outcome as JSON."`
}

// side is one of the two that are compared.
type side struct {
	name   string
	player compare.Player
	input  *report.Input
	build  string
	close  func()
}

// Run compares B with A.
func (c *compareCmd) Run(l *lab) error {
	if c.Days < 2 || c.Workers < 1 || !(c.Width >= 0) {
		return badInput{fmt.Errorf("--days is at least 2, --workers at least 1 and --width not negative")}
	}
	s, text, err := c.read(l, c.Day)
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp("", "simulator")
	if err != nil {
		return err
	}
	defer os.RemoveAll(tmp)
	// both versions play the same file, whatever they have built in
	file := filepath.Join(tmp, "day.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	var sides [2]*side
	for i, name := range []string{c.A, c.B} {
		if sides[i], err = c.side(name, "ab"[i:i+1], s, file); err != nil {
			return err
		}
		defer sides[i].close()
	}
	tell, finish := l.progress("days, up to", c.Days)
	last := 0
	o, err := compare.Run(l.ctx, compare.Plan{Seed: c.Seed, Days: c.Days, Width: c.Width, Workers: c.Workers,
		Independent: c.Independent, Progress: func(done, _ int) {
			for ; last < done; last++ {
				tell()
			}
		}}, sides[0].player, sides[1].player)
	finish()
	if err != nil {
		return err
	}
	r := &report.Comparison{
		Title:   s.Name + ": " + sides[1].name + " against " + sides[0].name,
		A:       sides[0].name,
		B:       sides[1].name,
		Day:     c.Day,
		Build:   buildinfo.Version(),
		Outcome: o,
		Inputs:  []report.Input{{Name: "day.yaml", Text: text}},
	}
	for _, s := range sides {
		if s.input != nil {
			r.Inputs = append(r.Inputs, *s.input)
		}
		if s.build != "" {
			r.Builds = append(r.Builds, s.build)
		}
	}
	for _, name := range c.Traffic {
		sum, err := hash(name)
		if err != nil {
			return err
		}
		r.Traffic = append(r.Traffic, fmt.Sprintf("%s, %g times its rate", sum, c.Rate))
	}
	if c.Out != "" {
		if err := report.Save(c.Out, r); err != nil {
			return err
		}
	}
	if c.JSON {
		return l.json(r)
	}
	fmt.Fprintf(l.out, "A: %s\nB: %s\n%s\n%s\n", r.A, r.B, report.Table(r).Render(), report.Summary(r))
	return nil
}

// side finds out what is compared and makes it ready to play.
func (c *compareCmd) side(name, letter string, s *day.Spec, file string) (*side, error) {
	if name == "-" {
		name = ""
	}
	if info, err := os.Stat(name); err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0 &&
		!strings.HasSuffix(name, ".yaml") {
		path, err := filepath.Abs(name)
		if err != nil {
			return nil, err
		}
		sum, err := hash(path)
		if err != nil {
			return nil, err
		}
		v, err := compare.StartVersion(path, c.args(file), c.Workers)
		if err != nil {
			return nil, badInput{err}
		}
		return &side{name: name, player: v, build: sum, close: v.Close}, nil
	}
	v, text, err := variant.Read(name)
	if err != nil {
		return nil, err
	}
	opt, err := v.Options(s)
	if err != nil {
		return nil, err
	}
	out := &side{name: v.Name, player: compare.Local{Spec: s, Options: opt}, close: func() {}}
	if text != nil {
		out.input = &report.Input{Name: letter + ".yaml", Text: text}
	}
	return out, nil
}

func hash(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s sha256 %x", filepath.Base(path), h.Sum(nil)), nil
}

type workerCmd struct {
	Day  string `required:"" help:"The scenario."`
	With string `placeholder:"FILE" help:"A file of differences."`
	scenario
}

// Run answers tasks on standard input.
func (c *workerCmd) Run(l *lab) error {
	s, _, opt, err := c.open(l, c.Day, c.With)
	if err != nil {
		return err
	}
	return compare.Serve(l.in, l.out, compare.Local{Spec: s, Options: opt})
}
