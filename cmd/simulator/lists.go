package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/variant"
)

type daysCmd struct {
	Name string `arg:"" optional:"" help:"The scenario to print."`
}

// Run lists scenarios or prints one, as a beginning for one's own.
func (c *daysCmd) Run(l *lab) error {
	if c.Name == "" {
		for _, name := range day.Names() {
			fmt.Fprintln(l.out, name)
		}
		return nil
	}
	_, text, err := day.Read(c.Name)
	if err != nil {
		return err
	}
	_, err = l.out.Write(text)
	return err
}

type schemaCmd struct {
	Of string `arg:"" enum:"day,differences" help:"day or differences."`
}

// Run prints a schema.
func (c *schemaCmd) Run(l *lab) error {
	if c.Of == "day" {
		return l.json(day.Schema())
	}
	return l.json(variant.Schema())
}

type figuresCmd struct {
	JSON bool `help:"Print them as JSON."`
}

// Run lists the module's figures.
func (c *figuresCmd) Run(l *lab) error {
	f := admission.DefaultParameters()
	if c.JSON {
		values := map[string]float64{}
		for _, g := range f.All() {
			values[g.Name] = *g.Value
		}
		return l.json(values)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"figure", "value", "least", "most"})
	for _, g := range f.All() {
		t.AppendRow(table.Row{g.Name, *g.Value, g.Min, g.Max})
	}
	fmt.Fprintln(l.out, t.Render())
	return nil
}
