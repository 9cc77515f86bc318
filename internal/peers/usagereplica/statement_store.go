package usagereplica

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/peers/placement"
)

// StatementsLease is the name of the lease whose holder passes on the statements of lost runners.
const StatementsLease = "statements"

// checksPerTick is the maximum number of statements that one tick checks, which also bounds the messages
// that it sends.
const checksPerTick = 64

// StatementStore decides to which other runners the statements in this runner's folder are sent. A runner
// sends the statements of its own ledgers to its replicas. It also passes on the statements of lost
// processes, as other replicas may have had less of the ledger. If the table has StatementsLease, only
// its holder passes those on to its replicas and the other runners send them to the holder; without a
// holder they are not sent.
type StatementStore struct {
	name           string
	process        uint32 // this process
	incarnation    uint64
	table          *placement.Table // nil: none is known yet
	replicas       []placement.Member
	statements     map[string]*storedStatement // by file name
	statementNames []string                    // sorted
	lastChecked    int                         // index of the statement that was checked last
	outbox         []Message
}

// storedStatement is a statement that is in the folder or was removed from it.
type storedStatement struct {
	origin   placement.Member  // Owner and Process of an OwnedStatement; the zero member: this runner
	holders  map[string]uint64 // incarnations by the names of the runners that have it
	lastSent time.Duration
}

// isHeldBy reports whether a member has the statement in its current incarnation.
func (s *storedStatement) isHeldBy(m placement.Member) bool {
	incarnation, ok := s.holders[m.Name]
	return ok && incarnation == m.Incarnation
}

// NewStatementStore returns the store of a folder with statements of this runner. No other runner is
// known to have them.
func NewStatementStore(name string, process uint32, statements []string) *StatementStore {
	s := &StatementStore{name: name, process: process, statements: map[string]*storedStatement{}}
	for _, statement := range statements {
		s.AddOwn(statement)
	}
	return s
}

// AddOwn adds a statement of this runner's ledger that was written to the folder.
func (s *StatementStore) AddOwn(name string) { s.add(name, placement.Member{}) }

// AddReplicated adds a statement of another runner that was written to the folder.
func (s *StatementStore) AddReplicated(statement *OwnedStatement) {
	s.add(statement.FileName(), placement.Member{Name: statement.Owner, Process: statement.Process})
}

func (s *StatementStore) add(name string, origin placement.Member) {
	if s.statements[name] != nil {
		return
	}
	s.statements[name] = &storedStatement{origin: origin, holders: map[string]uint64{}}
	i, _ := slices.BinarySearch(s.statementNames, name)
	s.statementNames = slices.Insert(s.statementNames, i, name)
}

// SetTable replaces the table, and sets the incarnation of this runner's membership.
func (s *StatementStore) SetTable(t *placement.Table, incarnation uint64) {
	s.table, s.incarnation, s.replicas = t, incarnation, ReplicasOf(t, s.name)
}

// isLost reports whether the process of a member is no longer in the table.
func (s *StatementStore) isLost(m placement.Member) bool {
	current := s.table.Member(m.Name)
	return current == nil || current.Incarnation == 0 || current.Process != m.Process
}

// recipients returns the members to which this runner is to send a statement.
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

// Tick asks the recipients of the next checksPerTick statements whether they have them.
func (s *StatementStore) Tick(now time.Duration) {
	if s.table == nil || len(s.statementNames) == 0 {
		return
	}
	for range min(checksPerTick, len(s.statementNames)) {
		s.lastChecked = (s.lastChecked + 1) % len(s.statementNames)
		name := s.statementNames[s.lastChecked]
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

// Receive handles a message about a statement. If the sender wants a statement, it returns the file name;
// the caller reads the file and passes its content to Send. Otherwise it returns "".
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

// Send sends a statement to a runner that wants it. Empty data means that the statement was removed
// from the folder: it is marked as held by all recipients and not sent any more.
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

// Unreplicated returns the number of statements that at least one recipient does not have.
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

// TakeMessages returns the messages to send and clears them.
func (s *StatementStore) TakeMessages() []Message {
	messages := s.outbox
	s.outbox = nil
	return messages
}
