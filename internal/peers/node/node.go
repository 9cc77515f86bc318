// Package node is a runner's part among its peers: the holder of copies, the consensus group and
// the links between them, as the core sees them. The core asks whether a key may run here, and has
// an answer wait until its result is kept on others too.
package node

import (
	"errors"
	"log/slog"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/link"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/peers/wal"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	evTable = logging.Define("peers.table", slog.LevelInfo, "version", "members", "whole", "slots", "leads")
	evLost  = logging.Define("peers.held_for_lost", slog.LevelWarn, "version")
	evBad   = logging.Define("peers.council_failed", slog.LevelError, "error")
)

// Times are microseconds.
const (
	tick     = 20_000
	tellOver = 1_000_000 // between two lines about tables
)

// Config is what the operator's file says.
type Config struct {
	Links    link.Config
	Hall     string
	Voters   []string
	Known    []string // all members of the file
	Slots    int
	Copies   int
	Window   int64 // the longest of all classes
	Most     int   // bytes of records that it holds; 0: any number
	Rate     int64 // bytes a second that go to who is being brought up
	Patience int64 // that a run or an answer waits for copies
	Process  uint32
	Life     uint64
	Dir      string   // on a disk that lasts; empty: there is none
	Accounts Accounts // nil: no account of usage is kept
	Duties   lease.Rules
	// CheckHalls are those whose servers are asked for their health by one runner.
	CheckHalls []string
}

// Accounts is what knows the accounts of runners. Its methods are called on the loop, and do not
// wait.
type Accounts interface {
	Hear(m *usagereplica.Message)
	Table(t *placement.Table, life uint64)
	// Promise counts the use of a run that ended, and calls done on the loop once others know of
	// it.
	Promise(k lifecycle.Kept, done func(error))
}

// Table is what it needs of the core.
type Table interface {
	Heard(k lifecycle.Kept, forgotten bool)
}

// Node is the part. Its methods are called on the loop.
type Node struct {
	cfg       Config
	loop      *eventloop.Loop
	core      Table
	disk      lifecycle.Keeper // nil: there is none
	net       *link.Net
	holder    *replication.Replica
	consensus *consensus.Participant
	version   uint64
	table     *placement.Table // the newest that is on the disk, if there is one
	told      int64
	busy      bool     // what comes of it is being sent
	lasting   *disk    // nil: nothing is on a disk
	vault     *wal.Log // the goroutine's
	duties    *Leases
	ticks     int
}

// Start listens for peers. Heard keys go to the core that Run names.
func Start(l *eventloop.Loop, cfg Config) (*Node, error) {
	p := &Node{cfg: cfg, loop: l}
	var log []consensus.Kept
	var saved []replication.Saved
	if cfg.Dir != "" {
		var err error
		if log, saved, err = p.openDisk(cfg.Dir); err != nil {
			return nil, err
		}
	}
	p.holder = replication.New(
		replication.Config{
			Name:   cfg.Links.Name,
			Life:   cfg.Life,
			Window: cfg.Window,
			Lease:  consensus.Lease,
			Most:   cfg.Most,
			Rate:   cfg.Rate,
		},
		saved,
		l.Now(),
	)
	var err error
	p.consensus, err = consensus.New(
		consensus.Config{
			Name:   cfg.Links.Name,
			Voters: cfg.Voters,
			Known:  cfg.Known,
			Slots:  cfg.Slots,
			Copies: cfg.Copies,
			Duties: cfg.Duties,
			Born:   uint64(l.Unix() / 1_000_000),
			Clock:  Boot,
		},
		placement.Member{
			Name: cfg.Links.Name, Hall: cfg.Hall, Life: cfg.Life, Process: cfg.Process, Bills: cfg.Accounts != nil},
		log,
		l.Now(),
	)
	if err != nil {
		return nil, err
	}
	p.startDuties()
	p.net, err = link.Open(l, cfg.Links, p.heard)
	return p, err
}

// Net is the links.
func (p *Node) Net() *link.Net { return p.net }

// Run begins to take part.
func (p *Node) Run(t Table) {
	p.core = t
	p.loop.Every(tick, func() {
		p.consensus.Tick(p.loop.Now())
		p.holder.Tick(p.loop.Now())
		if p.lasting != nil {
			p.lasting.save()
		}
		p.flush()
		if p.ticks++; p.ticks%tellEvery == 0 {
			p.duties.tell()
		}
	})
}

