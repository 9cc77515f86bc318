// Package consensus agrees on the table of copies: a Raft group of the voters that the operator's file names, from go.etcd.io/raft/v3, and what the
// other runners say to it and hear of it. It is free of I/O: messages and ticks come in; messages, and what has to be on a disk before they
// go out, come out. Times are microseconds of a monotonic clock.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"shalesail/internal/peers/lease"
	"shalesail/internal/peers/placement"
)

// Times are microseconds.
const (
	Beat     = 100_000   // between two words that a runner is there
	Suspect  = 1_500_000 // after which one that is silent is held for lost
	Lease    = 600_000   // for so long after it was heard the consensus group counts as heard
	tick     = 50_000    // of the library's clock
	election = 10        // ticks without a leader until there is an election
	compact  = 1000      // entries until the log is cut by a snapshot
	again    = 500_000   // after which a change that does not come through is proposed again
	maxSize  = 256 << 10 // of one message of the library
	most     = 64        // changes under way
)

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Raft  Kind = iota + 1 // of the library, among voters
	Here                  // a runner is there
	Heard                 // the leader has heard that
	Ask                   // a runner says a change
)

// Message goes from one runner to another.
type Message struct {
	Kind    Kind               `cbor:"1,keyasint"`
	From    string             `cbor:"2,keyasint"`
	To      string             `cbor:"3,keyasint"`
	Raft    []byte             `cbor:"4,keyasint,omitempty"`
	Member  placement.Member   `cbor:"5,keyasint,omitempty"`
	Version uint64             `cbor:"6,keyasint,omitempty"` // Here: of the table that is known; Heard: that the leader has
	Leader  string             `cbor:"7,keyasint,omitempty"` // Heard: who to turn to, if it is not the one that says so
	Table   *placement.Table   `cbor:"8,keyasint,omitempty"`
	Changes []placement.Change `cbor:"9,keyasint,omitempty"`
	Sent    int64              `cbor:"10,keyasint,omitempty"` // Here: by the clock of its sender; Heard gives it back
	Blank   uint64             `cbor:"11,keyasint,omitempty"` // Here: of a voter that has just started, the number that it asks for; Heard: it has it
	Rests   bool               `cbor:"12,keyasint,omitempty"` // Here: its disk has something
	Answer  bool               `cbor:"13,keyasint,omitempty"` // Here: to another one's, which is not answered again
	Number  uint64             `cbor:"15,keyasint,omitempty"` // Here: under which this voter votes; Heard: nobody does under that one
	Asked   int64              `cbor:"14,keyasint,omitempty"` // Here: by the clock that duties go by; Heard gives it back once the consensus group has confirmed its leader
}

// Kept is what has to be on the disk before the messages that came with it go out. Its parts are the library's, in its own form.
type Kept struct {
	ID       uint64   `cbor:"4,keyasint,omitempty"` // the voter's number; with one, the disk begins anew
	State    []byte   `cbor:"1,keyasint,omitempty"` // a raftpb.HardState; nil: as before
	Entries  [][]byte `cbor:"2,keyasint,omitempty"` // raftpb.Entry, in place of those from the first one's index on
	Snapshot []byte   `cbor:"3,keyasint,omitempty"` // a raftpb.Snapshot; entries up to its index are not needed any more
}

// Config is what a runner is.
type Config struct {
	Name   string
	Voters []string // the same everywhere, in the same order
	Known  []string // who is in the file; empty: it says nothing of that
	Slots  int
	Copies int
	Duties lease.Rules
	Born   uint64       // Unix seconds when this process began
	Clock  func() int64 // that duties go by, which also counts the time for which the machine was suspended; nil: there are none
}

