package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/wallclock"
)

// printJSON prints a value as indented JSON.
func printJSON(s *streams, v any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
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
	return instant.Time().UTC().Format(time.RFC3339)
}

// secondsOfMs converts milliseconds to seconds.
func secondsOfMs(ms int64) float64 { return float64(ms) / 1000 }

// formatSeconds formats an amount of work in seconds.
func formatSeconds(work wallclock.Micros) string { return fmt.Sprintf("%.3f", float64(work)/1e6) }
