package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/usage/metering"
	"ryepaddle/internal/wallclock"
)

type usageCmd struct {
	Open    usageOpenCmd    `cmd:"" help:"${usage_open}"`
	Show    usageShowCmd    `cmd:"" help:"${usage_show}"`
	Bill    usageBillCmd    `cmd:"" help:"${usage_bill}"`
	Correct usageCorrectCmd `cmd:"" help:"${usage_correct}"`
}

type usageOpenCmd struct{ controlFlags }

// Run prints the usage ledger of a running program.
func (c *usageOpenCmd) Run(s *streams) error {
	var summary ledger.Summary
	if err := c.ask(control.Request{Command: app.CommandUsage}, &summary); err != nil {
		return err
	}
	return printUsage(s, &summary, c.JSON)
}

type usageShowCmd struct {
	Dir  string `arg:"" type:"existingdir" help:"The folder of the ledger: usage.dir of the operator's file."`
	JSON bool   `help:"Print the ledger as JSON."`
}

// Run prints the usage ledger in a folder. It does not include what a running program has counted
// since it last wrote the ledger.
func (c *usageShowCmd) Run(s *streams) error {
	path := filepath.Join(c.Dir, metering.StateFile)
	b, err := os.ReadFile(path)
	if err != nil {
		return inputError{err}
	}
	usageLedger, err := ledger.Inspect(b)
	if err != nil {
		return inputError{fmt.Errorf("%s: %w", path, err)}
	}
	summary := usageLedger.Summary()
	return printUsage(s, &summary, c.JSON)
}

// printUsage prints a summary of a usage ledger.
func printUsage(s *streams, summary *ledger.Summary, asJSON bool) error {
	if asJSON {
		return printJSON(s, summary)
	}
	fmt.Fprintf(
		s.out,
		"%s, account %s: settled up to %s in %d statements, %d of them written; %d keys, %d corrections to come\n",
		summary.Instance,
		summary.Incarnation,
		formatTime(summary.SealedThrough),
		summary.Statements,
		summary.Exported,
		summary.Keys,
		summary.Corrections,
	)
	if summary.Lost > 0 {
		fmt.Fprintf(s.out, "%d uses were not counted\n", summary.Lost)
	}
	if len(summary.Lines) == 0 {
		return nil
	}
	t := newTable(usageColumns("work s")...)
	for _, line := range summary.Lines {
		t.AppendRow(usageRow(line.Period, line.Tenant, line.Class, &line.Count))
	}
	fmt.Fprintln(s.out, t.Render())
	return nil
}

// usageColumns returns the headings of the columns of usageRow, followed by more.
func usageColumns(more ...any) []any {
	columns := []any{"period", "school", "class", "served", "repeats", "late", "refused", "failed", "gone"}
	return append(columns, more...)
}

func usageRow(period wallclock.UnixMicro, school, class string, count *ledger.Count) table.Row {
	return table.Row{
		formatTime(period),
		school,
		class,
		count.Served,
		count.Duplicates,
		count.TimedOut,
		count.Rejected,
		count.Failed,
		count.Abandoned,
		formatSeconds(count.Work),
	}
}

type usageCorrectCmd struct {
	controlFlags
	ID      string    `required:"" help:"${flag_correction_id}"`
	Period  time.Time `required:"" format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"${flag_period}"`
	School  string    `required:""`
	Class   string    `required:""`
	Served  int64     `help:"Number of served requests to add; negative to subtract."`
	Repeats int64     `help:"Number of repeats to add; negative to subtract."`
	WorkMs  int64     `help:"Server time to add, in milliseconds; negative to subtract."`
	Reason  string    `name:"why" required:""`
	Author  string    `name:"by" env:"USER" help:"Author of the correction."`
}

// Run corrects the usage ledger of a running program. It returns when the program has stored the
// correction on its disk.
func (c *usageCorrectCmd) Run(s *streams) error {
	correction, err := json.Marshal(c.correction())
	if err != nil {
		return err
	}
	var answer app.CorrectionAnswer
	if err := c.ask(control.Request{Command: app.CommandCorrect, Correction: correction}, &answer); err != nil {
		return err
	}
	switch {
	case c.JSON:
		return printJSON(s, answer)
	case answer.Known:
		fmt.Fprintf(s.out, "%s had been accepted before, and counts once\n", c.ID)
	default:
		fmt.Fprintf(s.out, "%s is accepted, and will be in the next statement\n", c.ID)
	}
	return nil
}

func (c *usageCorrectCmd) correction() ledger.Correction {
	return ledger.Correction{
		ID:     c.ID,
		Period: wallclock.FromTime(c.Period),
		Tenant: c.School,
		Class:  c.Class,
		Reason: c.Reason,
		Author: c.Author,
		Count: ledger.Count{
			Served:     c.Served,
			Duplicates: c.Repeats,
			Work:       wallclock.Micros(c.WorkMs) * 1000,
		},
	}
}