// Participant is one runner's part in it.
type Participant struct {
	cfg    Config
	me     placement.Member
	now    int64
	table  *placement.Table
	out    []Message
	leader string // to whom it is said that this runner is there
	beat   int64
	heard  int64 // a word that the leader answered was sent then
	tries  int   // voters that were tried since

	// Of a voter:
	node    *raft.RawNode
	store   *raft.MemoryStorage
	ticked  int64
	applied uint64
	cut     uint64
	leads   bool
	last    map[string]int64 // when each runner was heard
	way     map[string]int64 // changes under way, and since when
	conf    *raftpb.ConfState
	raftID  uint64
	turns   int              // how often this process had to ask for another number
	renew   bool             // a snapshot is due for other voters
	first   bool             // its number is not on the disk yet
	seed    *raftpb.Snapshot // of one that began with nothing: what it began with
	rested  bool             // it went on from its disk
	blank   uint64           // of a voter that has just started: the number that it asks for; 0: it votes
	blanks  map[string]bool  // the other voters that have just started: whether their disks have something

	duties  *lease.Granter
	freed   bool             // a duty was given back
	snaps   map[uint64]int64 // since when voters wait for a snapshot
	lost    []uint64         // of those, whose snapshot may be lost
	fresh   map[string]newcomer
	outs    map[string]uint64 // lives that this leader proposed to hold for lost
	asked   map[string]asker  // when each runner said last that it is there, by its own clock
	asks    []asker           // of those that hold duties, since the consensus group was asked last whether it goes by this leader
	reads   []asker           // those that it was asked for
	readNo  uint64
	readAt  int64
	readTo  uint64 // the library confirmed it, for the table that this entry leads to; 0: not yet
	confirm func(asked int64, version uint64)
}

// asker is a runner that said it was there.
type asker struct {
	name  string
	life  uint64
	asked int64
}

// New begins. A voter that starts does not vote, whatever its disk has: the disk may be empty, or an old one that was put back, and it would
// contradict what it said before. The others give it another number. Only if more than half of all voters have just started, so that the others can
// agree on nothing, do those with something on their disks go on from that; and if all have nothing they begin as the file has them.
func New(cfg Config, me placement.Member, disk []Kept, now int64) (*Participant, error) {
	me.Knows = placement.Newest
	c := &Participant{cfg: cfg, me: me, now: now, ticked: now, heard: now - Lease - 1, last: map[string]int64{}, way: map[string]int64{}, blanks: map[string]bool{},
		duties: lease.NewGranter(cfg.Duties, cfg.Born), asked: map[string]asker{}, snaps: map[uint64]int64{}, fresh: map[string]newcomer{}, outs: map[string]uint64{}, confirm: func(int64, uint64) {}}
	if c.me.Duties = cfg.Duties.Names(cfg.Name); cfg.Clock == nil {
		c.cfg.Clock = func() int64 { return 0 }
	}
	var err error
	if c.table, err = placement.New(cfg.Slots, cfg.Copies); err != nil {
		return nil, err
	}
	place := c.place(cfg.Name)
	if len(cfg.Voters)%2 == 0 || len(cfg.Voters) > mostVoters {
		return nil, voters.New("consensus: %d voters: want an odd number up to %d", len(cfg.Voters), mostVoters)
	}
	if place == 0 {
		return c, nil
	}
	c.store = raft.NewMemoryStorage()
	c.blank = me.Life<<8 | place
	for i := range disk {
		if err := c.restore(&disk[i]); err != nil {
			return nil, voters.New("consensus: record %d of the disk: %w", i, err)
		}
	}
	if len(disk) > 0 && c.raftID == 0 {
		return nil, voters.New("consensus: the disk does not have this voter's number")
	}
	return c, c.gather()
}

// gather looks whether enough voters have just started for them to begin by themselves.
func (c *Participant) gather() error {
	rest := 0
	for _, has := range c.blanks {
		if has {
			rest++
		}
	}
	switch all := len(c.cfg.Voters); {
	case c.raftID != 0 && rest+1 > all/2:
		c.rested = true
		return c.begin()
	case c.raftID == 0 && rest == 0 && len(c.blanks) == all-1:
		return c.form()
	}
	return nil
}

