package main

import (
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

type inventoryCmd struct {
	Check inventoryCheckCmd `cmd:"" help:"Say what an inventory means, or what is wrong with it, and where."`
}

type inventoryCheckCmd struct {
	File    string  `arg:"" help:"A .csv, .yaml or .yml file, or a folder of them."`
	Against string  `placeholder:"FILE" help:"The list that holds: say what changes, and whether a running program takes it without a HUP."`
	Shrink  float64 `default:"0.5" help:"With --against: inventory_watch.shrink of the operator's file."`
	JSON    bool    `help:"Print the servers as JSON."`
}

// Help implements kong.HelpProvider.
func (inventoryCheckCmd) Help() string {
	return `Examples:
  runner inventory check inventory.yaml
  runner inventory check new.csv --against inventory.csv`
}

// Run reads an inventory as the runner does.
func (c *inventoryCheckCmd) Run(sh *shell) error {
	servers, err := inventory.Read(c.File)
	if err != nil {
		return badInput{err}
	}
	if c.Against != "" {
		held, err := inventory.Read(c.Against)
		if err != nil {
			return badInput{err}
		}
		const mark = 1 // of any files: they do not change here
		if _, err := discovery.New(discovery.Config{MaxShrink: c.Shrink}, 0, held).Validate(
			mark,
			mark,
			servers,
			nil,
			0,
		); err != nil {
			return badInput{fmt.Errorf("%s beside %s: %w", c.File, c.Against, err)}
		}
		fmt.Fprintf(sh.err, "beside %s: %v\n", c.Against, discovery.Diff(held, servers))
	}
	type row struct {
		Name    string   `json:"name"`
		Address string   `json:"address"`
		Groups  []string `json:"groups"`
		Hall    string   `json:"hall,omitempty"`
		Weight  int      `json:"weight"` // 0: out of use
		Line    int      `json:"line"`
	}
	var rows []row
	for _, s := range servers {
		rows = append(rows, row{s.Name, s.Addr.String(), s.Groups, s.Zone, s.Weight, s.Line})
	}
	if c.JSON {
		return printJSON(sh, rows)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"server", "address", "groups", "hall", "weight", "line"})
	for _, r := range rows {
		t.AppendRow(table.Row{r.Name, r.Address, strings.Join(r.Groups, ", "), r.Hall, r.Weight, r.Line})
	}
	_, err = fmt.Fprintf(sh.out, "%s\n%d servers\n", t.Render(), len(rows))
	return err
}