func (p *Node) heard(from string, f *link.Frame) {
	switch {
	case f.Replication != nil && f.Replication.From == from:
		p.holder.Receive(f.Replication, p.loop.Now())
	case f.Consensus != nil && f.Consensus.From == from:
		p.consensus.Receive(f.Consensus, p.loop.Now())
	case f.Health != nil && f.Health.From == from:
		p.duties.hear(f.Health)
		return
	case f.Account != nil && f.Account.From == from:
		if p.cfg.Accounts != nil {
			p.cfg.Accounts.Hear(f.Account)
		}
		return
	}
	p.flush()
}

// flush sends what is to be sent, and tells holder and consensus group what the other came to.
func (p *Node) flush() {
	if p.busy { // it goes on where it was called from
		return
	}
	p.busy = true
	defer func() { p.busy = false }()
	for more := true; more; {
		more = false
		p.consensus.Tell(p.holder.Changes(), p.loop.Now())
		p.consensus.Tell(p.duties.holder.Changes(Boot()), p.loop.Now())
		out, kept, err := p.consensus.Out()
		if err != nil {
			evBad.Log(err)
		}
		p.holder.Heard(p.consensus.HeardAt())
		if h := (held{out, kept, p.consensus.Table()}); p.lasting == nil {
			p.release(h)
		} else if len(out) > 0 || kept != nil || h.table != p.lasting.newest {
			p.lasting.hold(h)
		}
		if t := p.table; t != nil && t.Version > p.version {
			p.version, more = t.Version, true
			if p.consensus.Lost() { // it was held for lost, and goes on
				p.cfg.Life++
				evLost.Log(t.Version)
				p.holder.Renew(p.cfg.Life)
				p.consensus.Renew(p.cfg.Life)
				p.duties.holder.Renew(p.cfg.Life)
			}
			lost := map[string]bool{}
			for _, m := range t.Members {
				if m.Life == 0 {
					lost[m.Name] = true
				}
			}
			p.net.SetLost(lost)
			p.holder.Table(t, p.loop.Now())
			p.duties.holder.Table(t)
			if p.cfg.Accounts != nil {
				p.cfg.Accounts.Table(t, p.cfg.Life)
			}
			p.tell(t)
		}
		for _, m := range p.holder.Out() {
			p.net.Send(m.To, &link.Frame{Replication: &m})
			more = true
		}
		if p.duties.look(); !more && p.duties.holder.Fresh() {
			more = true
		}
	}
}

// release sends what the consensus group says, and has its table hold.
func (p *Node) release(h held) {
	for i := range h.out {
		p.net.Send(h.out[i].To, &link.Frame{Consensus: &h.out[i]})
	}
	p.table = h.table
}

// Tell sends words about accounts.
func (p *Node) Tell(out []usagereplica.Message) {
	for i := range out {
		p.net.Send(out[i].To, &link.Frame{Account: &out[i]})
	}
}

// tell tells of a table, not more often than somebody could read it, unless it has all copies.
func (p *Node) tell(t *placement.Table) {
	if p.loop.Now() < p.told+tellOver && t.Whole() < len(t.Slots) {
		return
	}
	p.told = p.loop.Now()
	evTable.Log(t.Version, len(t.Members), t.Whole(), len(t.Slots), p.consensus.Leads())
}

// SetMembers takes the members of another file. Voters stay as they were at the start.
func (p *Node) SetMembers(peers []link.Peer, known []string) {
	p.net.SetPeers(peers)
	p.consensus.SetKnown(known)
}

// Leave has a member hold nothing any more, or stay after all.
func (p *Node) Leave(name string, leave bool) error {
	err := p.consensus.Leave(name, leave, p.loop.Now())
	p.loop.Post(p.flush)
	return err
}

// Replace has a member leave in whose place another one is there already.
func (p *Node) Replace(old, by string) error {
	m := p.consensus.Table().Member(by)
	switch {
	case m == nil || m.Life == 0:
		return leaves.New("%s is not in: add it to all files, and start it first", by)
	case m.Leaving || old == by:
		return leaves.New("%s is leaving itself", by)
	}
	return p.Leave(old, true)
}