const mostVoters = 7

// justBegan tells whether a voter began by itself and has no part in any agreement yet.
func (c *Participant) justBegan() (rests, ok bool) {
	if c.node == nil {
		return false, false
	}
	switch s := c.node.BasicStatus(); {
	case c.seed != nil:
		return false, s.HardState.GetVote() == 0 && s.HardState.GetTerm() <= 1
	case c.rested:
		return true, s.Lead == 0
	}
	return false, false
}

// form begins with the voters of the file.
func (c *Participant) form() error {
	voters := &raftpb.ConfState{}
	for i := range c.cfg.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	first := &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{ConfState: voters, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	if err := c.snapshot(first); err != nil {
		return err
	}
	c.raftID, c.seed, c.first = c.place(c.cfg.Name), first, true
	return c.begin()
}

// begin begins to vote.
func (c *Participant) begin() (err error) {
	c.blank, c.ticked = 0, c.now
	c.node, err = raft.NewRawNode(&raft.Config{ID: c.raftID, ElectionTick: election, HeartbeatTick: 2, Storage: c.store, Applied: c.applied,
		MaxSizePerMsg: maxSize, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: maxSize, CheckQuorum: true, PreVote: true, Logger: silent{}})
	return err
}

// restore takes a record of the disk.
func (c *Participant) restore(k *Kept) error {
	if k.ID != 0 {
		c.raftID, c.applied, c.cut, c.conf = k.ID, 0, 0, nil
		c.store = raft.NewMemoryStorage()
	}
	if k.Snapshot != nil {
		s := &raftpb.Snapshot{}
		if err := proto.Unmarshal(k.Snapshot, s); err != nil {
			return err
		}
		if err := c.snapshot(s); err != nil {
			return err
		}
	}
	entries := make([]*raftpb.Entry, 0, len(k.Entries))
	for _, b := range k.Entries {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(b, e); err != nil {
			return err
		}
		entries = append(entries, e)
	}
	if err := c.store.Append(entries); err != nil {
		return err
	}
	if k.State == nil {
		return nil
	}
	state := &raftpb.HardState{}
	if err := proto.Unmarshal(k.State, state); err != nil {
		return err
	}
	return c.store.SetHardState(state)
}

// snapshot takes a table in place of the entries up to it.
func (c *Participant) snapshot(s *raftpb.Snapshot) error {
	if err := c.store.ApplySnapshot(s); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return err
	} else if err != nil {
		return nil
	}
	if len(s.GetData()) > 0 {
		t := &placement.Table{}
		if err := cbor.Unmarshal(s.GetData(), t); err != nil {
			return err
		}
		c.table = t
	}
	c.applied, c.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	c.cut = c.applied
	return nil
}

// place is a voter's place in the file, from 1 on; 0: it is none. It is the last byte of each number that the voter ever has.
func (c *Participant) place(name string) uint64 { return uint64(slices.Index(c.cfg.Voters, name) + 1) }

// voter is the name that goes with a number.
func (c *Participant) voter(id uint64) string {
	if i := id & 0xff; i > 0 && i <= uint64(len(c.cfg.Voters)) {
		return c.cfg.Voters[i-1]
	}
	return ""
}

// Table is the newest that is known. It is not changed any more.
func (c *Participant) Table() *placement.Table { return c.table }

// HeardAt is when the newest word that the leader answered was sent: the consensus group was heard since then.
func (c *Participant) HeardAt() int64 { return c.heard }

// Votes tells whether this runner has a vote now: a voter that has just started has none before the others gave it one.
func (c *Participant) Votes() bool { return c.node != nil }

// Leads tells whether this runner is the consensus group's leader.
func (c *Participant) Leads() bool { return c.leads }

// Renew is another life of this runner's membership.
func (c *Participant) Renew(life uint64) { c.me.Life = life }

