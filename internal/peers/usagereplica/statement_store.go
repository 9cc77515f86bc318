package usagereplica

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
)

// StatementsLease is the name of the lease to pass on the statements of lost runners.
const StatementsLease = "statements"

// checksPerTick bounds the statements that one tick looks at, and with them what is asked at once.
const checksPerTick = 64

// StatementStore decides which other runners are to have the statements in this runner's folder. A
// runner passes on the statements of its own ledgers, and those of a lost process: other replicas
// may know less of its ledger. Where a member holds StatementsLease, the others pass the statements
// of lost processes to it alone, and it passes them on; without a holder they wait where they are.
type StatementStore struct {
	name        string
	process     uint32 // this one
	incarnation uint64
	table       *placement.Table // nil: none is known yet
	replicas    []placement.Member
	statements  map[string]*storedStatement // by file name
	order       []string                    // their names, sorted
	nextCheck   int                         // where the next tick begins
	outbox      []Message
}

// storedStatement is a statement that is in the folder, or was until somebody took it away.
type storedStatement struct {
	origin   placement.Member  // whose ledger made it; the zero member: this runner's
	holders  map[string]uint64 // runners that have it, and their incarnations
	lastSent time.Duration
}

// isHeldBy reports whether a member has the statement in its present incarnation.
func (s *storedStatement) isHeldBy(m placement.Member) bool {
	incarnation, ok := s.holders[m.Name]
	return ok && incarnation == m.Incarnation
}

// NewStatementStore returns the store of a folder with statements of this runner. Nobody else is
// known to have them.
func NewStatementStore(name string, process uint32, statements []string) *StatementStore {
	s := &StatementStore{name: name, process: process, statements: map[string]*storedStatement{}}
	for _, statement := range statements {
		s.AddOwn(statement)
	}
	return s
}

// AddOwn notes a statement of this runner's ledger that is in the folder now.
func (s *StatementStore) AddOwn(name string) { s.add(name, placement.Member{}) }

// AddReplicated notes a statement of another runner that is in the folder now.
func (s *StatementStore) AddReplicated(statement *OwnedStatement) {
	s.add(statement.FileName(), placement.Member{Name: statement.Owner, Process: statement.Process})
}

func (s *StatementStore) add(name string, origin placement.Member) {
	if s.statements[name] != nil {
		return
	}
	s.statements[name] = &storedStatement{origin: origin, holders: map[string]uint64{}}
	i, _ := slices.BinarySearch(s.order, name)
	s.order = slices.Insert(s.order, i, name)
}

// SetTable takes a newer table, and the incarnation of this runner's membership.
func (s *StatementStore) SetTable(t *placement.Table, incarnation uint64) {
	s.table, s.incarnation, s.replicas = t, incarnation, ReplicasOf(t, s.name)
}

// isLost reports whether the process of a member is not in the table any more.
func (s *StatementStore) isLost(m placement.Member) bool {
	current := s.table.Member(m.Name)
	return current == nil || current.Incarnation == 0 || current.Process != m.Process
}

// recipients returns the members that this runner is to pass a statement on to.
func (s *StatementStore) recipients(statement *storedStatement) []placement.Member {
	switch l := s.table.Lease(StatementsLease); {
	case statement.origin.Name == "":
		return s.replicas
	case !s.isLost(statement.origin):
		return nil
	case l == nil || l.Holder == s.name:
		return s.replicas
	default:
		if m := s.table.Member(l.Holder); m != nil && m.Incarnation != 0 && m.KeepsUsage {
			return []placement.Member{*m}
		}
		return nil
	}
}

// Tick asks recipients whether they have the statements that are to be passed on.
func (s *StatementStore) Tick(now time.Duration) {
	if s.table == nil || len(s.order) == 0 {
		return
	}
	for range min(checksPerTick, len(s.order)) {
		s.nextCheck = (s.nextCheck + 1) % len(s.order)
		name := s.order[s.nextCheck]
		statement := s.statements[name]
		if now-statement.lastSent < resendInterval {
			continue
		}
		for _, m := range s.recipients(statement) {
			if !statement.isHeldBy(m) {
				statement.lastSent = now
				s.outbox = append(s.outbox, Message{Type: MsgStatement, From: s.name, To: m.Name, Name: name})
			}
		}
	}
}

// Receive handles a message about a statement. It returns the name of a statement that the sender
// wants, which the caller reads and gives to Send, or "".
func (s *StatementStore) Receive(m *Message) (wanted string) {
	statement := s.statements[m.Name]
	switch {
	case m.Type == MsgStatement && statement != nil:
		s.respond(m, MsgStatementStored)
	case m.Type == MsgStatement && len(m.Bytes) == 0:
		s.respond(m, MsgStatementWanted)
	case m.Type == MsgStatementStored && statement != nil:
		statement.holders[m.From] = m.Incarnation
	case m.Type == MsgStatementWanted && statement != nil:
		return m.Name
	}
	return ""
}

func (s *StatementStore) respond(m *Message, t MessageType) {
	response := Message{Type: t, From: s.name, To: m.From, Name: m.Name, Incarnation: s.incarnation}
	s.outbox = append(s.outbox, response)
}

// Send sends a statement that a runner wants. One without bytes was taken away from the folder, and
// is not passed on any more.
func (s *StatementStore) Send(to, name string, data []byte) {
	if len(data) > 0 {
		s.outbox = append(s.outbox, Message{
			Type:    MsgStatement,
			From:    s.name,
			To:      to,
			Process: s.process,
			Name:    name,
			Bytes:   data,
		})
		return
	}
	statement := s.statements[name]
	if statement == nil || s.table == nil {
		return
	}
	for _, m := range slices.Concat(s.recipients(statement), s.replicas) {
		statement.holders[m.Name] = m.Incarnation
	}
}

// Unreplicated returns how many statements a recipient does not have.
func (s *StatementStore) Unreplicated() (n int) {
	if s.table == nil {
		return 0
	}
	for _, name := range slices.Sorted(maps.Keys(s.statements)) {
		statement := s.statements[name]
		missing := func(m placement.Member) bool { return statement.holders[m.Name] != m.Incarnation }
		if slices.ContainsFunc(s.recipients(statement), missing) {
			n++
		}
	}
	return n
}

// TakeMessages returns the messages to send, and forgets them.
func (s *StatementStore) TakeMessages() []Message {
	messages := s.outbox
	s.outbox = nil
	return messages
}
