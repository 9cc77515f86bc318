package main

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/simulator/report"
	"ryepaddle/internal/testing/conformance"
)

type conformCmd struct {
	Front   string        `placeholder:"ADDR" help:"${help_front}"`
	Server  string        `placeholder:"ADDR" help:"${help_server}"`
	Safe    string        `default:"/ops/quick-check" help:"Path of a class whose requests are idempotent."`
	Keyed   string        `default:"/ops/hand-in" help:"Path of a class with idempotency keys."`
	KeyVar  string        `default:"HTTP_X_DEDUPE_KEY" help:"The variable that holds the idempotency key."`
	Tenant  string        `default:"HTTP_X_CUSTOMER=north" help:"${help_tenant}"`
	Within  time.Duration `default:"10s" help:"Time limit of each case."`
	Clauses bool          `help:"List the clauses and the cases that test each, without running any."`
	JSON    bool          `help:"Print the results or the list as JSON."`
}

// caseResult is the result of a case whose request was sent in one of the two ways.
type caseResult struct {
	Case    string   `json:"case"`
	Clauses []string `json:"clauses"`
	How     string   `json:"how"` // sentWhole or sentBytewise
	Fault   string   `json:"fault,omitempty"`
}

// The ways in which the request of a case is sent: in one write, or in a write per byte.
const (
	sentWhole    = "whole"
	sentBytewise = "a byte at a time"
)

// Run runs the conformance suite against a frontend and prints the results. With --clauses it only lists the
// clauses.
func (c *conformCmd) Run(console *console) error {
	cases, clauses, err := conformance.Load()
	if err != nil {
		return err
	}
	if c.Clauses {
		return c.list(console, cases, clauses)
	}
	name, value, ok := strings.Cut(c.Tenant, "=")
	if c.Front == "" || c.Server == "" || !ok || c.Within <= 0 {
		return badInput("--front and --server must be addresses, --tenant must be VARIABLE=NAME and --within above 0")
	}
	listener, err := net.Listen("tcp", c.Server)
	if err != nil {
		return inputError{err}
	}
	defer listener.Close()
	suite := conformance.New(conformance.Gateway{
		FrontendAddr:   c.Front,
		IdempotentPath: c.Safe,
		KeyedPath:      c.Keyed,
		KeyVariable:    c.KeyVar,
		Tenant:         [2]string{name, value},
		Timeout:        c.Within,
	}, listener)
	results, err := playCases(console.ctx, suite, cases)
	if err != nil {
		return err
	}
	return c.show(console, results, len(cases))
}

// playCases runs each case twice: with its request in one write, and a byte at a time.
func playCases(ctx context.Context, suite *conformance.Suite, cases []conformance.Case) ([]caseResult, error) {
	var results []caseResult
	for i := range cases {
		for _, bytewise := range []bool{false, true} {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			r := caseResult{Case: cases[i].Name, Clauses: cases[i].Clauses, How: sentWhole}
			if bytewise {
				r.How = sentBytewise
			}
			if err := suite.Run(&cases[i], bytewise); err != nil {
				r.Fault = err.Error()
			}
			results = append(results, r)
		}
	}
	return results, nil
}

// show prints the results. It returns an error if a case failed.
func (c *conformCmd) show(console *console, results []caseResult, cases int) error {
	var failed []caseResult
	for _, r := range results {
		if r.Fault != "" {
			failed = append(failed, r)
		}
	}
	if c.JSON {
		if err := console.printJSON(results); err != nil {
			return err
		}
	} else {
		for _, r := range failed {
			fmt.Fprintf(console.stdout, "%s, %s (%s): %s\n",
				r.Case, r.How, strings.Join(r.Clauses, ", "), r.Fault)
		}
		fmt.Fprintf(console.stdout, "%d of %d runs of %d cases passed\n",
			len(results)-len(failed), len(results), cases)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d runs of cases failed", len(failed))
	}
	return nil
}

// list prints the clauses, each with the cases that test it.
func (c *conformCmd) list(console *console, cases []conformance.Case, clauses []conformance.Clause) error {
	if c.JSON {
		return console.printJSON(clauses)
	}
	t := report.NewTable("clause", "source", "what it says", "cases")
	for _, clause := range clauses {
		var names []string
		for _, played := range cases {
			if slices.Contains(played.Clauses, clause.ID) {
				names = append(names, played.Name)
			}
		}
		t.AppendRow(table.Row{clause.ID, clause.Source, clause.Text, strings.Join(names, "; ")})
	}
	fmt.Fprintln(console.stdout, t.RenderMarkdown())
	return nil
}