// OnConfirm names who hears that the consensus group went by its leader after this runner asked, and of which table the leader knew then.
func (c *Participant) OnConfirm(fn func(asked int64, version uint64)) { c.confirm = fn }

// SetDuties takes the rules of another file.
func (c *Participant) SetDuties(r lease.Rules) {
	c.cfg.Duties = r
	c.me.Duties = r.Names(c.cfg.Name)
	c.duties.SetRules(r)
}

// Retire has this runner take no duty any more. If it leads, it goes on to grant them to others.
func (c *Participant) Retire() { c.me.Duties = nil }

// SetKnown takes another list of who is in the file.
func (c *Participant) SetKnown(names []string) { c.cfg.Known = names }

// Errors of a member that is to leave or to stay.
var (
	ErrStranger error = stranger.New("consensus: no member has that name")
	ErrOlder    error = older.New("consensus: a voter is of an older version, which knows nothing of members that leave")
	ErrNobody   error = nobody.New("consensus: too few others are left to hold its copies")
)

// Leave has a member hold nothing any more, or stay after all. It is done by and by: see Table.Holding.
func (c *Participant) Leave(name string, leave bool, now int64) error {
	x := placement.Change{Kind: placement.Leave, Member: placement.Member{Name: name}}
	m := c.table.Member(name)
	switch {
	case m == nil:
		return ErrStranger
	case !leave:
		x.Kind = placement.Stay
	case !m.Leaving:
		after := c.table.Clone()
		after.Apply(x)
		if after.Apart() {
			return ErrNobody
		}
	}
	if !c.table.May(x.Kind, c.cfg.Voters) {
		return ErrOlder
	}
	c.Tell([]placement.Change{x}, now)
	return nil
}

// Lost tells whether the table holds this runner for lost, so that it has to come back in another life.
func (c *Participant) Lost() bool {
	m := c.table.Member(c.cfg.Name)
	return m != nil && m.Life == 0
}

// Out gives what is to be sent, and what has to be on the disk before that, if anything.
func (c *Participant) Out() ([]Message, *Kept, error) {
	if c.node != nil {
		c.read()
	}
	kept, err := c.ready()
	c.confirmed()
	out := c.out
	c.out = nil
	return out, kept, err
}

func (c *Participant) send(m Message) {
	m.From = c.cfg.Name
	c.out = append(c.out, m)
}

// Tell says changes to the leader.
func (c *Participant) Tell(changes []placement.Change, now int64) {
	c.now = max(c.now, now)
	switch {
	case len(changes) == 0:
	case c.leads:
		c.propose(changes)
	case c.leader != "":
		c.send(Message{Kind: Ask, To: c.leader, Changes: changes})
	}
}

// Tick looks at the clock.
func (c *Participant) Tick(now int64) {
	c.now = max(c.now, now)
	if c.node != nil {
		if c.now-c.ticked > 20*tick { // it was stopped, and does not make up for that
			c.ticked = c.now - tick
		}
		for c.now-c.ticked >= tick {
			c.ticked += tick
			c.node.Tick()
		}
		c.lead()
	}
	if c.now < c.beat {
		return
	}
	c.beat = c.now + Beat
	if c.blank != 0 {
		for _, v := range c.cfg.Voters {
			if v != c.cfg.Name {
				c.send(Message{Kind: Here, To: v, Member: c.me, Blank: c.blank, Rests: c.raftID != 0, Sent: c.now, Asked: c.cfg.Clock()})
			}
		}
		return
	}
	if c.leads {
		c.here(Message{From: c.cfg.Name, Member: c.me, Version: c.table.Version, Sent: c.now, Asked: c.cfg.Clock()})
		return
	}
	if c.now-c.heard > Lease { // whoever was asked does not answer
		c.leader = c.cfg.Voters[c.tries%len(c.cfg.Voters)]
		c.tries++
	}
	if c.leader != "" && c.leader != c.cfg.Name {
		c.send(Message{Kind: Here, To: c.leader, Member: c.me, Version: c.table.Version, Sent: c.now, Asked: c.cfg.Clock(), Number: c.number()})
	}
}

