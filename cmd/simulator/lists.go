package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/report"
	"ryepaddle/internal/simulator/variant"
)

type daysCmd struct {
	Name string `arg:"" optional:"" help:"The scenario to print; without it, list the built-in scenarios."`
}

// Run lists the built-in scenarios, or prints one.
func (c *daysCmd) Run(console *console) error {
	if c.Name == "" {
		for _, name := range day.Names() {
			fmt.Fprintln(console.stdout, name)
		}
		return nil
	}
	_, text, err := day.Read(c.Name)
	if err != nil {
		return err
	}
	_, err = console.stdout.Write(text)
	return err
}

type schemaCmd struct {
	Of string `arg:"" enum:"day,differences" help:"Kind of file whose schema to print: day or differences."`
}

// Run prints a JSON schema.
func (c *schemaCmd) Run(console *console) error {
	if c.Of == "day" {
		return console.printJSON(day.Schema())
	}
	return console.printJSON(variant.Schema())
}

type figuresCmd struct {
	JSON bool `help:"Print the figures as JSON."`
}

// Run lists the parameters of the admission module.
func (c *figuresCmd) Run(console *console) error {
	parameters := admission.DefaultParameters()
	if c.JSON {
		values := map[string]float64{}
		for _, p := range parameters.All() {
			values[p.Name] = *p.Value
		}
		return console.printJSON(values)
	}
	t := report.NewTable("figure", "value", "least", "most")
	for _, p := range parameters.All() {
		t.AppendRow(table.Row{p.Name, *p.Value, p.Min, p.Max})
	}
	fmt.Fprintln(console.stdout, t.Render())
	return nil
}
