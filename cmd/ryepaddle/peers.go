package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalesail/internal/app"
	"shalesail/internal/control"
	"shalesail/internal/metering"
)

type peersCmd struct {
	asking
}

// errNotWhole is that of an installation that lacks copies.
var errNotWhole = errors.New("not all copies are made, or this runner takes no new keys")

// Run tells how the copies of what runners promise stand, as one of them knows it.
func (c *peersCmd) Run(sh *shell) error {
	var s app.Status
	if err := c.ask(control.Request{Ask: "status"}, &s); err != nil {
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
		fmt.Fprintf(sh.out, "%s: table %d, %d of %d slots have all copies\nin: %s\n", s.Name, p.Version, p.Whole, p.Slots, strings.Join(p.Members, " "))
		if len(p.Lost) > 0 {
			fmt.Fprintf(sh.out, "lost: %s\n", strings.Join(p.Lost, " "))
		}
		if p.Leads {
			fmt.Fprintln(sh.out, "it leads the council")
		}
		if p.Closed != "" {
			fmt.Fprintf(sh.out, "no new keys are taken: %s\n", p.Closed)
		}
		if a := s.Accounts; a != nil {
			fmt.Fprint(sh.out, accountsLine(a))
		}
		fmt.Fprintf(sh.out, "%d keys held, %d messages sent, %d dropped\n", s.KeysHeld, p.Messages, p.Dropped)
	}
	if p.Closed != "" || p.Whole < p.Slots || s.Accounts != nil && !s.Accounts.Whole() {
		return errNotWhole
	}
	return nil
}

// accountsLine tells who knows the account of usage, and what is known of others'.
func accountsLine(a *metering.Copies) string {
	var heirs []string
	for _, name := range slices.Sorted(maps.Keys(a.Heirs)) {
		if n := a.Heirs[name]; n > 0 {
			name = fmt.Sprintf("%s (%d behind)", name, n)
		}
		heirs = append(heirs, name)
	}
	line := "its account of usage is known to nobody else"
	if len(heirs) > 0 {
		line = "its account of usage is known to " + strings.Join(heirs, ", ")
	}
	return fmt.Sprintf("%s; it knows those of %d others, is about to end %d of them, and has %d statements to pass on\n", line, a.Known, a.Ending, a.Short)
}

// Help implements kong.HelpProvider.
func (peersCmd) Help() string {
	return `The exit status is 0 if all copies are made and new keys are taken, as far as the runner that is asked knows.

Examples:
  ryepaddle peers --operator deploy/operator.yaml
  until ryepaddle peers --socket /run/ryepaddle/control.sock; do sleep 1; done`
}