// number is that under which this voter votes; 0: it has none.
func (c *Participant) number() uint64 {
	if c.node == nil {
		return 0
	}
	return c.raftID
}

// lead begins to lead, or ends it, and says who is lost.
func (c *Participant) lead() {
	leads := c.node.BasicStatus().RaftState == raft.StateLeader
	if leads && !c.leads { // it knows nothing of who was heard until now
		clear(c.last)
		clear(c.way)
		clear(c.asked)
		clear(c.fresh)
		clear(c.outs)
		c.duties.Begin()
		for _, m := range c.table.Members {
			c.last[m.Name] = c.now
		}
	}
	if c.leads = leads; !leads {
		c.asks, c.reads = nil, nil
		clear(c.snaps)
		return
	}
	c.resend()
	var changes []placement.Change
	for _, m := range c.table.Members {
		at, ok := c.last[m.Name]
		if !ok {
			c.last[m.Name] = c.now
		} else if m.Life != 0 && c.now-at > Suspect {
			changes = append(changes, placement.Change{Kind: placement.Out, Member: m})
		}
		if m.Life == 0 && (m.Leaving || len(c.cfg.Known) > 0 && !slices.Contains(c.cfg.Known, m.Name)) {
			changes = append(changes, placement.Change{Kind: placement.Removed, Member: m})
		}
	}
	if len(changes) == 0 {
		if s, ok := c.table.Spread(); ok {
			changes = append(changes, s)
		}
	}
	c.propose(append(changes, c.grants()...))
}

// resend has voters be told anew who wait for a snapshot that may have been lost on its way: the library sends them nothing until it is told so.
func (c *Participant) resend() {
	c.node.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		switch at, ok := c.snaps[id]; {
		case pr.State != tracker.StateSnapshot:
			delete(c.snaps, id)
		case !ok:
			c.snaps[id] = c.now
		case c.now-at > Suspect:
			delete(c.snaps, id)
			c.lost = append(c.lost, id)
		}
	})
	for _, id := range c.lost { // not from within, where the library is in the middle of it
		c.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
	c.lost = c.lost[:0]
}

// grants are those of duties that nobody holds.
func (c *Participant) grants() []placement.Change {
	if len(c.cfg.Duties.List) == 0 || !c.table.May(placement.Newest, c.cfg.Voters) {
		return nil
	}
	return c.duties.Grants(c.table, c.now, func(name string) int64 {
		if m, a := c.table.Member(name), c.asked[name]; m != nil && a.life == m.Life {
			return a.asked
		}
		return 0
	})
}

// read asks the other voters whether they still go by this leader, for those that hold duties and said that they are there.
func (c *Participant) read() {
	if !c.leads || len(c.reads) > 0 && c.now-c.readAt < again || len(c.asks) == 0 && len(c.reads) == 0 {
		return
	}
	c.reads = append(c.reads, c.asks...) // those whose question was lost are asked for again
	c.asks = nil
	c.readNo, c.readAt, c.readTo = c.readNo+1, c.now, 0
	c.node.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readNo))
}

// confirmed tells those that were asked for what this leader's table was.
func (c *Participant) confirmed() {
	if c.readTo == 0 || c.applied < c.readTo {
		return
	}
	for _, a := range c.reads {
		switch m := c.table.Member(a.name); {
		case m == nil || m.Life != a.life:
		case a.name == c.cfg.Name:
			c.confirm(a.asked, c.table.Version)
		default:
			c.send(Message{Kind: Heard, To: a.name, Member: placement.Member{Name: a.name, Life: a.life}, Asked: a.asked, Version: c.table.Version})
		}
	}
	c.reads, c.readTo = nil, 0
}

