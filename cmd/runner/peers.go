package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/usage/metering"
)

type peersCmd struct {
	Status  peersStatusCmd  `cmd:"" default:"withargs" help:"Tell how copies stand. This is what peers does without a command."`
	Key     peersKeyCmd     `cmd:"" help:"Tell where the copies of one key are."`
	Remove  peersRemoveCmd  `cmd:"" help:"Have a runner hold nothing any more, so that it can be stopped for good."`
	Stay    peersStayCmd    `cmd:"" help:"Have a runner stay that was to be removed."`
	Replace peersReplaceCmd `cmd:"" help:"Have a runner hold nothing any more, in whose place another one is there."`
}

type peersStatusCmd struct {
	asking
}

// errNotWhole is that of an installation that lacks copies.
var errNotWhole = errors.New("not all copies are made, or this runner takes no new keys")

// Run tells how the copies of what runners promise stand, as one of them knows it.
func (c *peersStatusCmd) Run(sh *shell) error {
	var s app.Status
	if err := c.ask(control.Request{Command: "status"}, &s); err != nil {
		return err
	}
	p := s.Peers
	switch {
	case p == nil:
		return errors.New("this runner has no peers: its operator's file has no section for them")
	case c.JSON:
		if err := printJSON(sh, p); err != nil {
			return err
		}
	default:
		fmt.Fprintf(
			sh.out,
			"%s: table %d, %d of %d slots have all copies\nin: %s\n",
			s.Name,
			p.Version,
			p.FullyReplicated,
			p.Slots,
			strings.Join(p.Members, " "),
		)
		if len(p.Lost) > 0 {
			fmt.Fprintf(sh.out, "lost: %s\n", strings.Join(p.Lost, " "))
		}
		for _, l := range p.Leaving {
			fmt.Fprintf(sh.out, "leaving: %s, which holds %d slots\n", l.Name, l.Slots)
		}
		if p.IsLeader {
			fmt.Fprintln(sh.out, "it leads the consensus group")
		}
		for _, d := range p.Leases {
			fmt.Fprintln(sh.out, dutyLine(&d))
		}
		if x := p.HealthChecks; x != nil {
			fmt.Fprintf(
				sh.out,
				"checks of servers: %d made here, %d spared by what another runner told\n",
				x.Performed,
				x.Skipped,
			)
		}
		if p.Unavailable != "" {
			fmt.Fprintf(sh.out, "no new keys are taken: %s\n", p.Unavailable)
		}
		if a := s.UsageReplication; a != nil {
			fmt.Fprint(sh.out, accountsLine(a))
		}
		fmt.Fprintf(sh.out, "%d keys held, %d messages sent, %d dropped\n", s.KeyCount, p.Messages, p.Dropped)
	}
	if p.Unavailable != "" || p.FullyReplicated < p.Slots || s.UsageReplication != nil && !s.UsageReplication.FullyReplicated() {
		return errNotWhole
	}
	return nil
}

// dutyLine tells who does what only one runner may do at a time.
func dutyLine(d *node.LeaseStatus) string {
	switch {
	case d.Holder == "":
		return fmt.Sprintf("duty %s: nobody holds it", d.Name)
	case d.HeldHere:
		return fmt.Sprintf(
			"duty %s: %s, this runner, token %d, %d ms left",
			d.Name,
			d.Holder,
			d.Token,
			d.RemainingMs,
		)
	}
	return fmt.Sprintf("duty %s: %s, token %d", d.Name, d.Holder, d.Token)
}

type peersKeyCmd struct {
	asking
	Key    string `arg:"" help:"The key, as the request has it."`
	Class  string `required:"" help:"Its class."`
	School string `help:"Its school; without it, of a request that names none."`
}

// Run tells where the copies of a key are.
func (c *peersKeyCmd) Run(sh *shell) error {
	var k node.KeyStatus
	if err := c.ask(
		control.Request{Command: "peers-key", Key: c.Key, Class: c.Class, Tenant: c.School},
		&k,
	); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(sh, k)
	}
	fmt.Fprintf(sh.out, "slot %d at epoch %d: %s\n", k.Slot, k.Epoch, strings.Join(k.Replicas, " "))
	if len(k.Joining) > 0 {
		fmt.Fprintf(sh.out, "being brought up: %s\n", strings.Join(k.Joining, " "))
	}
	if k.QuarantineMs > 0 {
		fmt.Fprintf(
			sh.out,
			"it began with nothing, and takes no new keys for %.1f s\n",
			float64(k.QuarantineMs)/1000,
		)
	}
	switch k.State {
	case "not held":
		fmt.Fprintln(sh.out, "this runner has no copy; ask one of those")
	case "unknown":
		fmt.Fprintln(sh.out, "this runner has a copy of the slot, and nothing of the key")
	default:
		fmt.Fprintf(
			sh.out,
			"%s by %s, %d bytes of result, %.1f s left of its window\n",
			k.State,
			k.Owner,
			k.ResultBytes,
			float64(k.RemainingMs)/1000,
		)
	}
	return nil
}

type peersRemoveCmd struct {
	asking
	Name string `arg:"" help:"The runner."`
}

// Run has a runner leave.
func (c *peersRemoveCmd) Run(*shell) error {
	return c.ask(control.Request{Command: "peers-leave", ID: c.Name}, nil)
}

// Help implements kong.HelpProvider.
func (peersRemoveCmd) Help() string {
	return `Its copies go to others by and by, none before another one is whole; "runner peers" tells how many slots it still holds. With none left, stop it and take
it out of all files. One that is lost already is forgotten.`
}

type peersStayCmd struct {
	asking
	Name string `arg:"" help:"The runner."`
}

// Run has a runner stay.
func (c *peersStayCmd) Run(*shell) error {
	return c.ask(control.Request{Command: "peers-stay", ID: c.Name}, nil)
}

type peersReplaceCmd struct {
	asking
	Old string `arg:"" help:"The runner that is to go."`
	New string `arg:"" help:"The one in its place, which is in."`
}

// Run has a runner leave in favour of another one.
func (c *peersReplaceCmd) Run(*shell) error {
	return c.ask(control.Request{Command: "peers-replace", ID: c.Old, Successor: c.New}, nil)
}

// accountsLine tells who knows the account of usage, and what is known of others'.
func accountsLine(a *metering.ReplicationStatus) string {
	var heirs []string
	for _, name := range slices.Sorted(maps.Keys(a.Replicas)) {
		if n := a.Replicas[name]; n > 0 {
			name = fmt.Sprintf("%s (%d behind)", name, n)
		}
		heirs = append(heirs, name)
	}
	line := "its account of usage is known to nobody else"
	if len(heirs) > 0 {
		line = "its account of usage is known to " + strings.Join(heirs, ", ")
	}
	return fmt.Sprintf(
		"%s; it knows those of %d others, is about to end %d of them, and has %d statements to pass on\n",
		line,
		a.RemoteAccounts,
		a.ExpiringAccounts,
		a.UndeliveredStatements,
	)
}

// Help implements kong.HelpProvider.
func (peersStatusCmd) Help() string {
	return `The exit status is 0 if all copies are made and new keys are taken, as far as the runner that is asked knows.

Examples:
  runner peers --operator deploy/operator.yaml
  until runner peers --socket /run/ryepaddle/control.sock; do sleep 1; done`
}
