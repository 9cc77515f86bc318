package main

import (
	"encoding/json"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/wallclock"
)

// printJSON prints a value as indented JSON.
func printJSON(s *streams, v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// newTable creates a table with a header.
func newTable(columns ...any) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(columns)
	return t
}

// formatTime formats an instant for tables, in UTC.
func formatTime(instant wallclock.UnixMicro) string {
	return instant.Time().UTC().Format("2006-01-02T15:04:05Z")
}

// formatSeconds formats an amount of work in seconds.
func formatSeconds(work wallclock.Micros) string { return fmt.Sprintf("%.3f", float64(work)/1e6) }