// propose has changes agreed on, each once in a while.
func (c *Participant) propose(changes []placement.Change) {
	for _, x := range changes {
		if x.Kind > placement.Lead && !c.table.May(x.Kind, c.cfg.Voters) {
			continue
		}
		data, err := cbor.Marshal(x)
		if err != nil {
			continue // it is made of numbers and names
		}
		if at, ok := c.way[string(data)]; ok && c.now-at < again {
			continue
		}
		if len(c.way) >= most {
			for k, at := range c.way {
				if c.now-at >= again {
					delete(c.way, k)
				}
			}
			if len(c.way) >= most {
				return // those that are under way come first; the rest is said again
			}
		}
		if c.node.Propose(data) == nil { // else there is no leader, or too much is under way
			if c.way[string(data)] = c.now; x.Kind == placement.Out {
				c.outs[x.Member.Name] = x.Member.Life
			}
		}
	}
}

// Receive takes a message.
func (c *Participant) Receive(m *Message, now int64) {
	c.now = max(c.now, now)
	switch m.Kind {
	case Raft:
		r := &raftpb.Message{}
		if c.node != nil && proto.Unmarshal(m.Raft, r) == nil && c.voter(r.GetFrom()) == m.From && m.From != "" && r.GetTo() == c.raftID {
			_ = c.node.Step(r) // what does not fit is passed over
		}
	case Here:
		c.here(*m)
	case Ask:
		if c.leads {
			c.propose(m.Changes)
		}
	case Heard:
		if m.Leader != "" {
			if c.place(m.Leader) != 0 {
				c.leader = m.Leader
			}
			return
		}
		if c.place(m.From) == 0 {
			return
		}
		if m.Blank != 0 && m.Blank == c.blank { // it is one of the voters again, and learns all from the others
			c.raftID, c.first, c.applied, c.cut, c.conf = c.blank, true, 0, 0, nil
			c.store = raft.NewMemoryStorage()
			_ = c.begin() // its figures are right
			return
		}
		if m.Asked != 0 {
			if m.Member.Life == c.me.Life { // else it is for the process before, whose clock may have been another
				c.confirm(m.Asked, m.Version)
			}
			return
		}
		if m.Number != 0 {
			c.dropped(m.Number)
			return
		}
		if m.Sent > c.now { // it is for the process before, whose clock had gone further
			return
		}
		if m.Version < c.table.Version { // it knows less than was agreed on: a consensus group that began anew does not stand for the one before it
			return
		}
		c.leader, c.heard = m.From, max(c.heard, m.Sent)
		if m.Table != nil && c.node == nil && m.Table.Version > c.table.Version && len(m.Table.Slots) == c.cfg.Slots {
			c.table = m.Table
		}
	}
}

