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
	name  string
	mark  uint32 // of this process
	life  uint64
	table *placement.Table
	heirs []placement.Member
	lies  map[string]*storedStatement
	order []string // their names, sorted
	next  int      // where the next look begins
	out   []Message
}

// storedStatement is a statement that lies here, or lay here until somebody took it away.
type storedStatement struct {
	giver placement.Member // whom it is of; this runner: the zero
	had   map[string]uint64
	said  int64
}

// NewStatementStore is that of a folder with these statements. Nobody else is known to have them.
func NewStatementStore(name string, process uint32, names []string) *StatementStore {
	s := &StatementStore{name: name, mark: process, lies: map[string]*storedStatement{}}
	for _, n := range names {
		s.lay(n, placement.Member{})
	}
	return s
}

// AddOwn notes a statement of this runner that lies in its folder now.
func (s *StatementStore) AddOwn(name string) { s.lay(name, placement.Member{}) }

// Owner notes a statement that a runner's process gave, or that came of playing its account.
func (s *StatementStore) AddReplicated(p *OwnedStatement) {
	s.lay(p.Name(), placement.Member{Name: p.Owner, Process: p.Process})
}

func (s *StatementStore) lay(name string, giver placement.Member) {
	if s.lies[name] != nil {
		return
	}
	s.lies[name] = &storedStatement{giver: giver, had: map[string]uint64{}}
	i, _ := slices.BinarySearch(s.order, name)
	s.order = slices.Insert(s.order, i, name)
}

// SetTable takes a newer table, and the life of this runner's membership.
func (s *StatementStore) SetTable(t *placement.Table, life uint64) {
	s.table, s.life, s.heirs = t, life, ReplicasOf(t, s.name)
}

// gone tells whether the process of a member is not there any more.
func (s *StatementStore) gone(m placement.Member) bool {
	now := s.table.Member(m.Name)
	return now == nil || now.Life == 0 || now.Process != m.Process
}

// to is whom this runner is to pass a statement on to.
func (s *StatementStore) to(p *storedStatement) []placement.Member {
	switch d := s.table.Lease(StatementsLease); {
	case p.giver.Name == "":
		return s.heirs
	case !s.gone(p.giver):
		return nil
	case d == nil || d.Holder == s.name:
		return s.heirs
	default:
		if m := s.table.Member(d.Holder); m != nil && m.Life != 0 && m.Bills {
			return []placement.Member{*m}
		}
		return nil
	}
}

// lookAt bounds the work of one look, and what is asked at once.
const lookAt = 64

// Tick asks heirs whether they have what is to be passed on.
func (s *StatementStore) Tick(now int64) {
	if s.table == nil || len(s.order) == 0 {
		return
	}
	for range min(lookAt, len(s.order)) {
		s.next = (s.next + 1) % len(s.order)
		name := s.order[s.next]
		p := s.lies[name]
		if now-p.said < resend {
			continue
		}
		for _, h := range s.to(p) {
			if life, ok := p.had[h.Name]; !ok || life != h.Life {
				p.said = now
				s.out = append(s.out, Message{Kind: MsgStatement, From: s.name, To: h.Name, Name: name})
			}
		}
	}
}

// Receive takes a word about a statement: whether it is here, or what an heir has or wants of it.
// Wanted is the name of one that is to be read and given with Give.
func (s *StatementStore) Receive(m *Message) (wanted string) {
	p := s.lies[m.Name]
	switch {
	case m.Kind == MsgStatement && p != nil:
		s.answer(m, MsgStatementStored)
	case m.Kind == MsgStatement && len(m.Bytes) == 0:
		s.answer(m, MsgStatementWanted)
	case m.Kind == MsgStatementStored && p != nil:
		p.had[m.From] = m.Life
	case m.Kind == MsgStatementWanted && p != nil:
		return m.Name
	}
	return ""
}

func (s *StatementStore) answer(m *Message, k MessageType) {
	s.out = append(s.out, Message{Kind: k, From: s.name, To: m.From, Name: m.Name, Life: s.life})
}

// Send gives an heir what it wants. One that was taken away is not passed on any more.
func (s *StatementStore) Send(to, name string, b []byte) {
	if len(b) > 0 {
		s.out = append(
			s.out,
			Message{Kind: MsgStatement, From: s.name, To: to, Process: s.mark, Name: name, Bytes: b},
		)
		return
	}
	if p := s.lies[name]; p != nil && s.table != nil {
		for _, h := range append(s.to(p), s.heirs...) {
			p.had[h.Name] = h.Life
		}
	}
}

// Unreplicated tells how many statements are to be passed on to somebody who does not have them.
func (s *StatementStore) Unreplicated() (n int) {
	if s.table == nil {
		return 0
	}
	for _, name := range slices.Sorted(maps.Keys(s.lies)) {
		p := s.lies[name]
		if slices.ContainsFunc(s.to(p), func(h placement.Member) bool { return p.had[h.Name] != h.Life }) {
			n++
		}
	}
	return n
}

// TakeMessages gives what is to be sent.
func (s *StatementStore) TakeMessages() []Message {
	out := s.out
	s.out = nil
	return out
}
