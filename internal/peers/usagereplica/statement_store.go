package usagereplica

import (
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
)

// StatementsLease is that of passing on the statements of lost runners.
const StatementsLease = "statements"

// StatementStore decides who else is to have the statements that lie in this runner's folder. Those of its
// own accounts are its to pass on; those that it has of another one are, once that one's process is
// lost: whoever else was told of the account may know less of it. Where the table has a holder for
// that, others give such statements to it alone, and it passes them on; without one they wait,
// where they lie.
type StatementStore struct {
	name        string
	process     uint32 // of this process
	incarnation uint64
	table       *placement.Table
	replicas    []placement.Member
	statements  map[string]*storedStatement
	order       []string // their names, sorted
	nextCheck   int      // where the next look begins
	outbox      []Message
}

// storedStatement is a statement that lies here, or lay here until somebody took it away.
type storedStatement struct {
	origin   placement.Member // whom it is of; this runner: the zero
	holders  map[string]uint64
	lastSent int64
}

// NewStatementStore is that of a folder with these statements. Nobody else is known to have them.
func NewStatementStore(name string, process uint32, names []string) *StatementStore {
	s := &StatementStore{name: name, process: process, statements: map[string]*storedStatement{}}
	for _, n := range names {
		s.add(n, placement.Member{})
	}
	return s
}

// AddOwn notes a statement of this runner that lies in its folder now.
func (s *StatementStore) AddOwn(name string) { s.add(name, placement.Member{}) }

// Owner notes a statement that a runner's process gave, or that came of playing its account.
func (s *StatementStore) AddReplicated(p *OwnedStatement) {
	s.add(p.FileName(), placement.Member{Name: p.Owner, Process: p.Process})
}

func (s *StatementStore) add(name string, giver placement.Member) {
	if s.statements[name] != nil {
		return
	}
	s.statements[name] = &storedStatement{origin: giver, holders: map[string]uint64{}}
	i, _ := slices.BinarySearch(s.order, name)
	s.order = slices.Insert(s.order, i, name)
}

// SetTable takes a newer table, and the life of this runner's membership.
func (s *StatementStore) SetTable(t *placement.Table, life uint64) {
	s.table, s.incarnation, s.replicas = t, life, ReplicasOf(t, s.name)
}

// processGone tells whether the process of a member is not there any more.
func (s *StatementStore) processGone(m placement.Member) bool {
	now := s.table.Member(m.Name)
	return now == nil || now.Incarnation == 0 || now.Process != m.Process
}

// recipients is whom this runner is to pass a statement on to.
func (s *StatementStore) recipients(p *storedStatement) []placement.Member {
	switch d := s.table.Lease(StatementsLease); {
	case p.origin.Name == "":
		return s.replicas
	case !s.processGone(p.origin):
		return nil
	case d == nil || d.Holder == s.name:
		return s.replicas
	default:
		if m := s.table.Member(d.Holder); m != nil && m.Incarnation != 0 && m.KeepsUsage {
			return []placement.Member{*m}
		}
		return nil
	}
}

// checksPerTick bounds the work of one look, and what is asked at once.
const checksPerTick = 64

// Tick asks heirs whether they have what is to be passed on.
func (s *StatementStore) Tick(now int64) {
	if s.table == nil || len(s.order) == 0 {
		return
	}
	for range min(checksPerTick, len(s.order)) {
		s.nextCheck = (s.nextCheck + 1) % len(s.order)
		name := s.order[s.nextCheck]
		p := s.statements[name]
		if now-p.lastSent < resendInterval {
			continue
		}
		for _, h := range s.recipients(p) {
			if life, ok := p.holders[h.Name]; !ok || life != h.Incarnation {
				p.lastSent = now
				s.outbox = append(s.outbox, Message{Type: MsgStatement, From: s.name, To: h.Name, Name: name})
			}
		}
	}
}

// Receive takes a word about a statement: whether it is here, or what an heir has or wants of it.
// Wanted is the name of one that is to be read and given with Give.
func (s *StatementStore) Receive(m *Message) (wanted string) {
	p := s.statements[m.Name]
	switch {
	case m.Type == MsgStatement && p != nil:
		s.respond(m, MsgStatementStored)
	case m.Type == MsgStatement && len(m.Bytes) == 0:
		s.respond(m, MsgStatementWanted)
	case m.Type == MsgStatementStored && p != nil:
		p.holders[m.From] = m.Incarnation
	case m.Type == MsgStatementWanted && p != nil:
		return m.Name
	}
	return ""
}

func (s *StatementStore) respond(m *Message, k MessageType) {
	s.outbox = append(s.outbox, Message{Type: k, From: s.name, To: m.From, Name: m.Name, Incarnation: s.incarnation})
}

// Send gives an heir what it wants. One that was taken away is not passed on any more.
func (s *StatementStore) Send(to, name string, b []byte) {
	if len(b) > 0 {
		s.outbox = append(
			s.outbox,
			Message{Type: MsgStatement, From: s.name, To: to, Process: s.process, Name: name, Bytes: b},
		)
		return
	}
	if p := s.statements[name]; p != nil && s.table != nil {
		for _, h := range append(s.recipients(p), s.replicas...) {
			p.holders[h.Name] = h.Incarnation
		}
	}
}

// Unreplicated tells how many statements are to be passed on to somebody who does not have them.
func (s *StatementStore) Unreplicated() (n int) {
	if s.table == nil {
		return 0
	}
	for _, name := range slices.Sorted(maps.Keys(s.statements)) {
		p := s.statements[name]
		if slices.ContainsFunc(s.recipients(p), func(h placement.Member) bool { return p.holders[h.Name] != h.Incarnation }) {
			n++
		}
	}
	return n
}

// TakeMessages gives what is to be sent.
func (s *StatementStore) TakeMessages() []Message {
	out := s.outbox
	s.outbox = nil
	return out
}