// KeyStatus is where a key's copies are, and what is held of it here.
type KeyStatus struct {
	Slot    int      `json:"slot"`
	Epoch   uint64   `json:"epoch"`
	Set     []string `json:"set"` // the primary first
	Joining []string `json:"joining,omitempty"`
	// for so long, as is known here, its slot takes no new keys
	QuietMs int64 `json:"quiet_ms,omitempty"`
	// begun, ended, forgotten, not held, or unknown to this holder
	Here   string `json:"here"`
	By     string `json:"by,omitempty"`      // whose process runs it, or ran it
	LeftMs int64  `json:"left_ms,omitempty"` // of its window
	Bytes  int    `json:"bytes,omitempty"`   // of its result
}

// Key tells where the copies of a key are.
func (p *Node) Key(name store.Name) *KeyStatus {
	t := p.consensus.Table()
	slot, quiet, held, rec, left := p.holder.Look(name, p.loop.Now())
	s := &KeyStatus{Slot: slot, QuietMs: quiet / 1000, Here: "not held", LeftMs: left / 1000}
	if slot < len(t.Slots) {
		s.Epoch, s.Set, s.Joining = t.Slots[slot].Epoch, t.Slots[slot].Set, t.Slots[slot].Joining
	}
	switch {
	case rec != nil:
		s.Here = map[store.Kind]string{store.Begun: "begun", store.Ended: "ended", store.Forgotten: "forgotten"}[rec.Kind]
		s.By = "a process that is gone"
		for _, m := range t.Members {
			if m.Life != 0 && m.Process == uint32(rec.Owner>>32) {
				s.By = m.Name
			}
		}
		if rec.Result != nil {
			s.Bytes = len(rec.Result.Body)
		}
	case held:
		s.Here = "unknown"
	}
	return s
}

// Status is how copies stand, as this runner knows it.
type Status struct {
	Version  uint64   `json:"version"`
	Leads    bool     `json:"leads"`
	In       bool     `json:"in"`
	Closed   string   `json:"closed,omitempty"` // why no new keys are taken
	Whole    int      `json:"slots_whole"`
	Slots    int      `json:"slots"`
	Members  []string `json:"members"` // that are in
	Lost     []string `json:"lost,omitempty"`
	Leaving  []Leaver `json:"leaving,omitempty"`
	Links    int      `json:"links"`                     // connections to peers
	Passed   int64    `json:"messages_passed,omitempty"` // between others
	Bytes    int      `json:"bytes_held"`                // of records, about
	Copied   int64    `json:"bytes_copied"`              // to runners that were brought up
	Messages int64    `json:"messages_sent"`
	Dropped  int64    `json:"messages_dropped"`

	Duties []LeaseRow `json:"duties,omitempty"`
	// where one runner asks a hall's servers for their health
	Checks *Asked `json:"checks,omitempty"`
}

// Asked is who asked servers for their health.
type Asked struct {
	Made   int64 `json:"made"`   // by this runner
	Spared int64 `json:"spared"` // as another one had told of them
	Late   int64 `json:"late"`   // tales of runners that had lost the duty
}

// Leaver is a member that is to hold nothing any more.
type Leaver struct {
	Name  string `json:"name"`
	Holds int    `json:"holds"` // slots, still
}

// Status tells how copies stand.
func (p *Node) Status() *Status {
	t := p.consensus.Table()
	s := &Status{
		Version:  t.Version,
		Leads:    p.consensus.Leads(),
		In:       p.holder.In(),
		Whole:    t.Whole(),
		Slots:    len(t.Slots),
		Messages: p.net.Sent,
		Dropped:  p.net.Lost,
		Links:    p.net.Links(),
		Passed:   p.net.Passed,
		Copied:   p.holder.Copied,
		Bytes:    p.holder.Bytes,
	}
	_, s.Closed = p.holder.Closed(p.loop.Now())
	if s.Duties = p.duties.rows(); len(p.cfg.CheckHalls) > 0 {
		s.Checks = &Asked{p.duties.Checks.Asked, p.duties.Checks.Spared, p.duties.Checks.Late}
	}
	for _, m := range t.Members {
		if m.Leaving {
			s.Leaving = append(s.Leaving, Leaver{m.Name, t.Holding(m.Name)})
		}
		if m.Life != 0 {
			s.Members = append(s.Members, m.Name)
		} else {
			s.Lost = append(s.Lost, m.Name)
		}
	}
	return s
}