// here hears of a runner.
func (c *Participant) here(m Message) {
	if m.Blank != 0 && c.place(m.From) != 0 && c.blank != 0 {
		c.blanks[m.From] = m.Rests
		_ = c.gather() // its figures are right
		return
	}
	if rests, ok := c.justBegan(); ok && m.Blank != 0 && !m.Answer { // the other one may not have heard so
		c.send(Message{Kind: Here, To: m.From, Member: c.me, Blank: c.raftID, Rests: rests, Answer: true, Sent: c.now})
	}
	if !c.leads {
		if c.node == nil {
			return
		}
		if lead := c.voter(c.node.BasicStatus().Lead); lead != "" {
			c.send(Message{Kind: Heard, To: m.From, Leader: lead})
		}
		return
	}
	known := c.known(&m)
	if m.Blank != 0 && known {
		c.admit(&m)
	}
	// A word that came late, from the process before this one, may have taken its number from it.
	if m.Number != 0 && c.place(m.From) == m.Number&0xff && !slices.Contains(c.conf.GetVoters(), m.Number) {
		c.send(Message{Kind: Heard, To: m.From, Number: m.Number})
		return
	}
	c.last[m.From] = c.now
	if m.Asked != 0 {
		c.asked[m.From] = asker{m.From, m.Member.Life, m.Asked}
		// Who is about to be held for lost is not told that it holds anything: its duties may be another's before it hears so.
		if in := c.table.Member(m.From); c.table.Does(m.From) > 0 && (in == nil || in.Life != c.outs[m.From]) {
			c.asks = append(slices.DeleteFunc(c.asks, func(a asker) bool { return a.name == m.From }), c.asked[m.From])
		}
	}
	if in := c.table.Member(m.From); known && (in == nil || !in.Same(&m.Member)) {
		// One that is out comes back in another life: by then it knows that it was lost.
		if m.Member.Name == m.From && m.Member.Life != 0 && (in == nil || in.Life != 0 || m.Version >= c.table.Version) {
			x := placement.Change{Kind: placement.Enter, Member: m.Member}
			if !c.table.May(x.Kind, c.cfg.Voters) {
				x.Kind = placement.In
			}
			c.propose([]placement.Change{x})
		}
	}
	if m.From == c.cfg.Name {
		c.heard = c.now
		return
	}
	answer := Message{Kind: Heard, To: m.From, Sent: m.Sent, Version: c.table.Version}
	if m.Version < c.table.Version && c.place(m.From) == 0 { // voters have it from the log
		answer.Table = c.table
	}
	c.send(answer)
}

// known tells whether a word is of the process that is in the table, or of one that takes its place: a single word of the process before may come
// late, all the more so where this one was stopped and reads what waited for it. One that is there says so again before the other one does.
func (c *Participant) known(m *Message) bool {
	in := c.table.Member(m.From)
	if in == nil || in.Life == 0 || in.Process == m.Member.Process {
		delete(c.fresh, m.From)
		return true
	}
	if f, ok := c.fresh[m.From]; ok && f.what == m.Member.Process {
		return c.now-f.at >= Beat/2
	}
	c.fresh[m.From] = newcomer{m.Member.Process, c.now}
	return false
}

// newcomer is a process under a name whose place another one has, and when it was heard first.
type newcomer struct {
	what uint32
	at   int64
}

// dropped has this voter ask for another number, if nobody votes under its own any more.
func (c *Participant) dropped(number uint64) {
	if c.node == nil || c.raftID != number || c.turns == mostTurns {
		return
	}
	c.turns++
	c.node, c.leads, c.seed, c.rested = nil, false, nil, false
	c.blank = uint64(c.turns)<<60 | c.me.Life<<8&(1<<60-1) | c.place(c.cfg.Name)
}

// mostTurns bounds how often a process asks for another number: each is one that it never had.
const mostTurns = 15

// admit gives a voter that lost its disk another number, in place of the one under which it may have voted.
func (c *Participant) admit(m *Message) {
	if c.place(m.From) == 0 || m.Blank&0xff != c.place(m.From) {
		return
	}
	ids := slices.Clone(c.conf.GetVoters())
	if slices.Contains(ids, m.Blank) {
		c.send(Message{Kind: Heard, To: m.From, Blank: m.Blank})
		return
	}
	x := &raftpb.ConfChange{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(m.Blank)}
	for _, id := range ids {
		if c.voter(id) == m.From {
			x = &raftpb.ConfChange{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(id)}
		}
	}
	_ = c.node.ProposeConfChange(x) // it is asked for again, while another one is under way
}

