package metering

import (
	"strings"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/ledger"
)

const (
	// maxWaitingRecords bounds the records that wait to be replicated.
	maxWaitingRecords = 1 << 13
	// correctionTimeout bounds the time that a correction waits to be replicated.
	correctionTimeout = 2 * time.Second
)

// ReplicationConfig configures the replication of an account among runners.
type ReplicationConfig struct {
	Process   uint32                                // this runner's process, as the table names it
	Send      func(messages []usagereplica.Message) // sends messages to other runners; called from any goroutine
	RunOnLoop func(fn func())                       // schedules fn to run on the event loop
}

// ReplicationStatus tells how far the account is replicated, and which remote accounts are held here.
type ReplicationStatus struct {
	Replicas map[string]uint64 `json:"heirs"` // number of operations that each replica lags behind, by runner
	// InSync says that the account has replicas, and that all of them are up to date.
	InSync                bool `json:"told"`
	RemoteAccounts        int  `json:"known"`            // accounts of other runners of which this one holds replicas
	ExpiringAccounts      int  `json:"ending,omitempty"` // remote accounts whose runners are lost
	UndeliveredStatements int  `json:"short,omitempty"`  // statements that other runners do not have yet
}

// FullyReplicated reports whether the account, the accounts of lost runners that are known here, and all
// statements here are on as many runners as they should be.
func (s *ReplicationStatus) FullyReplicated() bool {
	return s.InSync && s.ExpiringAccounts == 0 && s.UndeliveredStatements == 0
}

// StartReplication starts to replicate the account, and to hold replicas of other runners' accounts. It
// must be called at most once, on the event loop. The error is ErrBusy, or one of the folder.
func (m *Meter) StartReplication(c ReplicationConfig) error {
	names, err := m.dir.List()
	if err != nil {
		return err
	}
	var statements []string
	for _, name := range names {
		if strings.HasPrefix(name, "usage-") && strings.HasSuffix(name, ".json") {
			statements = append(statements, name)
		}
	}
	m.replication = c
	m.remoteDone = make(chan struct{})
	if err := m.enqueue(func(a *accountStore) { a.publisher = newPublisher(m.name, c.Process, a) }); err != nil {
		return err
	}
	go newRemoteAccounts(m, statements).run()
	return nil
}

func newPublisher(runner string, process uint32, a *accountStore) *publisher {
	snapshot := func() []byte { return a.ledger.Encode(a.lastRecord) }
	return &publisher{
		primary: usagereplica.NewPrimary(runner, a.ledger.Incarnation(), process, a.ledger.Settings(), snapshot),
		seals:   map[uint64]uint64{},
	}
}

// SetTable sets a newer table of the cluster, and this runner's incarnation in it.
func (m *Meter) SetTable(t *placement.Table, incarnation uint64) {
	m.accountBox.setView(clusterView{t, incarnation})
	m.remoteBox.setView(clusterView{t, incarnation})
}

// Receive accepts a message from another runner.
func (m *Meter) Receive(message *usagereplica.Message) {
	if message.Type == usagereplica.MsgProgress {
		m.accountBox.putMessage(*message)
		return
	}
	m.remoteBox.putMessage(*message)
}

// waitingRecord is a record that waits to be replicated, by its number.
type waitingRecord struct {
	number uint64
	done   func(error)
}

// RecordReplicated counts a record, and calls done on the event loop once it is replicated. It sets no
// deadline. done gets an error of kind usage.no_room if the ring is full, or ErrNotReplicated if more than
// maxWaitingRecords wait and the record is the oldest of them.
func (m *Meter) RecordReplicated(r ledger.Record, done func(error)) {
	if !m.ring.Put(r) {
		done(errNoRoom)
		return
	}
	if len(m.waiting) >= maxWaitingRecords {
		oldest := m.waiting[0]
		m.waiting = m.waiting[1:]
		oldest.done(ErrNotReplicated)
	}
	m.waiting = append(m.waiting, waitingRecord{m.ring.Last(), done})
	m.accountBox.notify()
}

// confirmRecords calls done for the waiting records up to a number.
func (m *Meter) confirmRecords(number uint64) {
	n := 0
	for n < len(m.waiting) && m.waiting[n].number <= number {
		n++
	}
	confirmed := m.waiting[:n]
	m.waiting = m.waiting[n:]
	for _, w := range confirmed {
		w.done(nil)
	}
}

// ReplicationStatus returns how far the account is replicated.
func (m *Meter) ReplicationStatus() ReplicationStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// replicationTrigger is the reason for exchanging messages with the replicas.
type replicationTrigger uint8

const (
	triggerEvent replicationTrigger = iota // there may be new records, corrections or messages
	triggerTick                            // pollInterval has passed: unanswered messages are sent again
)

// replicate exchanges messages with the replicas, and completes the changes and records that wait for
// them.
func (m *Meter) replicate(p *publisher, trigger replicationTrigger) {
	if p == nil {
		return
	}
	now := m.elapsed()
	messages, _, view := m.accountBox.take()
	if view.table != nil {
		p.primary.SetTable(view.table, now)
	}
	for i := range messages {
		p.primary.Receive(&messages[i], now)
	}
	p.primary.Flush(now)
	if trigger == triggerTick {
		p.primary.Tick(now)
		m.mu.Lock()
		m.status.Replicas = p.primary.Lag()
		m.status.InSync = p.primary.FullyReplicated()
		m.mu.Unlock()
	}
	if out := p.primary.TakeMessages(); len(out) > 0 {
		m.replication.Send(out)
	}
	if record, changed := p.takeConfirmed(); changed {
		m.replication.RunOnLoop(func() { m.confirmRecords(record) })
	}
	p.answerWaiting(now)
}
