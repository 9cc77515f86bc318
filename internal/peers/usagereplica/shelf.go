package usagereplica

import (
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
)

// Duty is that of passing on the statements of lost runners.
const Duty = "statements"

// Shelf decides who else is to have the statements that lie in this runner's folder. Those of its
// own accounts are its to pass on; those that it has of another one are, once that one's process is
// lost: whoever else was told of the account may know less of it. Where the table has a holder for
// that, others give such statements to it alone, and it passes them on; without one they wait,
// where they lie.
type Shelf struct {
	name  string
	mark  uint32 // of this process
	life  uint64
	table *placement.Table
	heirs []placement.Member
	lies  map[string]*paper
	order []string // their names, sorted
	next  int      // where the next look begins
	out   []Message
}

// paper is a statement that lies here, or lay here until somebody took it away.
type paper struct {
	giver placement.Member // whom it is of; this runner: the zero
	had   map[string]uint64
	said  int64
}

// NewShelf is that of a folder with these statements. Nobody else is known to have them.
func NewShelf(name string, process uint32, names []string) *Shelf {
	s := &Shelf{name: name, mark: process, lies: map[string]*paper{}}
	for _, n := range names {
		s.lay(n, placement.Member{})
	}
	return s
}

// Own notes a statement of this runner that lies in its folder now.
func (s *Shelf) Own(name string) { s.lay(name, placement.Member{}) }

// Of notes a statement that a runner's process gave, or that came of playing its account.
func (s *Shelf) Of(p *Paper) { s.lay(p.Name(), placement.Member{Name: p.Of, Process: p.Process}) }

func (s *Shelf) lay(name string, giver placement.Member) {
	if s.lies[name] != nil {
		return
	}
	s.lies[name] = &paper{giver: giver, had: map[string]uint64{}}
	i, _ := slices.BinarySearch(s.order, name)
	s.order = slices.Insert(s.order, i, name)
}

// Table takes a newer table, and the life of this runner's membership.
func (s *Shelf) Table(t *placement.Table, life uint64) {
	s.table, s.life, s.heirs = t, life, Heirs(t, s.name)
}

// gone tells whether the process of a member is not there any more.
func (s *Shelf) gone(m placement.Member) bool {
	now := s.table.Member(m.Name)
	return now == nil || now.Life == 0 || now.Process != m.Process
}

// to is whom this runner is to pass a statement on to.
func (s *Shelf) to(p *paper) []placement.Member {
	switch d := s.table.Duty(Duty); {
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
func (s *Shelf) Tick(now int64) {
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
				s.out = append(s.out, Message{Kind: Past, From: s.name, To: h.Name, Name: name})
			}
		}
	}
}

// Hear takes a word about a statement: whether it is here, or what an heir has or wants of it.
// Wanted is the name of one that is to be read and given with Give.
func (s *Shelf) Hear(m *Message) (wanted string) {
	p := s.lies[m.Name]
	switch {
	case m.Kind == Past && p != nil:
		s.answer(m, Had)
	case m.Kind == Past && len(m.Bytes) == 0:
		s.answer(m, Want)
	case m.Kind == Had && p != nil:
		p.had[m.From] = m.Life
	case m.Kind == Want && p != nil:
		return m.Name
	}
	return ""
}

func (s *Shelf) answer(m *Message, k Kind) {
	s.out = append(s.out, Message{Kind: k, From: s.name, To: m.From, Name: m.Name, Life: s.life})
}

// Give gives an heir what it wants. One that was taken away is not passed on any more.
func (s *Shelf) Give(to, name string, b []byte) {
	if len(b) > 0 {
		s.out = append(
			s.out,
			Message{Kind: Past, From: s.name, To: to, Process: s.mark, Name: name, Bytes: b},
		)
		return
	}
	if p := s.lies[name]; p != nil && s.table != nil {
		for _, h := range append(s.to(p), s.heirs...) {
			p.had[h.Name] = h.Life
		}
	}
}

// Short tells how many statements are to be passed on to somebody who does not have them.
func (s *Shelf) Short() (n int) {
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

// Out gives what is to be sent.
func (s *Shelf) Out() []Message {
	out := s.out
	s.out = nil
	return out
}
