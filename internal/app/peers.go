package app

import (
	"cmp"
	"time"

	"ryepaddle/internal/balancer/endpointhealth"
	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/upstream"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/usage/metering"
	"ryepaddle/internal/wallclock"
)

// startPeers takes part among the runners of the installation, if the operator's file has any.
func (r *Program) startPeers(life uint64) error {
	if r.op == nil || !r.op.Peers.Enabled() {
		return nil
	}
	s := &r.op.Peers
	cfg := node.Config{
		Links: link.Config{
			Installation:  s.Installation,
			Name:          r.cfg.Name,
			Listen:        config.MustParseAddr(s.Listen),
			FullMeshLimit: int(s.MeshSize),
		},
		Slots:              int(s.Slots),
		Backups:            int(s.Replicas),
		ReplicationTimeout: time.Duration(s.TimeoutMs) * time.Millisecond,
		CatchUpRate:        s.RepairKBPerSecond << 10,
		Dir:                s.Dir,
		MaxBytes:           int(cmp.Or(s.MemoryMB, int64(r.cfg.MemoryMB)/4)) << 20,
		Process:            uint32(life),
		Incarnation:        life<<20 | 1,
	}
	cfg.LeaseRules, cfg.CheckedZones = s.LeaseRules()
	for _, c := range r.cfg.Settings.Classes {
		cfg.KeyWindow = max(cfg.KeyWindow, c.IdempotencyWindow)
	}
	for _, m := range s.Members {
		if m.Voter {
			cfg.Voters = append(cfg.Voters, m.Name)
		}
		if m.Name == r.cfg.Name {
			cfg.Zone = m.Zone
		}
	}
	cfg.Links.Peers, cfg.KnownMembers = members(s, r.cfg.Name)
	if r.meter != nil {
		cfg.UsageReplicas = account{r, map[usedKey]bool{}}
		r.promised = cfg.UsageReplicas.(account).open
	}
	var err error
	if r.peers, err = node.Start(r.loop, cfg); err != nil || r.meter == nil {
		return err
	}
	send := func(out []usagereplica.Message) { r.loop.Deliver(func() { r.peers.SendUsage(out) }) }
	return r.meter.StartReplication(
		metering.ReplicationConfig{Process: cfg.Process, Send: send, RunOnLoop: r.loop.Deliver},
	)
}

// endPeers gives the peers' folder back.
func (r *Program) endPeers() {
	if r.peers != nil {
		if err := r.peers.Close(); err != nil {
			evPeersEnd.Log(err)
		}
	}
}

// members are the others of a file, and the names of all.
func members(s *config.Peers, self string) (others []link.Peer, known []string) {
	for _, m := range s.Members {
		if known = append(known, m.Name); m.Name != self {
			others = append(others, link.Peer{Name: m.Name, Addr: m.Addr})
		}
	}
	return others, known
}

// takePeers takes another file at a HUP: members come and go, all else holds from the next start
// on.
func (r *Program) takePeers(s *config.Peers) {
	if r.peers == nil || !s.Enabled() {
		if r.peers != nil || s.Enabled() {
			evLater.Log("peers")
		}
		return
	}
	if !s.EqualExceptMembers(&r.op.Peers) {
		evLater.Log("peers")
	}
	r.peers.SetMembers(members(s, r.cfg.Name))
	r.peers.SetLeaseRules(s.LeaseRules())
}

// checks is what decides who asks servers for their health, where one runner does so for all.
type checks struct{ r *Program }

// ShouldCheck implements upstream.HealthCheckCoordinator.
func (c checks) ShouldCheck(
	group string,
	m *endpointhealth.Endpoint,
	interval time.Duration,
) (upstream.CheckLease, bool) {
	d := c.r.peers.Leases()
	check, lease, token := d.HealthChecks.ShouldCheck(
		group,
		m.Name,
		m.Zone,
		interval,
		c.r.loop.Now(),
		m.State == endpointhealth.InService || m.State == endpointhealth.WarmingUp,
		d.Holds,
	)
	return upstream.CheckLease{Name: lease, Token: token}, check
}

// CheckDone implements upstream.HealthCheckCoordinator.
func (c checks) CheckDone(
	group string,
	m *endpointhealth.Endpoint,
	lease upstream.CheckLease,
	passed bool,
) {
	c.r.peers.Leases().HealthChecks.RecordResult(
		lease.Name,
		lease.Token,
		group,
		m.Name,
		passed,
		c.r.loop.Now(),
	)
}

// errNoPeers is that of a runner without peers.
var errNoPeers error = noPeers.New("this runner has no peers: its operator's file has no section for them")

// peersAsked answers a question about peers, or has members leave or stay.
func (r *Program) peersAsked(q control.Request) (any, error) {
	if r.peers == nil {
		return nil, errNoPeers
	}
	switch q.Command {
	case "peers-key":
		return r.peers.KeyStatus(store.KeyName{Class: q.Class, Tenant: q.Tenant, Key: q.Key}), nil
	case "peers-leave":
		return struct{}{}, r.peers.SetLeaving(q.ID, true)
	case "peers-stay":
		return struct{}{}, r.peers.SetLeaving(q.ID, false)
	}
	return struct{}{}, r.peers.Replace(q.ID, q.Successor)
}

// usedKey is a key whose run has ended and whose use is counted, while its answer waits.
type usedKey struct{ class, school, key string }

// account has uses of hand-ins known to others before they are answered.
type account struct {
	r    *Program
	open map[usedKey]bool
}

// Receive implements node.UsageReplicas.
func (a account) Receive(m *usagereplica.Message) { a.r.meter.Receive(m) }

// SetTable implements node.UsageReplicas.
func (a account) SetTable(t *placement.Table, life uint64) { a.r.meter.SetTable(t, life) }

// Replicate implements node.UsageReplicas.
func (a account) Replicate(k lifecycle.KeyRecord, done func(error)) {
	class, ok := a.r.core.Class(k.Class)
	if !ok {
		done(nil)
		return
	}
	u := ledger.Record{
		AnsweredAt: a.r.loop.Unix(),
		School:     cmp.Or(k.Tenant, NoSchool),
		Class:      k.Class,
		Outcome:    ledger.OutcomeServed,
		Work:       wallclock.MicrosOf(k.ServerTime),
	}
	a.r.key(&u, class, k.Key)
	a.open[usedKey{u.Class, u.School, k.Key}] = true
	a.r.meter.RecordReplicated(u, done)
}

// restore takes the keys of earlier lives. Of a run that had begun peers know how it stands, as far
// as anybody does.
func (r *Program) restore(keys []lifecycle.KeyRecord) (strange int) {
	if r.peers == nil {
		return r.core.Restore(keys)
	}
	ended := keys[:0]
	for _, k := range keys {
		if k.Ended {
			ended = append(ended, k)
		}
	}
	return r.core.Restore(ended)
}
