package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/config"
	"ryepaddle/internal/usage/ledger"
)

type usageBillCmd struct {
	Files     []string `arg:"" help:"Files of usage statements, or folders with usage-*.json files."`
	Config    string   `placeholder:"FILE" help:"The platform's file, for the schools' quotas; without it, none apply."`
	Instances []string `help:"${flag_instances}"`
	CSV       bool     `name:"csv" help:"Print the lines of the bill as CSV."`
	JSON      bool     `help:"Print the whole bill as JSON."`
}

// Run makes a bill from usage statements and prints it. An incomplete bill is printed too, and Run
// returns an error.
func (c *usageBillCmd) Run(s *streams) error {
	bill, err := c.reconcile()
	if err != nil {
		return inputError{err}
	}
	if err := c.print(s, bill); err != nil {
		return err
	}
	for _, problem := range bill.Problems {
		fmt.Fprintln(s.err, problem)
	}
	incomplete := incompletePeriods(bill)
	if len(bill.Problems) > 0 || incomplete > 0 {
		return fmt.Errorf(
			"the bill is not the whole truth: %d problems; %d of %d periods are not told by all instances",
			len(bill.Problems),
			incomplete,
			len(bill.Periods),
		)
	}
	return nil
}

// reconcile reads the statements and makes a bill of them.
func (c *usageBillCmd) reconcile() (*ledger.Bill, error) {
	terms := ledger.BillingTerms{Instances: c.Instances, Quotas: map[string]float64{}}
	if c.Config != "" {
		platform, err := config.ReadPlatform(c.Config)
		if err != nil {
			return nil, err
		}
		for _, tenant := range platform.Settings.Tenants {
			terms.Quotas[tenant.Name] = tenant.QuotaRate
		}
	}
	statements, err := readStatements(c.Files)
	if err != nil {
		return nil, err
	}
	return ledger.Reconcile(statements, terms)
}

func (c *usageBillCmd) print(s *streams, bill *ledger.Bill) error {
	switch {
	case c.JSON:
		return printJSON(s, bill)
	case c.CSV:
		return printBillCSV(s, bill)
	}
	printBill(s, bill)
	return nil
}

// incompletePeriods counts the periods with missing statements.
func incompletePeriods(bill *ledger.Bill) int {
	count := 0
	for _, period := range bill.Periods {
		if len(period.MissingInstances) > 0 {
			count++
		}
	}
	return count
}

// readStatements reads the statements of files and folders.
func readStatements(paths []string) ([]*ledger.Statement, error) {
	var statements []*ledger.Statement
	for _, path := range paths {
		files, err := statementFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			b, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			statement, err := ledger.ParseStatement(file, b)
			if err != nil {
				return nil, err
			}
			statements = append(statements, statement)
		}
	}
	return statements, nil
}

// statementPattern matches the names of statements in a folder.
const statementPattern = "usage-*.json"

// statementFiles returns the path of a file, or the paths of the statements in a folder.
func statementFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		return filepath.Glob(filepath.Join(path, statementPattern))
	}
	return []string{path}, nil
}

// printBill prints a bill as text.
func printBill(s *streams, bill *ledger.Bill) {
	t := newTable(usageColumns("work s", "changed")...)
	for _, line := range bill.Lines {
		t.AppendRow(append(usageRow(line.Period, line.Tenant, line.Class, &line.Count), line.Changed))
	}
	fmt.Fprintln(s.out, t.Render())
	t = newTable("period", "school", "served", "above its share", "work s")
	for _, school := range bill.Tenants {
		aboveQuota := fmt.Sprintf("%.0f", school.AboveQuota)
		t.AppendRow(table.Row{
			formatTime(school.Period), school.Tenant, school.Served, aboveQuota, formatSeconds(school.Work),
		})
	}
	fmt.Fprintln(s.out, t.Render())
	fmt.Fprintf(
		s.out,
		"%d statements, %d copies of them; %d hand-ins were counted by two instances, and are counted once\n",
		bill.Statements,
		bill.DuplicateStatements,
		bill.DeduplicatedRuns,
	)
	for _, period := range bill.Periods {
		if len(period.MissingInstances) > 0 {
			missing := strings.Join(period.MissingInstances, ", ")
			fmt.Fprintf(s.out, "%s: nothing yet of %s\n", formatTime(period.Period), missing)
		}
	}
}

// printBillCSV prints the lines of a bill as CSV.
func printBillCSV(s *streams, bill *ledger.Bill) error {
	var header []string
	for _, column := range usageColumns("work_us", "changed") {
		header = append(header, fmt.Sprint(column))
	}
	rows := [][]string{header}
	for _, line := range bill.Lines {
		row := []string{formatTime(line.Period), line.Tenant, line.Class}
		numbers := []int64{
			line.Served, line.Duplicates, line.TimedOut, line.Rejected, line.Failed, line.Abandoned,
			int64(line.Work),
		}
		for _, number := range numbers {
			row = append(row, strconv.FormatInt(number, 10))
		}
		rows = append(rows, append(row, strconv.FormatBool(line.Changed)))
	}
	return csv.NewWriter(s.out).WriteAll(rows)
}
