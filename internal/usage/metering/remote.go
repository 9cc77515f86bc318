package metering

import (
	"bytes"
	"errors"
	"io/fs"
	"sync"
	"time"

	"ryepaddle/internal/peers/usagereplica"
)

// Bounds of the queues between the goroutine of remoteAccounts and its disk goroutine.
const (
	maxDiskJobs    = 4 * maxQueuedMessages
	maxDiskResults = 16
)

// remoteAccounts holds replicas of other runners' accounts, and stores their statements. A goroutine of
// its own writes and reads the files, so that a disk that hangs delays no answer to other runners.
type remoteAccounts struct {
	meter      *Meter
	replica    *usagereplica.Replica
	statements *usagereplica.StatementStore

	jobs    chan diskJob
	results chan func() // functions that handle the results of jobs
	stop    chan struct{}
	disk    sync.WaitGroup
}

// diskJob reads or writes a file. It returns a function that handles the result on the goroutine of
// remoteAccounts.
type diskJob func() (then func())

// newRemoteAccounts returns remoteAccounts without replicas; statements names those in the folder.
func newRemoteAccounts(m *Meter, statements []string) *remoteAccounts {
	return &remoteAccounts{
		meter:      m,
		replica:    usagereplica.NewReplica(m.name),
		statements: usagereplica.NewStatementStore(m.name, m.replication.Process, statements),
		jobs:       make(chan diskJob, maxDiskJobs),
		results:    make(chan func(), maxDiskResults),
		stop:       make(chan struct{}),
	}
}

// run runs until the meter is closed. All disk jobs are done when it returns.
func (r *remoteAccounts) run() {
	defer close(r.meter.remoteDone)
	r.disk.Go(r.runJobs)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for closing := false; !closing; {
		closing = r.handleNext(tick.C)
		r.storeStatements()
		r.reportErrors()
		r.sendMessages()
	}
	close(r.stop)
	close(r.jobs)
	r.disk.Wait()
}

func (r *remoteAccounts) runJobs() {
	for job := range r.jobs {
		then := job()
		select {
		case r.results <- then:
		case <-r.stop:
		}
	}
}

// enqueue adds a job for the disk goroutine, and reports whether there was room for it.
func (r *remoteAccounts) enqueue(job diskJob) bool {
	select {
	case r.jobs <- job:
		return true
	default:
		return false
	}
}

// handleNext handles the next event, and reports whether the meter is closing.
func (r *remoteAccounts) handleNext(tick <-chan time.Time) (closing bool) {
	m := r.meter
	select {
	case <-m.closing:
		r.replica.Close(m.elapsed())
		return true
	case <-tick:
		now := m.elapsed()
		r.replica.Tick(now)
		r.statements.Tick(now)
		r.updateStatus()
	case then := <-r.results:
		then()
	case <-m.remoteBox.ready:
		r.takeMailbox()
	}
	return false
}

func (r *remoteAccounts) updateStatus() {
	m := r.meter
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status.RemoteAccounts = r.replica.Len()
	m.status.ExpiringAccounts = r.replica.OrphanedLedgers()
	m.status.UndeliveredStatements = r.statements.Unreplicated()
}

func (r *remoteAccounts) takeMailbox() {
	messages, exported, view := r.meter.remoteBox.take()
	for _, name := range exported {
		r.statements.AddOwn(name)
	}
	if view.table != nil {
		r.replica.SetTable(view.table, view.incarnation, r.meter.elapsed())
		r.statements.SetTable(view.table, view.incarnation)
	}
	for i := range messages {
		r.receive(&messages[i])
	}
}

// receive handles a message from another runner about its account or about statements.
func (r *remoteAccounts) receive(message *usagereplica.Message) {
	switch message.Type {
	case usagereplica.MsgStatement, usagereplica.MsgStatementStored, usagereplica.MsgStatementWanted:
		if wanted := r.statements.Receive(message); wanted != "" {
			// If there is no room, the other runner asks again.
			r.enqueue(func() func() { return r.readStatement(message.From, wanted) })
		}
		if len(message.Bytes) > 0 {
			r.replica.Receive(message)
		}
	default:
		r.replica.Receive(message)
	}
}

// readStatement reads a statement that another runner wants. After an error the other runner asks again.
func (r *remoteAccounts) readStatement(runner, name string) (then func()) {
	b, err := r.meter.dir.Read(name)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return func() {}
	}
	return func() { r.statements.Send(runner, name, b) }
}

// storeStatements enqueues jobs that write the statements sealed for accounts of other runners. If the
// queue is full because the disk hangs, they are dropped: other replicas of the account have them.
func (r *remoteAccounts) storeStatements() {
	for _, s := range r.replica.TakeStatements() {
		if !r.enqueue(func() func() { return r.storeStatement(&s) }) {
			eventReplicaFailed.Log(errBacklog)
		}
	}
}

// storeStatement writes a statement of another runner's account, unless the folder has it already.
func (r *remoteAccounts) storeStatement(s *usagereplica.OwnedStatement) (then func()) {
	err := r.writeStatement(s)
	return func() {
		if err != nil {
			eventReplicaFailed.Log(err)
			return
		}
		r.statements.AddReplicated(s)
	}
}

func (r *remoteAccounts) writeStatement(s *usagereplica.OwnedStatement) error {
	dir, name := r.meter.dir, s.FileName()
	b, err := dir.Read(name)
	if err == nil && !bytes.Equal(b, s.Encode()) {
		return &fileConflictError{name}
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := writeSynced(dir, name+partSuffix, s.Encode()); err != nil {
		return err
	}
	if err := renameSynced(dir, name+partSuffix, name); err != nil {
		return err
	}
	eventReplicaStatementWritten.Log(name, s.Owner)
	return nil
}

func (r *remoteAccounts) reportErrors() {
	for _, err := range r.replica.TakeErrors() {
		eventReplicaFailed.Log(err)
	}
}

func (r *remoteAccounts) sendMessages() {
	out := append(r.replica.TakeMessages(), r.statements.TakeMessages()...)
	if len(out) > 0 {
		r.meter.replication.Send(out)
	}
}