func (p *Node) put(kind store.Kind, k lifecycle.Kept, done func(replication.Answer)) {
	now := p.loop.Unix()
	left, within := k.Until-now, p.cfg.Patience
	if kind == store.Ended { // whoever waits for it knows for how long
		within = max(within, left)
	}
	// The core is told in a turn of its own: it may ask for more at once.
	p.holder.Put(
		persistence.Record(kind, k, now),
		left,
		within,
		p.loop.Now(),
		func(a replication.Answer) { p.loop.Post(func() { done(a) }) },
	)
	p.loop.Post(p.flush)
}

// Claim implements core.Claims: the run begins once its beginning is kept on others, unless the key
// is another's.
func (p *Node) Claim(k lifecycle.Kept, _ int64, free func() bool, done func(mine bool, err error)) {
	first := true
	p.put(store.Begun, k, func(a replication.Answer) {
		again := !first
		first = false
		if a.Word == replication.Theirs {
			p.hear(a)
			if !again {
				done(false, nil)
			}
			return
		}
		if !again {
			done(a.Err == nil && a.Word == replication.Mine && free(), apart(a))
		}
	})
}

// apart is the error of an answer; nil: there is none.
func apart(a replication.Answer) error {
	if a.Err == nil {
		return nil
	}
	return &lifecycle.CopiesError{Back: a.Back, Err: a.Err}
}

// hear tells the core of another's run.
func (p *Node) hear(a replication.Answer) {
	r := *a.Record
	// the process that runs it is gone: it may have run
	if r.Until = p.loop.Unix() + a.Left; a.Doubt {
		r.Kind, r.How = store.Ended, uint8(lifecycle.Failed)
	}
	p.core.Heard(persistence.KeptOf(&r), r.Kind == store.Forgotten)
}

// Ended implements core.Claims. An end is kept by the Keeper, before it is answered.
func (p *Node) Ended(lifecycle.Kept) {}

// Forgot implements core.Claims.
func (p *Node) Forgot(k lifecycle.Kept) { p.put(store.Forgotten, k, func(replication.Answer) {}) }

// Before is a keeper that keeps on peers what the disk keeps too; nil: there is no disk.
func (p *Node) Before(disk lifecycle.Keeper) lifecycle.Keeper {
	p.disk = disk
	return kept{p}
}

// kept is the core's keeper.
type kept struct{ p *Node }

// Closed implements core.Keeper.
func (k kept) Closed() (int64, string) {
	if back, why := k.p.holder.Closed(k.p.loop.Now()); back > 0 || k.p.disk == nil {
		return back, why
	}
	return k.p.disk.Closed()
}

// Apart implements core.Sharer.
func (k kept) Apart() bool {
	back, _ := k.p.holder.Closed(k.p.loop.Now())
	return back > 0
}

// Patience implements core.Keeper.
func (k kept) Patience() int64 { return k.p.cfg.Patience }

// Begun implements core.Keeper: peers have it by the claim.
func (k kept) Begun(c lifecycle.Kept, done func(error)) {
	if k.p.disk == nil {
		k.p.loop.Post(func() { done(nil) })
		return
	}
	k.p.disk.Begun(c, done)
}

// Ended implements core.Keeper: it is kept once peers and disk have it, and others know of its use.
// A disk that hangs is not waited for longer than its patience, as peers have it.
func (k kept) Ended(c lifecycle.Kept, done func(error)) {
	var errs error
	rest := 1
	one := func(err error) {
		errs = errors.Join(errs, err)
		if rest--; rest == 0 {
			done(errs)
		}
	}
	if k.p.disk != nil {
		rest++
		k.p.disk.Ended(c, k.p.within(k.p.disk.Patience(), one))
	}
	if k.p.cfg.Accounts != nil && c.Result != nil && c.Waits {
		rest++
		k.p.cfg.Accounts.Promise(c, one)
	}
	k.p.put(store.Ended, c, func(a replication.Answer) { one(a.Err) })
}

// within passes the first word of the disk on, or that it has not come in time.
func (p *Node) within(patience int64, done func(error)) func(error) {
	var late *eventloop.Timer
	heard := false
	once := func(err error) {
		if heard {
			return
		}
		heard = true
		late.Stop()
		done(err)
	}
	late = p.loop.After(patience, func() { once(errHangs) })
	return once
}

// Forgot implements core.Keeper: peers hear it by the claim.
func (k kept) Forgot(c lifecycle.Kept) {
	if k.p.disk != nil {
		k.p.disk.Forgot(c)
	}
}
