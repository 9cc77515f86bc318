package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/app"
	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

type usageCmd struct {
	Open    usageOpenCmd    `cmd:"" help:"Ask a running program what it has counted and not yet told in a statement."`
	Show    usageShowCmd    `cmd:"" help:"Show the account of a folder, which may be in use."`
	Bill    usageBillCmd    `cmd:"" help:"Put statements of any instances together: what each school used, and what is missing."`
	Correct usageCorrectCmd `cmd:"" help:"Have a running program correct its account."`
}

// Help implements kong.HelpProvider.
func (usageCmd) Help() string {
	return `What schools use is counted where usage.dir of the operator's file says, and given out as one statement for each period.

Examples:
  runner usage open --operator deploy/operator.yaml
  runner usage bill /mnt/statements/*.json --config platform.json --instances n0,n1 --csv > october.csv
  runner usage correct --id tkt-4711 --period 2026-12-01T21:00:00Z --school north --class hand-in --served -3 --why "load test" --socket /run/ryepaddle/control.sock`
}

// at is a time as people write it.
func at(instant wallclock.UnixMicro) string {
	return instant.Time().UTC().Format("2006-01-02T15:04:05Z")
}

type usageOpenCmd struct{ asking }

// Run tells what is open.
func (c *usageOpenCmd) Run(sh *shell) error {
	var s ledger.Summary
	if err := c.ask(control.Request{Command: "usage"}, &s); err != nil {
		return err
	}
	return showUsage(sh, &s, c.JSON)
}

func showUsage(sh *shell, s *ledger.Summary, asJSON bool) error {
	if asJSON {
		return printJSON(sh, s)
	}
	fmt.Fprintf(
		sh.out,
		"%s, account %s: settled up to %s in %d statements, %d of them written; %d keys, %d corrections "+
			"to come\n",
		s.Instance,
		s.Incarnation,
		at(s.SealedThrough),
		s.Statements,
		s.Exported,
		s.Keys,
		s.Corrections,
	)
	if s.Lost > 0 {
		fmt.Fprintf(sh.out, "%d uses were not counted\n", s.Lost)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(
		table.Row{
			"period",
			"school",
			"class",
			"served",
			"repeats",
			"late",
			"refused",
			"failed",
			"gone",
			"work s",
		},
	)
	for _, n := range s.Lines {
		t.AppendRow(
			table.Row{
				at(n.Period),
				n.School,
				n.Class,
				n.Served,
				n.Duplicates,
				n.TimedOut,
				n.Rejected,
				n.Failed,
				n.Abandoned,
				fmt.Sprintf("%.3f", float64(n.Work)/1e6),
			},
		)
	}
	if len(s.Lines) > 0 {
		fmt.Fprintln(sh.out, t.Render())
	}
	return nil
}

type usageShowCmd struct {
	Dir  string `arg:"" type:"existingdir" help:"The folder, as usage.dir of the operator's file names it."`
	JSON bool   `help:"Print it as JSON."`
}

// Run shows what was written last. What a running program has counted since is not in it.
func (c *usageShowCmd) Run(sh *shell) error {
	b, err := os.ReadFile(filepath.Join(c.Dir, "state"))
	if err != nil {
		return badInput{err}
	}
	l, err := ledger.Inspect(b)
	if err != nil {
		return badInput{fmt.Errorf("%s: %w", filepath.Join(c.Dir, "state"), err)}
	}
	s := l.Summary()
	return showUsage(sh, &s, c.JSON)
}

type usageBillCmd struct {
	Files     []string `arg:"" help:"Statements, or folders that hold some."`
	Config    string   `placeholder:"FILE" help:"The platform's file, for the shares of the schools."`
	Instances []string `help:"Those of which statements are expected. By default those of which there are any."`
	CSV       bool     `name:"csv" help:"Print the lines as CSV."`
	JSON      bool     `help:"Print all of it as JSON."`
}

// Help implements kong.HelpProvider.
func (usageBillCmd) Help() string {
	return `A statement counts once, however often it is there. Where some are missing, do not fit or say that requests were not counted, the
bill is made of the rest and the exit status is 1.`
}

// Run makes a bill. It is printed also where it is not the whole truth.
func (c *usageBillCmd) Run(sh *shell) error {
	terms := ledger.BillingTerms{Instances: c.Instances, Quotas: map[string]float64{}}
	if c.Config != "" {
		cfg, err := config.ReadPlatform(c.Config)
		if err != nil {
			return badInput{err}
		}
		for _, t := range cfg.Settings.Tenants {
			terms.Quotas[t.Name] = t.QuotaRate
		}
	}
	list, err := readStatements(c.Files)
	if err != nil {
		return badInput{err}
	}
	bill, err := ledger.Reconcile(list, terms)
	if err != nil {
		return badInput{err}
	}
	switch {
	case c.JSON:
		err = printJSON(sh, bill)
	case c.CSV:
		err = billCSV(sh, bill)
	default:
		billTable(sh, bill)
	}
	if err != nil {
		return err
	}
	for _, p := range bill.Problems {
		fmt.Fprintln(sh.err, p)
	}
	missing := slices.ContainsFunc(bill.Periods, func(p ledger.BillPeriod) bool { return len(p.MissingInstances) > 0 })
	if len(bill.Problems) > 0 || missing {
		return fmt.Errorf(
			"the bill is not the whole truth: %d problems; %d of %d periods are not told by all instances",
			len(bill.Problems),
			untold(bill),
			len(bill.Periods),
		)
	}
	return nil
}

func untold(b *ledger.Bill) (n int) {
	for _, p := range b.Periods {
		if len(p.MissingInstances) > 0 {
			n++
		}
	}
	return n
}

// readStatements reads files, and of folders those that are named as statements.
func readStatements(paths []string) ([]*ledger.Statement, error) {
	var list []*ledger.Statement
	for _, path := range paths {
		files := []string{path}
		if info, err := os.Stat(path); err != nil {
			return nil, err
		} else if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "usage-*.json")); err != nil {
				return nil, err
			}
		}
		for _, file := range files {
			b, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			s, err := ledger.ParseStatement(file, b)
			if err != nil {
				return nil, err
			}
			list = append(list, s)
		}
	}
	return list, nil
}

