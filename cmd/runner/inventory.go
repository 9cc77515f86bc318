package main

import (
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/discovery"
	"ryepaddle/internal/inventory"
)

type inventoryCmd struct {
	Check inventoryCheckCmd `cmd:"" help:"${inventory_check}"`
}

type inventoryCheckCmd struct {
	File    string  `arg:"" help:"A .csv, .yaml or .yml file, or a folder of them."`
	Against string  `placeholder:"FILE" help:"${flag_against}"`
	Shrink  float64 `default:"0.5" help:"With --against: largest share of servers removed, as inventory_watch.shrink."`
	JSON    bool    `help:"Print the servers as JSON."`
}

// inventoryRow describes a server of an inventory. It is printed as JSON or as a row of a table.
type inventoryRow struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Groups  []string `json:"groups"`
	Zone    string   `json:"hall,omitempty"`
	Weight  int      `json:"weight"` // 0: the server gets no requests
	Line    int      `json:"line"`
}

// Run reads an inventory as a running program does, and prints its servers.
func (c *inventoryCheckCmd) Run(s *streams) error {
	servers, err := inventory.Read(c.File)
	if err != nil {
		return inputError{err}
	}
	if c.Against != "" {
		if err := c.compare(s, servers); err != nil {
			return inputError{err}
		}
	}
	var rows []inventoryRow
	for _, server := range servers {
		rows = append(rows, inventoryRow{
			Name:    server.Name,
			Address: server.Addr.String(),
			Groups:  server.Groups,
			Zone:    server.Zone,
			Weight:  server.Weight,
			Line:    server.Line,
		})
	}
	if c.JSON {
		return printJSON(s, rows)
	}
	t := newTable("server", "address", "groups", "hall", "weight", "line")
	for _, row := range rows {
		groups := strings.Join(row.Groups, ", ")
		t.AppendRow(table.Row{row.Name, row.Address, groups, row.Zone, row.Weight, row.Line})
	}
	_, err = fmt.Fprintf(s.out, "%s\n%d servers\n", t.Render(), len(rows))
	return err
}

// compare prints the changes from the inventory in force, and returns an error if a running program
// would apply them only at a HUP.
func (c *inventoryCheckCmd) compare(s *streams, servers []inventory.Server) error {
	previous, err := inventory.Read(c.Against)
	if err != nil {
		return err
	}
	// The validator takes fingerprints from before and after the read, to detect files that changed
	// meanwhile. The inventory has been read already; equal fingerprints mean that it did not change.
	const unchanged discovery.Fingerprint = 1
	validator := discovery.New(discovery.Config{MaxShrink: c.Shrink}, 0, previous)
	if _, err := validator.Validate(unchanged, unchanged, servers, nil, 0); err != nil {
		return fmt.Errorf("%s compared with %s: %w", c.File, c.Against, err)
	}
	fmt.Fprintf(s.err, "beside %s: %v\n", c.Against, discovery.Diff(previous, servers))
	return nil
}
