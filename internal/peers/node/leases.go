package node

import (
	"cmp"
	"log/slog"
	"slices"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	eventLeaseAcquired  = logging.Define("peers.duty_began", slog.LevelInfo, "duty", "token")
	eventLeaseLost      = logging.Define("peers.duty_ended", slog.LevelInfo, "duty", "token")
	eventLeaseSuspended = logging.Define("peers.duty_paused", slog.LevelWarn, "duty", "token")
	eventReportFenced   = logging.Define("peers.duty_fenced", slog.LevelWarn, "duty", "from", "error")
)

// BootTime is the clock that duties go by, in microseconds: it counts the time for which the machine
// was suspended, too.
func BootTime() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // no duty is held by it
	}
	return t.Nano() / 1000
}

// Leases is what this runner does of that which only one may do at a time. Its methods are called
// on the loop, but for Book's.
type Leases struct {
	node         *Node
	holder       *lease.Holder
	Snapshot     lease.Snapshot
	HealthChecks *lease.HealthChecks
	heldTokens   map[string]uint64 // tokens, of those that are held
	paused       map[string]bool
	releasing    bool // this runner is about to go
}

// reportTicks is how many ticks are between two tales.
const reportTicks = 10

func (p *Node) startLeases() {
	d := &Leases{
		node:         p,
		holder:       lease.NewHolder(p.cfg.Links.Name, p.cfg.Incarnation),
		HealthChecks: lease.NewHealthChecks(p.cfg.CheckedZones),
		heldTokens:   map[string]uint64{},
		paused:       map[string]bool{},
	}
	p.leases = d
	p.consensus.OnLeaderConfirmed(d.holder.ConfirmLeader)
}

// Leases are those of this runner.
func (p *Node) Leases() *Leases { return p.leases }

// Slots tells whether this runner may do something now, and under which token.
func (d *Leases) Holds(name string) (token uint64, ok bool) {
	return d.Snapshot.Holds(name, BootTime())
}

// update sees what is held, says when that changes, and gives back what this runner is not to do any
// more.
func (d *Leases) update() {
	now := BootTime()
	held := d.holder.HeldLeases(now)
	for _, g := range held {
		if d.heldTokens[g.Lease] != g.Token {
			d.heldTokens[g.Lease] = g.Token
			eventLeaseAcquired.Log(g.Lease, g.Token)
		}
		d.paused[g.Lease] = false
	}
	t := d.node.consensus.Table()
	for name, token := range d.heldTokens {
		if slices.ContainsFunc(held, func(g lease.Grant) bool { return g.Lease == name }) {
			continue
		}
		// its lease is over, or it gives it back
		if x := t.Lease(name); x != nil && x.Token == token && x.Holder == d.node.cfg.Links.Name {
			if !d.paused[name] {
				d.paused[name] = true
				eventLeaseSuspended.Log(name, token)
			}
			continue
		}
		delete(d.heldTokens, name)
		delete(d.paused, name)
		eventLeaseLost.Log(name, token)
	}
	me := t.Member(d.node.cfg.Links.Name)
	for _, g := range held {
		if d.releasing || me != nil && me.Leaving ||
			!slices.Contains(d.node.cfg.LeaseRules.NamesFor(d.node.cfg.Links.Name), g.Lease) {
			d.holder.Release(g.Lease, g.Handover, nil)
		}
	}
	d.Snapshot.Set(d.holder.HeldLeases(now))
}

// ReleaseAll gives back all that is held, as this runner is about to go.
func (d *Leases) ReleaseAll() {
	d.releasing = true
	d.node.consensus.StopTakingLeases()
	d.node.loop.Post(d.node.flush)
}

// sendHealthReports tells the others what was seen for them.
func (d *Leases) sendHealthReports() {
	for _, tale := range d.HealthChecks.TakeReports(d.node.cfg.Links.Name, d.node.loop.Now().Microseconds(), d.Holds) {
		for _, m := range d.node.consensus.Table().Members {
			if m.Incarnation != 0 && m.Name != tale.From {
				t := tale
				t.To = m.Name
				d.node.transport.Send(m.Name, &link.Frame{Health: &t})
			}
		}
	}
}

func (d *Leases) receiveHealthReport(t *lease.HealthReport) {
	if err := d.HealthChecks.Receive(t, d.node.loop.Now().Microseconds()); err != nil {
		eventReportFenced.Log(t.Lease, t.From, err)
	}
}

// SetLeaseRules takes the rules of another file.
func (p *Node) SetLeaseRules(r lease.Rules, halls []string) {
	p.cfg.LeaseRules = r
	p.consensus.SetLeaseRules(r)
	p.leases.HealthChecks.SetZones(halls)
}

// LeaseStatus is how a duty stands, as this runner knows it.
type LeaseStatus struct {
	Name          string `json:"name"`
	Holder        string `json:"holder,omitempty"`
	Token         uint64 `json:"token,omitempty"`
	HeldHere      bool   `json:"here,omitempty"`        // this runner may do it now
	RemainingMs   int64  `json:"left_ms,omitempty"`     // of its lease, if it is here
	Expirations   int    `json:"lapses,omitempty"`      // runners that lost it without giving it back
	HandoverBytes int    `json:"check_bytes,omitempty"` // left for the next holder
}

// status are how all duties of the file and of the table stand.
func (d *Leases) status() (rows []LeaseStatus) {
	now, t := BootTime(), d.node.consensus.Table()
	page := d.Snapshot.Grants()
	for _, r := range d.node.cfg.LeaseRules.Rules {
		if t.Lease(r.Name) == nil {
			rows = append(rows, LeaseStatus{Name: r.Name})
		}
	}
	for i := range t.Leases {
		x := &t.Leases[i]
		row := LeaseStatus{
			Name:          x.Name,
			Holder:        x.Holder,
			Token:         x.Token,
			Expirations:   len(x.Expirations),
			HandoverBytes: len(x.Handover),
		}
		if j := slices.IndexFunc(page, func(g lease.Grant) bool { return g.Lease == x.Name && now < g.ExpiresAt }); j >= 0 {
			row.HeldHere, row.RemainingMs = true, (page[j].ExpiresAt-now)/1000
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b LeaseStatus) int { return cmp.Compare(a.Name, b.Name) })
	return rows
}
