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
	A           string  `arg:"" help:"${help_side_a}"`
	B           string  `arg:"" help:"What is compared with A, in the same forms as A."`
	Day         string  `default:"sunday" help:"The scenario: a YAML file, or the name of a built-in scenario."`
	Seed        uint64  `default:"1" help:"Seed of the first day; each further day adds 1."`
	Days        int     `default:"64" help:"Maximum number of days to simulate on each side."`
	Width       float64 `default:"0.01" help:"Half width of the score's interval at which the comparison stops."`
	Workers     int     `default:"${workers}" help:"Days simulated at once; the result does not depend on it."`
	Independent bool    `help:"Draw balancer and network choices independently per side, to see the effect of chance."`
	scenarioFlags
	Out  string `placeholder:"DIR" help:"Write inputs, raw days, tables, charts and a page to this folder."`
	JSON bool   `help:"Print the outcome as JSON."`
}

// side is one of the two sides of a comparison.
type side struct {
	name   string
	player compare.Player
	input  *report.Input // the side's variant file; nil if it has none
	build  string        // name and checksum of the build; empty for this build
	close  func()
}

// Run compares B with A.
func (c *compareCmd) Run(console *console) error {
	if c.Days < 2 || c.Workers < 1 || !(c.Width >= 0) {
		return badInput("--days must be at least 2, --workers at least 1 and --width not negative")
	}
	spec, text, err := c.read(console, c.Day)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "simulator")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	// Workers of another build read this file, because the scenarios that are built into it may differ.
	dayFile := filepath.Join(dir, "day.yaml")
	if err := os.WriteFile(dayFile, text, 0o600); err != nil {
		return err
	}
	var sides [2]*side
	letters := [2]string{"a", "b"}
	for i, name := range []string{c.A, c.B} {
		if sides[i], err = c.openSide(name, letters[i], spec, dayFile); err != nil {
			return err
		}
		defer sides[i].close()
	}
	outcome, err := c.compare(console, sides)
	if err != nil {
		return err
	}
	comparison, err := c.report(spec, text, sides, outcome)
	if err != nil {
		return err
	}
	return c.show(console, comparison)
}

// compare compares the two sides and shows the progress.
func (c *compareCmd) compare(console *console, sides [2]*side) (*compare.Outcome, error) {
	step, finish := console.progress("days, up to", c.Days)
	defer finish()
	shown := 0
	plan := compare.Plan{
		Seed:        c.Seed,
		Days:        c.Days,
		Width:       c.Width,
		Workers:     c.Workers,
		Independent: c.Independent,
		Progress: func(done, _ int) {
			for ; shown < done; shown++ {
				step()
			}
		},
	}
	return compare.Run(console.ctx, plan, sides[0].player, sides[1].player)
}

// report returns the comparison with its inputs and checksums.
func (c *compareCmd) report(
	spec *day.Spec,
	dayText []byte,
	sides [2]*side,
	outcome *compare.Outcome,
) (*report.Comparison, error) {
	r := &report.Comparison{
		Title:   spec.Name + ": " + sides[1].name + " against " + sides[0].name,
		A:       sides[0].name,
		B:       sides[1].name,
		Day:     c.Day,
		Build:   buildinfo.Version(),
		Outcome: outcome,
		Inputs:  []report.Input{{Name: "day.yaml", Text: dayText}},
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
		sum, err := checksum(name)
		if err != nil {
			return nil, err
		}
		r.Traffic = append(r.Traffic, fmt.Sprintf("%s, %g times its rate", sum, c.Rate))
	}
	return r, nil
}

// show saves and prints the comparison.
func (c *compareCmd) show(console *console, r *report.Comparison) error {
	if c.Out != "" {
		if err := report.Save(c.Out, r); err != nil {
			return err
		}
	}
	if c.JSON {
		return console.printJSON(r)
	}
	fmt.Fprintf(console.stdout, "A: %s\nB: %s\n%s\n%s\n",
		r.A, r.B, report.Table(r).Render(), report.Summary(r))
	return nil
}

// thisBuild is the argument that stands for this build of the simulator without a variant.
const thisBuild = "-"

// openSide prepares a side: a build of the simulator, a variant file, or thisBuild. The letter is the base
// name of the side's variant file in the report.
func (c *compareCmd) openSide(name, letter string, spec *day.Spec, dayFile string) (*side, error) {
	if name == thisBuild {
		name = ""
	}
	if isProgram(name) {
		return c.openBuild(name, dayFile)
	}
	v, text, err := variant.Read(name)
	if err != nil {
		return nil, err
	}
	options, err := v.Options(spec)
	if err != nil {
		return nil, err
	}
	s := &side{name: v.Name, player: compare.Local{Spec: spec, Options: options}, close: func() {}}
	if text != nil {
		s.input = &report.Input{Name: letter + ".yaml", Text: text}
	}
	return s, nil
}

// isProgram reports whether path names an executable file. A file with the suffix .yaml counts as a variant
// file even if it is executable.
func isProgram(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0 &&
		!strings.HasSuffix(path, ".yaml")
}

// openBuild starts the workers of another build.
func (c *compareCmd) openBuild(name, dayFile string) (*side, error) {
	path, err := filepath.Abs(name)
	if err != nil {
		return nil, err
	}
	sum, err := checksum(path)
	if err != nil {
		return nil, err
	}
	version, err := compare.StartVersion(path, c.workerArgs(dayFile), c.Workers)
	if err != nil {
		return nil, inputError{err}
	}
	return &side{name: name, player: version, build: sum, close: version.Close}, nil
}

// checksum returns the base name and the SHA-256 checksum of a file as text.
func checksum(path string) (string, error) {
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
	scenarioFlags
}

// Run simulates the days that tasks on standard input ask for, until the end of the input.
func (c *workerCmd) Run(console *console) error {
	spec, _, options, err := c.open(console, c.Day, c.With)
	if err != nil {
		return err
	}
	return compare.Serve(console.stdin, console.stdout, compare.Local{Spec: spec, Options: options})
}
