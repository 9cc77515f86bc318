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

// peersMemoryDivisor divides the memory limit to get the bound of the replicas' memory where the
// operator's file has none.
const peersMemoryDivisor = 4

// incarnationShift leaves the low bits of a node's incarnation free, which the node counts up
// itself.
const incarnationShift = 20

// startPeers joins the runners of the installation, if the operator's file has any.
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

// peersConfig is the configuration of this runner's node.
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

// closePeers closes the node and releases its folder.
func (p *Program) closePeers() {
	if p.peers == nil {
		return
	}
	if err := p.peers.Close(); err != nil {
		eventPeersCloseFailed.Log(err)
	}
}

// peersOf returns the other members of a file, and the names of all.
func peersOf(settings *config.Peers, self string) (others []link.Peer, names []string) {
	for _, member := range settings.Members {
		names = append(names, member.Name)
		if member.Name != self {
			others = append(others, link.Peer{Name: member.Name, Addr: member.Addr})
		}
	}
	return others, names
}

// applyPeers adopts the members of another file at a HUP. All other changes need a restart.
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

var errNoPeers error = noPeersKind.New("this runner has no peers: its operator's file has no section for them")

// answerPeers answers a command about peers: where a key is, or that a member leaves, stays or is
// replaced.
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
