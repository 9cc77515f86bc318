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
	Status  peersStatusCmd  `cmd:"" default:"withargs" help:"${peers_status}"`
	Key     peersKeyCmd     `cmd:"" help:"${peers_key}"`
	Remove  peersRemoveCmd  `cmd:"" help:"${peers_remove}"`
	Stay    peersStayCmd    `cmd:"" help:"${peers_stay}"`
	Replace peersReplaceCmd `cmd:"" help:"${peers_replace}"`
}

var (
	errNoPeers    = errors.New("this runner has no peers: its operator's file has no peers section")
	errIncomplete = errors.New("some slots or usage ledgers lack replicas, or this runner accepts no new keys")
)

type peersStatusCmd struct{ controlFlags }

// Run prints how keys and usage ledgers are replicated, as far as the queried runner knows. It
// returns an error unless they are fully replicated and new keys are accepted.
func (c *peersStatusCmd) Run(s *streams) error {
	var status app.Status
	if err := c.ask(control.Request{Command: app.CommandStatus}, &status); err != nil {
		return err
	}
	if status.Peers == nil {
		return errNoPeers
	}
	if c.JSON {
		if err := printJSON(s, status.Peers); err != nil {
			return err
		}
	} else {
		printPeers(s, &status)
	}
	if !isFullyReplicated(&status) {
		return errIncomplete
	}
	return nil
}

// isFullyReplicated reports whether keys and usage ledgers have all their replicas and new keys are
// accepted.
func isFullyReplicated(status *app.Status) bool {
	peers := status.Peers
	if peers.Unavailable != "" || peers.FullyReplicated < peers.Slots {
		return false
	}
	usage := status.UsageReplication
	return usage == nil || usage.FullyReplicated()
}

// printPeers prints the state of the peers as text.
func printPeers(s *streams, status *app.Status) {
	peers := status.Peers
	fmt.Fprintf(s.out, "%s: table %d, %d of %d slots have all copies\n",
		status.Name, peers.Version, peers.FullyReplicated, peers.Slots)
	printMembers(s, peers)
	for _, lease := range peers.Leases {
		fmt.Fprintln(s.out, describeLease(&lease))
	}
	if checks := peers.HealthChecks; checks != nil {
		fmt.Fprintf(s.out, "checks of servers: %d made here, %d spared by what another runner told\n",
			checks.Performed, checks.Skipped)
	}
	printProblem(s, "no new keys are taken", peers.Unavailable)
	if status.UsageReplication != nil {
		fmt.Fprint(s.out, describeReplication(status.UsageReplication))
	}
	fmt.Fprintf(s.out, "%d keys held, %d messages sent, %d dropped\n",
		status.KeyCount, peers.Messages, peers.Dropped)
}

func printMembers(s *streams, peers *node.Status) {
	fmt.Fprintf(s.out, "in: %s\n", strings.Join(peers.Members, " "))
	if len(peers.Lost) > 0 {
		fmt.Fprintf(s.out, "lost: %s\n", strings.Join(peers.Lost, " "))
	}
	for _, member := range peers.Leaving {
		fmt.Fprintf(s.out, "leaving: %s, which holds %d slots\n", member.Name, member.Slots)
	}
	if peers.IsLeader {
		fmt.Fprintln(s.out, "it leads the consensus group")
	}
}

// describeLease describes who holds a lease.
func describeLease(lease *node.LeaseStatus) string {
	switch {
	case lease.Holder == "":
		return fmt.Sprintf("duty %s: nobody holds it", lease.Name)
	case lease.HeldHere:
		return fmt.Sprintf("duty %s: %s, this runner, token %d, %d ms left",
			lease.Name, lease.Holder, lease.Token, lease.RemainingMs)
	}
	return fmt.Sprintf("duty %s: %s, token %d", lease.Name, lease.Holder, lease.Token)
}

// describeReplication describes which runners hold replicas of this runner's usage ledger, and how
// many ledgers this runner holds replicas of.
func describeReplication(status *metering.ReplicationStatus) string {
	var replicas []string
	for _, name := range slices.Sorted(maps.Keys(status.Replicas)) {
		if lag := status.Replicas[name]; lag > 0 {
			name = fmt.Sprintf("%s (%d behind)", name, lag)
		}
		replicas = append(replicas, name)
	}
	holders := "no other runner"
	if len(replicas) > 0 {
		holders = strings.Join(replicas, ", ")
	}
	return fmt.Sprintf(
		"its usage ledger is replicated on %s; it holds replicas of %d other ledgers, will end %d of them, and has "+
			"%d statements to pass on\n",
		holders,
		status.RemoteAccounts,
		status.ExpiringAccounts,
		status.UndeliveredStatements,
	)
}

type peersKeyCmd struct {
	controlFlags
	Key    string `arg:"" help:"The idempotency key, as in the request."`
	Class  string `required:"" help:"The class of the request."`
	School string `help:"The school (tenant) of the request; leave it out if the request names none."`
}

// Run prints where the replicas of a key are.
func (c *peersKeyCmd) Run(s *streams) error {
	request := control.Request{Command: app.CommandPeersKey, Key: c.Key, Class: c.Class, Tenant: c.School}
	var key node.KeyStatus
	if err := c.ask(request, &key); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, key)
	}
	printKey(s, &key)
	return nil
}

// printKey prints the state of a key as text.
func printKey(s *streams, key *node.KeyStatus) {
	fmt.Fprintf(s.out, "slot %d at epoch %d: %s\n", key.Slot, key.Epoch, strings.Join(key.Replicas, " "))
	if len(key.Joining) > 0 {
		fmt.Fprintf(s.out, "being brought up: %s\n", strings.Join(key.Joining, " "))
	}
	if key.QuarantineMs > 0 {
		fmt.Fprintf(s.out, "the slot started without records, and accepts no new keys for %.1f s\n",
			secondsOfMs(key.QuarantineMs))
	}
	switch key.State {
	case node.KeyNotHeld:
		fmt.Fprintln(s.out, "this runner has no replica of the slot; ask one of the runners above")
	case node.KeyUnknown:
		fmt.Fprintln(s.out, "this runner has a replica of the slot, and no record of the key")
	default:
		fmt.Fprintf(s.out, "%s by %s, %d bytes of result, %.1f s left of its window\n",
			key.State, key.Owner, key.ResultBytes, secondsOfMs(key.RemainingMs))
	}
}

type peersRemoveCmd struct {
	controlFlags
	Name string `arg:"" help:"The runner to remove."`
}

// Run starts moving the slots of a member to other members, so that it can be stopped.
func (c *peersRemoveCmd) Run(*streams) error {
	return c.ask(control.Request{Command: app.CommandPeersLeave, ID: c.Name}, nil)
}

type peersStayCmd struct {
	controlFlags
	Name string `arg:"" help:"The runner whose removal to cancel."`
}

// Run cancels the removal of a member.
func (c *peersStayCmd) Run(*streams) error {
	return c.ask(control.Request{Command: app.CommandPeersStay, ID: c.Name}, nil)
}

type peersReplaceCmd struct {
	controlFlags
	Old string `arg:"" help:"The runner to replace."`
	New string `arg:"" help:"The runner that replaces it, which must be a member already."`
}

// Run starts moving the slots of a member away, after a check that its replacement is a member.
func (c *peersReplaceCmd) Run(*streams) error {
	return c.ask(control.Request{Command: app.CommandPeersReplace, ID: c.Old, Successor: c.New}, nil)
}
