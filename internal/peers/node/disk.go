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
	// diskRetryInterval is the time after which a record that could not be written is tried again.
	diskRetryInterval = time.Second
	// closeTimeout bounds how long Close waits for the disk.
	closeTimeout = time.Second
	// maxQueuedOutputs bounds the outputs that wait for the disk.
	maxQueuedOutputs = 1024
	// maxQueuedWork bounds the work that waits for the disk's goroutine.
	maxQueuedWork = 4
)

// consensusOutput is one output of the consensus group: its messages may be sent, and its table
// holds, only once its record is on disk.
type consensusOutput struct {
	messages []consensus.Message
	record   *consensus.DurableRecord // nil: nothing has to be on disk
	table    *placement.Table
}

// disk writes the consensus group's records before its messages go out, and saves slots now and
// then. Its methods are called on the loop; a goroutine of its own does the writing.
type disk struct {
	node        *Node
	log         *wal.Log // used by the goroutine only
	work        chan func()
	stopped     chan struct{} // closed once the goroutine has closed the log
	queue       []consensusOutput
	newestTable *placement.Table // queued or released
	writing     bool
	failedSince time.Duration // 0: the disk does not fail
	nextSlot    int
	savedAt     []time.Duration // of each slot
	saving      bool
}

// openDisk opens the folder of the log, and returns what is in it.
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

// run does the writing until Close closes the work.
func (d *disk) run() {
	defer close(d.stopped)
	for fn := range d.work {
		fn()
	}
	if err := d.log.Close(); err != nil {
		eventDiskFailed.Log(err)
	}
}

// enqueue releases an output once all before it are released and its record is on disk. While a disk
// hangs, messages without a record are lost, as others on their way may be.
func (d *disk) enqueue(output consensusOutput) {
	d.newestTable = output.table
	if len(d.queue) >= maxQueuedOutputs && output.record == nil {
		d.queue[len(d.queue)-1].table = output.table
		return
	}
	d.queue = append(d.queue, output)
	d.writeNext()
}

// writeNext releases the outputs without a record at the front of the queue, and begins to write the
// first record.
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

// handleWritten releases the first output of the queue, or tries its record again after a pause. Until
// that is on disk this voter sends nothing, so that the others go on without it.
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

// saveNextSlot saves the next slot that is due, one at a time. A slot that is not saved is only sent
// anew by the others.
func (d *disk) saveNextSlot() {
	now, slots := d.node.loop.Now(), len(d.node.consensus.Table().Slots)
	if d.saving || slots == 0 || len(d.work) > 0 {
		return
	}
	for len(d.savedAt) < slots {
		d.savedAt = append(d.savedAt, now)
	}
	d.nextSlot = (d.nextSlot + 1) % slots
	if now-d.savedAt[d.nextSlot] < slotSaveInterval {
		return
	}
	d.savedAt[d.nextSlot] = now
	snapshot := d.node.replica.SnapshotSlot(d.nextSlot, now)
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

// Close saves all slots and closes the log. The loop delivers nothing more by then. It fails if the
// disk does not answer within closeTimeout; what is on disk counts.
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
		case d.work <- func() { _ = d.log.SaveSlot(snapshot) }: // the others send what is not saved
		case <-timeout:
			return errDiskClose
		}
	}
	return d.close(timeout)
}

// close has the goroutine close the log once its work is done, and waits for that.
func (d *disk) close(timeout <-chan time.Time) error {
	close(d.work)
	select {
	case <-d.stopped:
		return nil
	case <-timeout:
		return errDiskClose
	}
}
