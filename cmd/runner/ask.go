package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
)

type statusCmd struct {
	asking
	Every time.Duration `help:"Ask again and again, after so long each time, until it is interrupted."`
}

// Run tells how a program stands.
func (c *statusCmd) Run(sh *shell) error {
	for {
		var s app.Status
		if err := c.ask(control.Request{Command: "status"}, &s); err != nil {
			return err
		}
		if c.Every > 0 {
			fmt.Fprint(sh.out, "\x1b[H\x1b[2J")
		}
		if err := c.show(sh, &s); err != nil || c.Every <= 0 {
			return err
		}
		time.Sleep(c.Every)
	}
}

// Help implements kong.HelpProvider.
func (statusCmd) Help() string {
	return `Examples:
  runner status --operator deploy/operator.yaml
  runner status --every 2s --socket /run/ryepaddle/control.sock
  runner status --json --socket /run/ryepaddle/control.sock | jq '.servers[] | select(.state != "in service")'`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string {
	return `Of each request it is told when it came, what became of it, and why: the cause with what was compared, and each try with its server
and outcome (docs/explain.md lists the causes). Times are of the program's machine.

Examples:
  runner explain 00000000deadbeef --operator deploy/operator.yaml
  runner explain --class hand-in --not-served --from 2026-12-01T21:39:00Z --operator deploy/operator.yaml
  runner explain --cause "no server took it" --most 100 --json --socket /run/ryepaddle/control.sock`
}

func (c *statusCmd) show(sh *shell, s *app.Status) error {
	if c.JSON {
		return printJSON(sh, s)
	}
	state := "in service"
	if s.Draining {
		state = "draining"
	}
	fmt.Fprintf(
		sh.out,
		"%s, %s: %d open, %d connections\nsince the start: %+v\n",
		s.Name,
		state,
		s.Open,
		s.Connections,
		s.Stats,
	)
	for what, why := range map[string]string{
		"the inventory's files are not taken": s.InventoryRejected,
		"no new keys are taken":               s.KeysRejected,
	} {
		if why != "" {
			fmt.Fprintf(sh.out, "%s: %s\n", what, why)
		}
	}
	for _, g := range s.Groups {
		fmt.Fprintln(sh.out, g)
	}
	for _, p := range s.Pools {
		fmt.Fprintf(
			sh.out,
			"%s, pool %s: %d run, %d wait; floor %d, ceiling %d, of %d slots\n",
			p.Group,
			p.Name,
			p.Running,
			p.Waiting,
			p.Floor,
			p.Ceiling,
			p.Limit,
		)
	}
	if len(s.Servers) > 0 {
		t := table.NewWriter()
		t.SetStyle(table.StyleLight)
		t.AppendHeader(
			table.Row{
				"group",
				"server",
				"hall",
				"state",
				"for",
				"why",
				"part",
				"open",
				"limit",
				"ms",
				"requests",
				"failed",
			},
		)
		for _, r := range s.Servers {
			t.AppendRow(
				table.Row{
					r.Group,
					r.Name,
					r.Zone,
					r.State,
					time.Duration(r.StateSeconds) * time.Second,
					r.Cause,
					fmt.Sprintf("%.2f", r.TrafficShare),
					r.ActiveRequests,
					r.Limit,
					fmt.Sprintf("%.1f", r.LatencyMs),
					r.Requests,
					r.Failures,
				},
			)
		}
		fmt.Fprintln(sh.out, t.Render())
	}
	for _, r := range s.Retained {
		fmt.Fprintf(sh.out, "%s, %s: %d, of which %d can be explained\n", r.Class, r.Status, r.Total, r.Retained)
	}
	return nil
}

type explainCmd struct {
	ID string `arg:"" optional:"" help:"The id of a request; those that repeat it are told as well."`
	asking
	Key       string    `help:"Its dedupe key."`
	Class     string    `help:"Of this class."`
	End       string    `help:"That ended so: served, refused, failed, late, misused, foreign or ran."`
	Cause     string    `help:"For this cause, as it is told."`
	NotServed bool      `help:"That were not served."`
	From      time.Time `format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"Answered from then on, such as 2026-12-01T21:40:00Z."`
	To        time.Time `format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"Answered up to then."`
	Most      int       `default:"20" help:"The newest so many."`
}

// Run tells what became of requests.
func (c *explainCmd) Run(sh *shell) error {
	q := control.Request{
		Command:   "explain",
		ID:        c.ID,
		Key:       c.Key,
		Class:     c.Class,
		Kind:      c.End,
		Cause:     c.Cause,
		NotServed: c.NotServed,
		Limit:     c.Most,
	}
	if !c.From.IsZero() {
		q.FromMs = c.From.UnixMilli()
	}
	if !c.To.IsZero() {
		q.ToMs = c.To.UnixMilli()
	}
	var e app.ExplainAnswer
	if err := c.ask(q, &e); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(sh, e)
	}
	for _, x := range e.Entries {
		fmt.Fprintln(sh.out, inWords(&x))
	}
	_, err := fmt.Fprintf(sh.out, "%d requests\n", len(e.Entries))
	return err
}

// inWords is a request in a few lines.
func inWords(x *app.ExplainedRequest) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s of %s, caller %d, came %s: %s after %.1f ms", x.ID, x.Class, x.Tenant, x.Caller,
		time.UnixMilli(x.ArrivedMs).Format("15:04:05.000"), x.Status, x.TookMs)
	if x.Cause != "" {
		fmt.Fprintf(&b, ", since: %s", x.Cause)
		if x.Value != 0 || x.Limit != 0 {
			fmt.Fprintf(&b, " (%.3g, and the limit was %.3g)", x.Value, x.Limit)
		}
	}
	if x.RetryAfterMs > 0 {
		fmt.Fprintf(&b, "; told to come back after %d ms", x.RetryAfterMs)
	}
	if x.Key != "" {
		fmt.Fprintf(&b, "\n  key %s", x.Key)
		if x.OriginalID != "" {
			fmt.Fprintf(&b, ", a repeat of %s", x.OriginalID)
		}
	}
	if len(x.Attempts) > 0 {
		fmt.Fprintf(&b, "\n  began after %.1f ms", x.WaitedMs)
	}
	for _, t := range x.Attempts {
		server := t.Server
		if server == "" {
			server = "the engine"
		}
		fmt.Fprintf(&b, "; on %s: %s after %.1f ms", server, t.Outcome, t.Ms)
	}
	if x.KeyStoredOn != "" {
		fmt.Fprintf(
			&b,
			"; waited for %s %.1f ms",
			map[string]string{"copies": "copies", "disk": "the disk"}[x.KeyStoredOn],
			x.KeyWaitMs,
		)
	}
	if x.MoreAttempts > 0 {
		fmt.Fprintf(&b, "; and %d tries more", x.MoreAttempts)
	}
	if x.Represents > 1 {
		fmt.Fprintf(&b, "\n  one of %d like it", x.Represents)
	}
	return b.String()
}
