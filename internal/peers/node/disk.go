package node

import (
	"log/slog"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/wal"
	"ryepaddle/internal/telemetry/logging"
)

var (
	eventDiskOpened = logging.Define("peers.disk_opened", slog.LevelInfo,
		"folder", "records", "slots", "cut", "damaged")
	eventDiskFailed    = logging.Define("peers.disk_failed", slog.LevelError, "error")
	eventDiskRecovered = logging.Define("peers.disk_recovered", slog.LevelInfo, "ms")
)

const (
	// slotSaveInterval is the least time between two saves of one slot.
	slotSaveInterval = 30 * time.Second
	// diskRetryInterval is the time after which a failed write of a record is repeated.
	diskRetryInterval = time.Second
	// closeTimeout bounds how long Close waits for the disk.
	closeTimeout = time.Second
	// maxQueuedOutputs bounds the outputs that wait for the disk; see disk.enqueue.
	maxQueuedOutputs = 1024
	// maxQueuedWork bounds the writes that wait for the disk's goroutine.
	maxQueuedWork = 4
)

// consensusOutput is one output of the consensus participant. Its messages may be sent and its table
// may be used only once its record is on disk.
type consensusOutput struct {
	messages []consensus.Message
	record   *consensus.DurableRecord // nil: nothing has to be on disk
	table    *placement.Table
}

// disk writes the records of the consensus participant before the messages that depend on them are
// sent, and saves the slots periodically. Its methods are called on the loop; a goroutine of its own
// does the writing.
type disk struct {
	node        *Node
	log         *wal.Log      // used by the goroutine only
	work        chan func()   // writes for the goroutine
	stopped     chan struct{} // closed once the goroutine has closed the log
	queue       []consensusOutput
	newestTable *placement.Table // the table of the last enqueued output
	writing     bool             // a record is being written, or waits for its retry
	failedSince time.Duration    // when writing began to fail; 0: it does not fail
	slotCursor  int              // the slot that was last considered for saving
	savedAt     []time.Duration  // when each slot was last saved
	saving      bool             // a slot is being saved
}

// openDisk opens the folder of the log, and returns the log records and slots stored there.
func (n *Node) openDisk(dir string) ([]consensus.DurableRecord, []replication.SlotSnapshot, error) {
	log, recovery, err := wal.Open(store.Dir(dir))
	if err != nil {
		return nil, nil, err
	}
	eventDiskOpened.Log(dir, len(recovery.Log), len(recovery.Slots), recovery.TruncatedBytes, recovery.DamagedSlots)
	d := &disk{node: n, log: log, work: make(chan func(), maxQueuedWork), stopped: make(chan struct{})}
	go d.run()
	n.disk = d
	return recovery.Log, recovery.Slots, nil
}

// run executes the writes until close closes the work channel, and then closes the log.
func (d *disk) run() {
	defer close(d.stopped)
	for fn := range d.work {
		fn()
	}
	if err := d.log.Close(); err != nil {
		eventDiskFailed.Log(err)
	}
}

// enqueue releases an output once its record is on disk and all outputs before it are released. If
// maxQueuedOutputs wait for a disk that hangs, the messages of an output without a record are dropped:
// the protocol tolerates their loss, as it does in the network.
func (d *disk) enqueue(output consensusOutput) {
	d.newestTable = output.table
	if len(d.queue) >= maxQueuedOutputs && output.record == nil {
		d.queue[len(d.queue)-1].table = output.table
		return
	}
	d.queue = append(d.queue, output)
	d.writeNext()
}

// writeNext releases the outputs without a record at the front of the queue, and starts writing the
// first record in the queue.
func (d *disk) writeNext() {
	for len(d.queue) > 0 && !d.writing {
		output := d.queue[0]
		if output.record == nil {
			d.queue = d.queue[1:]
			d.node.release(output)
			continue
		}
		d.writing = true
		d.work <- func() {
			err := d.log.Append(output.record)
			d.node.loop.Deliver(func() { d.handleWritten(err) })
		}
	}
}

// handleWritten releases the first output of the queue or, if its record could not be written, tries
// again after diskRetryInterval. Until the record is on disk, this voter sends none of the later
// messages either, and the other voters continue without it.
func (d *disk) handleWritten(err error) {
	d.writing = false
	now := d.node.loop.Now()
	if err != nil {
		if d.failedSince == 0 {
			d.failedSince = now
			eventDiskFailed.Log(err)
		}
		d.writing = true
		d.node.loop.After(diskRetryInterval, func() {
			d.writing = false
			d.writeNext()
		})
		return
	}
	if d.failedSince != 0 {
		eventDiskRecovered.Log((now - d.failedSince).Milliseconds())
		d.failedSince = 0
	}
	output := d.queue[0]
	d.queue = d.queue[1:]
	d.node.release(output)
	d.writeNext()
	d.node.flush()
}

// saveNextSlot considers the next slot in turn and saves it if slotSaveInterval has passed since its
// last save. One slot is saved at a time. Saving is an optimization: after a restart, the other
// replicas send what was not saved.
func (d *disk) saveNextSlot() {
	now, slots := d.node.loop.Now(), len(d.node.consensus.Table().Slots)
	if d.saving || slots == 0 || len(d.work) > 0 {
		return
	}
	for len(d.savedAt) < slots {
		d.savedAt = append(d.savedAt, now)
	}
	d.slotCursor = (d.slotCursor + 1) % slots
	if now-d.savedAt[d.slotCursor] < slotSaveInterval {
		return
	}
	d.savedAt[d.slotCursor] = now
	snapshot := d.node.replica.SnapshotSlot(d.slotCursor, now)
	if snapshot == nil {
		return
	}
	d.saving = true
	d.work <- func() {
		err := d.log.SaveSlot(snapshot)
		d.node.loop.Deliver(func() {
			d.saving = false
			if err != nil && d.failedSince == 0 {
				eventDiskFailed.Log(err)
			}
		})
	}
}

// Close saves all slots and closes the log. It must be called after the loop has stopped. It returns
// an error if the disk does not respond within closeTimeout; what is on disk by then is used at the
// next start.
func (n *Node) Close() error {
	if n.disk == nil {
		return nil
	}
	d := n.disk
	timeout := time.After(closeTimeout)
	for i := range n.consensus.Table().Slots {
		snapshot := n.replica.SnapshotSlot(i, n.loop.Now())
		if snapshot == nil {
			continue
		}
		select {
		case d.work <- func() { _ = d.log.SaveSlot(snapshot) }: // other replicas send what is not saved
		case <-timeout:
			return errDiskClose
		}
	}
	return d.close(timeout)
}

// close waits until the goroutine has executed the queued writes and closed the log.
func (d *disk) close(timeout <-chan time.Time) error {
	close(d.work)
	select {
	case <-d.stopped:
		return nil
	case <-timeout:
		return errDiskClose
	}
}