func billTable(sh *shell, b *ledger.Bill) {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(
		table.Row{
			"period",
			"school",
			"class",
			"served",
			"repeats",
			"late",
			"refused",
			"failed",
			"gone",
			"work s",
			"changed",
		},
	)
	for _, n := range b.Lines {
		t.AppendRow(
			table.Row{
				at(n.Period),
				n.School,
				n.Class,
				n.Served,
				n.Duplicates,
				n.TimedOut,
				n.Rejected,
				n.Failed,
				n.Abandoned,
				fmt.Sprintf("%.3f", float64(n.Work)/1e6),
				n.Changed,
			},
		)
	}
	fmt.Fprintln(sh.out, t.Render())
	t = table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"period", "school", "served", "above its share", "work s"})
	for _, s := range b.Schools {
		t.AppendRow(
			table.Row{
				at(s.Period),
				s.School,
				s.Served,
				fmt.Sprintf("%.0f", s.AboveQuota),
				fmt.Sprintf("%.3f", float64(s.Work)/1e6),
			},
		)
	}
	fmt.Fprintln(sh.out, t.Render())
	fmt.Fprintf(
		sh.out,
		"%d statements, %d copies of them; %d hand-ins were counted by two instances, and are counted once\n",
		b.Statements,
		b.DuplicateStatements,
		b.DeduplicatedRuns,
	)
	for _, p := range b.Periods {
		if len(p.MissingInstances) > 0 {
			fmt.Fprintf(sh.out, "%s: nothing yet of %s\n", at(p.Period), strings.Join(p.MissingInstances, ", "))
		}
	}
}

func billCSV(sh *shell, b *ledger.Bill) error {
	w := csv.NewWriter(sh.out)
	rows := [][]string{
		{
			"period",
			"school",
			"class",
			"served",
			"repeats",
			"late",
			"refused",
			"failed",
			"gone",
			"work_us",
			"changed",
		},
	}
	for _, n := range b.Lines {
		row := []string{at(n.Period), n.School, n.Class}
		for _, v := range []int64{n.Served, n.Duplicates, n.TimedOut, n.Rejected, n.Failed, n.Abandoned, int64(n.Work)} {
			row = append(row, strconv.FormatInt(v, 10))
		}
		rows = append(rows, append(row, strconv.FormatBool(n.Changed)))
	}
	return w.WriteAll(rows)
}

type usageCorrectCmd struct {
	asking
	ID      string    `required:"" help:"Names the correction: given twice it is one, to whichever instance."`
	Period  time.Time `required:"" format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"When the period began that it is about."`
	School  string    `required:""`
	Class   string    `required:""`
	Served  int64     `help:"So many more, or less."`
	Repeats int64     `help:"So many more, or less."`
	WorkMs  int64     `help:"So much more work, or less."`
	Why     string    `required:""`
	By      string    `env:"USER" help:"Who corrects."`
}

// Run corrects. It returns once the correction is on the program's disk.
func (c *usageCorrectCmd) Run(sh *shell) error {
	text, err := json.Marshal(
		ledger.Correction{
			ID:     c.ID,
			Period: wallclock.FromTime(c.Period),
			School: c.School,
			Class:  c.Class,
			Reason: c.Why,
			Author: c.By,
			Count:  ledger.Count{Served: c.Served, Duplicates: c.Repeats, Work: wallclock.Micros(c.WorkMs) * 1000},
		},
	)
	if err != nil {
		return err
	}
	var done app.CorrectionAnswer
	if err := c.ask(control.Request{Command: "correct", Correction: text}, &done); err != nil {
		return err
	}
	switch {
	case c.JSON:
		return printJSON(sh, done)
	case done.Known:
		fmt.Fprintf(sh.out, "%s had been taken before, and stands once\n", c.ID)
	default:
		fmt.Fprintf(sh.out, "%s is taken, and will be in the next statement\n", c.ID)
	}
	return nil
}
