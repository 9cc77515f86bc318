package node

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/telemetry/logging"
)

var (
	eventLeaseAcquired  = logging.Define("peers.lease_acquired", slog.LevelInfo, "duty", "token")
	eventLeaseLost      = logging.Define("peers.lease_lost", slog.LevelInfo, "duty", "token")
	eventLeaseSuspended = logging.Define("peers.lease_suspended", slog.LevelWarn, "duty", "token")
	eventReportFenced   = logging.Define("peers.report_fenced", slog.LevelWarn, "duty", "from", "error")
)

// reportTicks is the number of ticks between two health reports to other runners.
const reportTicks = 10

// BootTime returns the time since the machine booted, including the time for which it was suspended,
// in whole microseconds. It is the clock of leases. If the clock cannot be read, BootTime returns 0,
// with which the runner requests no leases.
func BootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano()).Truncate(time.Microsecond)
}

// Leases manages the leases of this runner and the health checks that depend on them. All methods
// except Holds must be called on the loop.
type Leases struct {
	node         *Node
	holder       *lease.Holder
	snapshot     lease.Snapshot
	HealthChecks *lease.HealthChecks
	heldTokens   map[string]uint64 // the tokens of leases logged as acquired and not yet as lost, by lease
	suspended    map[string]bool   // the leases in heldTokens that this runner may not rely on at present
	releasing    bool              // this runner is about to stop
}

func (n *Node) startLeases() {
	n.leases = &Leases{
		node:         n,
		holder:       lease.NewHolder(n.cfg.Links.Name, n.cfg.Incarnation),
		HealthChecks: lease.NewHealthChecks(n.cfg.CheckedZones),
		heldTokens:   map[string]uint64{},
		suspended:    map[string]bool{},
	}
	n.consensus.OnLeaderConfirmed(n.leases.holder.ConfirmLeader)
}

// Leases returns the leases of this runner.
func (n *Node) Leases() *Leases { return n.leases }

// Holds reports whether this runner may rely on a lease now, and the lease's fencing token. It may be
// called by any goroutine.
func (l *Leases) Holds(name string) (token uint64, ok bool) {
	return l.snapshot.Holds(name, BootTime())
}

// update publishes the leases that are held now, logs changes and releases the leases that this runner
// should no longer hold.
func (l *Leases) update() {
	now := BootTime()
	held := l.holder.HeldLeases(now)
	for _, g := range held {
		if l.heldTokens[g.Lease] != g.Token {
			l.heldTokens[g.Lease] = g.Token
			eventLeaseAcquired.Log(g.Lease, g.Token)
		}
		l.suspended[g.Lease] = false
	}
	l.logLost(held)
	for _, g := range held {
		if l.shouldRelease(g.Lease) {
			l.holder.Release(g.Lease, g.Handover, nil)
		}
	}
	l.snapshot.Set(l.holder.HeldLeases(now))
}

// logLost logs the leases that this runner has lost, and as suspended those that it holds by the table
// but may not rely on, because they were not renewed in time or their release is pending.
func (l *Leases) logLost(held []lease.Grant) {
	t := l.node.consensus.Table()
	for name, token := range l.heldTokens {
		if slices.ContainsFunc(held, func(g lease.Grant) bool { return g.Lease == name }) {
			continue
		}
		current := t.Lease(name)
		if current != nil && current.Token == token && current.Holder == l.node.cfg.Links.Name {
			if !l.suspended[name] {
				l.suspended[name] = true
				eventLeaseSuspended.Log(name, token)
			}
			continue
		}
		delete(l.heldTokens, name)
		delete(l.suspended, name)
		eventLeaseLost.Log(name, token)
	}
}

// shouldRelease reports whether this runner is to release a lease: it is about to stop, it is leaving,
// or the operator's file no longer allows it to hold the lease.
func (l *Leases) shouldRelease(name string) bool {
	self := l.node.cfg.Links.Name
	if m := l.node.consensus.Table().Member(self); l.releasing || m != nil && m.Leaving {
		return true
	}
	return !slices.Contains(l.node.cfg.LeaseRules.NamesFor(self), name)
}

// ReleaseAll releases all leases and takes no new ones. It is called before this runner stops.
func (l *Leases) ReleaseAll() {
	l.releasing = true
	l.node.consensus.StopTakingLeases()
	l.node.loop.Post(l.node.flush)
}

// sendHealthReports sends the results of this runner's health checks under leases to all other members.
func (l *Leases) sendHealthReports() {
	for _, report := range l.HealthChecks.TakeReports(l.node.cfg.Links.Name, l.node.loop.Now(), l.Holds) {
		for _, m := range l.node.consensus.Table().Members {
			if m.Incarnation != 0 && m.Name != report.From {
				addressed := report
				addressed.To = m.Name
				l.node.transport.Send(m.Name, &link.Frame{Health: &addressed})
			}
		}
	}
}

func (l *Leases) receiveHealthReport(report *lease.HealthReport) {
	if err := l.HealthChecks.Receive(report, l.node.loop.Now()); err != nil {
		eventReportFenced.Log(report.Lease, report.From, err)
	}
}

// SetLeaseRules replaces the lease rules and the zones whose servers one runner checks for all.
func (n *Node) SetLeaseRules(rules lease.Rules, checkedZones []string) {
	n.cfg.LeaseRules = rules
	n.consensus.SetLeaseRules(rules)
	n.leases.HealthChecks.SetZones(checkedZones)
}

// LeaseStatus is the state of a lease as this runner knows it.
type LeaseStatus struct {
	Name          string `json:"name"`
	Holder        string `json:"holder,omitempty"`
	Token         uint64 `json:"token,omitempty"`
	HeldHere      bool   `json:"here,omitempty"`        // this runner may rely on the lease now
	RemainingMs   int64  `json:"left_ms,omitempty"`     // for which this runner may rely on it, if it does
	Expirations   int    `json:"lapses,omitempty"`      // number of members that lost the lease without releasing it
	HandoverBytes int    `json:"check_bytes,omitempty"` // size of the handover for the next holder
}

// status returns the state of all leases in the operator's file or in the table, sorted by name.
func (l *Leases) status() (all []LeaseStatus) {
	now, t := BootTime(), l.node.consensus.Table()
	for _, r := range l.node.cfg.LeaseRules.Rules {
		if t.Lease(r.Name) == nil {
			all = append(all, LeaseStatus{Name: r.Name})
		}
	}
	grants := l.snapshot.Grants()
	for i := range t.Leases {
		current := &t.Leases[i]
		s := LeaseStatus{
			Name:          current.Name,
			Holder:        current.Holder,
			Token:         current.Token,
			Expirations:   len(current.Expirations),
			HandoverBytes: len(current.Handover),
		}
		for _, g := range grants {
			if g.Lease == current.Name && now < g.ExpiresAt {
				s.HeldHere, s.RemainingMs = true, (g.ExpiresAt - now).Milliseconds()
			}
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b LeaseStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
