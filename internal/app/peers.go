package app

import (
	"cmp"
	"time"

	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/metering"
)

// peersMemoryDivisor divides the platform's memory limit to get the default limit of the replicas'
// memory.
const peersMemoryDivisor = 4

// incarnationShift leaves the low bits of a node's incarnation free for the node, which increments
// them.
const incarnationShift = 20

// startPeers joins the other runners of the installation, if the operator's file has peers.
func (p *Program) startPeers(incarnation uint64) error {
	if p.operator == nil || !p.operator.Peers.Enabled() {
		return nil
	}
	nodeConfig := p.peersConfig(incarnation)
	if p.usage.meter != nil {
		p.usage.counted = map[usedKey]bool{}
		nodeConfig.UsageReplicas = usageReplicas{p}
	}
	var err error
	p.peers, err = node.Start(p.loop, nodeConfig)
	if err != nil || p.usage.meter == nil {
		return err
	}
	return p.usage.meter.StartReplication(metering.ReplicationConfig{
		Process:   nodeConfig.Process,
		Send:      func(out []usagereplica.Message) { p.loop.Deliver(func() { p.peers.SendUsage(out) }) },
		RunOnLoop: p.loop.Deliver,
	})
}

// peersConfig returns the configuration of this runner's node.
func (p *Program) peersConfig(incarnation uint64) node.Config {
	settings := &p.operator.Peers
	memoryMB := cmp.Or(settings.MemoryMB, int64(p.config.MemoryMB)/peersMemoryDivisor)
	c := node.Config{
		Links: link.Config{
			Installation:  settings.Installation,
			Name:          p.config.Name,
			Listen:        config.MustParseAddr(settings.Listen),
			FullMeshLimit: int(settings.MeshSize),
		},
		Slots:              int(settings.Slots),
		Backups:            int(settings.Replicas),
		ReplicationTimeout: time.Duration(settings.TimeoutMs) * time.Millisecond,
		CatchUpRate:        settings.RepairKBPerSecond << 10,
		KeyWindow:          p.longestWindow(),
		Dir:                settings.Dir,
		MaxBytes:           int(memoryMB) << 20,
		Process:            uint32(incarnation),
		Incarnation:        incarnation<<incarnationShift | 1,
	}
	c.LeaseRules, c.CheckedZones = settings.LeaseRules()
	for _, member := range settings.Members {
		if member.Voter {
			c.Voters = append(c.Voters, member.Name)
		}
		if member.Name == p.config.Name {
			c.Zone = member.Zone
		}
	}
	c.Links.Peers, c.KnownMembers = peersOf(settings, p.config.Name)
	return c
}

// closePeers closes the node, which releases its folder.
func (p *Program) closePeers() {
	if p.peers == nil {
		return
	}
	if err := p.peers.Close(); err != nil {
		eventPeersCloseFailed.Log(err)
	}
}

// peersOf returns the members of an operator's file except self, and the names of all members.
func peersOf(settings *config.Peers, self string) (others []link.Peer, names []string) {
	for _, member := range settings.Members {
		names = append(names, member.Name)
		if member.Name != self {
			others = append(others, link.Peer{Name: member.Name, Addr: member.Addr})
		}
	}
	return others, names
}

// applyPeers applies the members and lease rules of a new operator's file. All other changes need a
// restart.
func (p *Program) applyPeers(settings *config.Peers) {
	running := p.peers != nil
	if running != settings.Enabled() {
		eventRestartNeeded.Log("peers")
		return
	}
	if !running {
		return
	}
	if !settings.EqualExceptMembers(&p.operator.Peers) {
		eventRestartNeeded.Log("peers")
	}
	p.peers.SetMembers(peersOf(settings, p.config.Name))
	p.peers.SetLeaseRules(settings.LeaseRules())
}

var errNoPeers error = noPeersKind.New("this runner has no peers: its operator's file has no peers section")

// answerPeers carries out a command about peers: it returns where the replicas of a key are, or makes a
// member leave, stay or be replaced.
func (p *Program) answerPeers(request control.Request) (any, error) {
	if p.peers == nil {
		return nil, errNoPeers
	}
	switch request.Command {
	case CommandPeersKey:
		return p.peers.KeyStatus(
			store.KeyName{Class: request.Class, Tenant: request.Tenant, Key: request.Key},
		), nil
	case CommandPeersLeave:
		return struct{}{}, p.peers.SetLeaving(request.ID, true)
	case CommandPeersStay:
		return struct{}{}, p.peers.SetLeaving(request.ID, false)
	}
	return struct{}{}, p.peers.Replace(request.ID, request.Successor)
}