// ready does what the library asks for.
func (c *Participant) ready() (*Kept, error) {
	if c.node == nil {
		return nil, nil
	}
	var kept *Kept
	for c.node.HasReady() {
		rd := c.node.Ready()
		if kept == nil {
			kept = &Kept{}
		}
		if c.first {
			if c.first, kept.ID = false, c.raftID; c.seed != nil {
				data, err := proto.Marshal(c.seed)
				if err != nil {
					return nil, err
				}
				kept.Snapshot = data
			}
		}
		if err := c.keep(kept, &rd); err != nil {
			return nil, err
		}
		for _, m := range rd.Messages {
			data, err := proto.Marshal(m)
			if err != nil {
				return nil, failed.New("consensus: %w", err)
			}
			if to := c.voter(m.GetTo()); to != "" {
				c.send(Message{Kind: Raft, To: to, Raft: data})
			}
		}
		for _, e := range rd.CommittedEntries {
			c.apply(e)
		}
		if c.freed && c.leads { // who is next begins with the same round
			c.freed = false
			c.propose(c.grants())
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == c.readNo {
				c.readTo = r.Index
			}
		}
		c.node.Advance(rd)
	}
	if err := c.compact(kept); err != nil {
		return nil, err
	}
	if kept != nil && kept.ID == 0 && kept.State == nil && kept.Entries == nil && kept.Snapshot == nil {
		kept = nil
	}
	return kept, nil
}

// keep puts what the library wants kept into its storage, and among what is for the disk.
func (c *Participant) keep(k *Kept, rd *raft.Ready) error {
	if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
		data, err := proto.Marshal(rd.Snapshot)
		if err != nil {
			return err
		}
		k.Snapshot, k.Entries = data, nil
		if err := c.snapshot(rd.Snapshot); err != nil {
			return failed.New("consensus: %w", err)
		}
	}
	for _, e := range rd.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		k.Entries = append(k.Entries, data)
	}
	if err := c.store.Append(rd.Entries); err != nil {
		return failed.New("consensus: %w", err)
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		data, err := proto.Marshal(rd.HardState)
		if err != nil {
			return err
		}
		k.State = data
		return c.store.SetHardState(rd.HardState)
	}
	return nil
}

// apply takes a change that is agreed on.
func (c *Participant) apply(e *raftpb.Entry) {
	c.applied = e.GetIndex()
	if e.GetType() == raftpb.EntryConfChange {
		x := &raftpb.ConfChange{}
		if proto.Unmarshal(e.GetData(), x) == nil {
			c.conf = c.node.ApplyConfChange(x)
			c.renew = true // the library passes over a snapshot in whose voters a new one is not
		}
		return
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	delete(c.way, string(e.GetData()))
	var x placement.Change
	if cbor.Unmarshal(e.GetData(), &x) != nil {
		return // of a newer version: a change that is not known changes nothing here
	}
	t := c.table.Clone()
	t.Apply(x)
	c.table, c.freed = t, c.freed || x.Kind == placement.Yield
}

// compact cuts the log by a snapshot of the table.
func (c *Participant) compact(k *Kept) error {
	if k == nil || c.applied-c.cut < compact && !c.renew {
		return nil
	}
	c.renew = false
	data, err := cbor.Marshal(c.table)
	if err != nil {
		return err
	}
	s, err := c.store.CreateSnapshot(c.applied, c.conf, data)
	if err != nil {
		return failed.New("consensus: %w", err)
	}
	c.cut = c.applied
	if err := c.store.Compact(c.applied); err != nil {
		return failed.New("consensus: %w", err)
	}
	// The disk begins anew with it, and with what comes behind it.
	k.Snapshot, err = proto.Marshal(s)
	if err != nil {
		return err
	}
	k.ID, k.Entries = c.raftID, nil
	last, err := c.store.LastIndex()
	if err != nil || last <= c.applied {
		return err
	}
	rest, err := c.store.Entries(c.applied+1, last+1, 1<<62)
	for _, e := range rest {
		data, bad := proto.Marshal(e)
		if bad != nil {
			return bad
		}
		k.Entries = append(k.Entries, data)
	}
	if state, _, bad := c.store.InitialState(); bad == nil && state != nil {
		k.State, bad = proto.Marshal(state)
		if bad != nil {
			return bad
		}
	}
	return err
}

// silent has the library say nothing: what matters of it is told by who uses it.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
