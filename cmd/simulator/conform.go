package main

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/testing/conformance"
)

type conformCmd struct {
	Front   string        `placeholder:"ADDR" help:"The uwsgi front under examination: IP:PORT, or the path of a unix socket."`
	Server  string        `placeholder:"ADDR" help:"Where this suite's server listens; the front's inventory must lead both classes to it alone."`
	Safe    string        `default:"/ops/quick-check" help:"Path of a class that is safe to repeat."`
	Keyed   string        `default:"/ops/hand-in" help:"Path of a keyed class."`
	KeyVar  string        `default:"HTTP_X_DEDUPE_KEY" help:"The variable with the dedupe key."`
	Tenant  string        `default:"HTTP_X_CUSTOMER=north" help:"The variable that names the tenant, and one that is known."`
	Within  time.Duration `default:"10s" help:"How long one case may take."`
	Clauses bool          `help:"List the clauses and the cases that show each, and play nothing."`
	JSON    bool          `help:"Print it as JSON."`
}

// result is what became of a case.
type result struct {
	Case    string   `json:"case"`
	Clauses []string `json:"clauses"`
	How     string   `json:"how"` // whole, or a byte at a time
	Fault   string   `json:"fault,omitempty"`
}

// Run plays the suite.
func (c *conformCmd) Run(l *lab) error {
	cases, clauses, err := conformance.Load()
	if err != nil {
		return err
	}
	if c.Clauses {
		return c.list(l, cases, clauses)
	}
	name, value, ok := strings.Cut(c.Tenant, "=")
	if c.Front == "" || c.Server == "" || !ok || c.Within <= 0 {
		return badInput{fmt.Errorf("--front and --server name two addresses, --tenant is VARIABLE=NAME")}
	}
	ln, err := net.Listen("tcp", c.Server)
	if err != nil {
		return badInput{err}
	}
	defer ln.Close()
	s := conformance.New(
		conformance.Gateway{
			FrontendAddr:   c.Front,
			IdempotentPath: c.Safe,
			KeyedPath:      c.Keyed,
			KeyVariable:    c.KeyVar,
			Tenant:         [2]string{name, value},
			Timeout:        c.Within,
		},
		ln,
	)
	var all []result
	failed := 0
	for i := range cases {
		for _, bytewise := range []bool{false, true} {
			if l.ctx.Err() != nil {
				return l.ctx.Err()
			}
			r := result{
				Case:    cases[i].Name,
				Clauses: cases[i].Clauses,
				How:     map[bool]string{false: "whole", true: "a byte at a time"}[bytewise],
			}
			if err := s.Run(&cases[i], bytewise); err != nil {
				r.Fault = err.Error()
				failed++
			}
			all = append(all, r)
		}
	}
	if c.JSON {
		if err := l.json(all); err != nil {
			return err
		}
	} else {
		for _, r := range all {
			if r.Fault != "" {
				fmt.Fprintf(l.out, "%s, %s (%s): %s\n", r.Case, r.How, strings.Join(r.Clauses, ", "), r.Fault)
			}
		}
		fmt.Fprintf(l.out, "%d of %d plays of %d cases hold\n", len(all)-failed, len(all), len(cases))
	}
	if failed > 0 {
		return fmt.Errorf("%d plays do not hold", failed)
	}
	return nil
}

// list prints what is shown by what.
func (c *conformCmd) list(l *lab, cases []conformance.Case, clauses []conformance.Clause) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"clause", "source", "what it says", "cases"})
	for _, k := range clauses {
		var shown []string
		for _, one := range cases {
			for _, id := range one.Clauses {
				if id == k.ID {
					shown = append(shown, one.Name)
				}
			}
		}
		t.AppendRow(table.Row{k.ID, k.Source, k.Text, strings.Join(shown, "; ")})
	}
	if c.JSON {
		return l.json(clauses)
	}
	fmt.Fprintln(l.out, t.RenderMarkdown())
	return nil
}
