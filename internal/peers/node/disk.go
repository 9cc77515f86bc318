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

// What is told to operators.
var (
	eventDiskOpened = logging.Define(
		"peers.disk_opened",
		slog.LevelInfo,
		"folder",
		"records",
		"slots",
		"cut",
		"damaged",
	)
	eventDiskFailed    = logging.Define("peers.disk_failed", slog.LevelError, "error")
	eventDiskRecovered = logging.Define("peers.disk_back", slog.LevelInfo, "ms")
)

const (
	slotSaveInterval = 30_000_000 // for each slot that has changed, in microseconds
	maxQueuedOutputs = 1024       // words that wait for the disk
	closeTimeout     = time.Second
)

// consensusOutput is what the consensus group said at once: its words, and the table, are good only once its
// record is on the disk.
type consensusOutput struct {
	messages []consensus.Message
	record   *consensus.DurableRecord // nil: nothing is to be kept
	table    *placement.Table
}

// localKeeper has what the consensus group keeps on the disk before its words go out, and what is held of
// slots now and then. Its methods are called on the loop; files are written by a goroutine of its
// own.
type disk struct {
	node        *Node
	queue       []consensusOutput
	newestTable *placement.Table // of them, or released
	writing     bool
	failedSince int64 // since when the disk does; 0: it does not
	work        chan func()
	done        chan struct{}
	nextSlot    int     // whose turn it is to be saved
	savedAt     []int64 // when each slot was
	saving      bool    // one is being saved
}

// openDisk takes a folder.
func (p *Node) openDisk(
	dir string,
) (log []consensus.DurableRecord, saved []replication.SlotSnapshot, err error) {
	v, found, err := wal.Open(store.Dir(dir))
	if err != nil {
		return nil, nil, err
	}
	eventDiskOpened.Log(dir, len(found.Log), len(found.Slots), found.TruncatedBytes, found.DamagedSlots)
	d := &disk{node: p, work: make(chan func(), 4), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		for fn := range d.work {
			fn()
		}
		if err := v.Close(); err != nil {
			eventDiskFailed.Log(err)
		}
	}()
	p.disk, p.log = d, v
	return found.Log, found.Slots, nil
}

// enqueue has words wait for what is to be on the disk before them. Where a disk hangs, words that
// keep nothing are lost, as others on the way may be.
func (d *disk) enqueue(h consensusOutput) {
	if d.newestTable = h.table; len(d.queue) >= maxQueuedOutputs && h.record == nil {
		d.queue[len(d.queue)-1].table = h.table
		return
	}
	d.queue = append(d.queue, h)
	d.writeNext()
}

func (d *disk) writeNext() {
	for len(d.queue) > 0 && !d.writing {
		h := d.queue[0]
		if h.record == nil {
			d.queue = d.queue[1:]
			d.node.release(h)
			continue
		}
		d.writing = true
		d.work <- func() {
			err := d.node.log.Append(h.record)
			d.node.loop.Deliver(func() { d.handleWritten(err) })
		}
	}
}

// handleWritten hears that the first of those that wait is on the disk, or is not: then it is tried again,
// and until it is there this voter says nothing, so that the others go on without it.
func (d *disk) handleWritten(err error) {
	d.writing = false
	now := d.node.loop.Now().Microseconds()
	switch {
	case err != nil:
		if d.failedSince == 0 {
			d.failedSince = now
			eventDiskFailed.Log(err)
		}
		d.writing = true
		d.node.loop.After(time.Duration(slotSaveInterval/30)*time.Microsecond, func() {
			d.writing = false
			d.writeNext()
		})
		return
	case d.failedSince != 0:
		eventDiskRecovered.Log((now - d.failedSince) / 1000)
		d.failedSince = 0
	}
	h := d.queue[0]
	d.queue = d.queue[1:]
	d.node.release(h)
	d.writeNext()
	d.node.flush()
}

// saveNextSlot has the next slot that has changed on the disk, one at a time.
func (d *disk) saveNextSlot() {
	now, slots := d.node.loop.Now().Microseconds(), len(d.node.consensus.Table().Slots)
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
	s := d.node.replica.SnapshotSlot(d.nextSlot, now)
	if s == nil {
		return
	}
	d.saving = true
	d.work <- func() {
		err := d.node.log.SaveSlot(s)
		d.node.loop.Deliver(func() {
			if d.saving = false; err != nil && d.failedSince == 0 {
				eventDiskFailed.Log(err) // it only saves sending
			}
		})
	}
}

var (
	errDiskClose   error = kindDiskClose.New("node: the disk does not answer; what is there counts")
	errDiskTimeout error = kindDiskTimeout.New(
		"node: the disk does not answer in time; other runners have the result",
	)
)

// Close gives the folder back, with what is held of slots in it. No more comes from the loop by
// then.
func (p *Node) Close() error {
	if p.disk == nil {
		return nil
	}
	d := p.disk
	late := time.After(closeTimeout)
	for i := range p.consensus.Table().Slots {
		if s := p.replica.SnapshotSlot(i, p.loop.Now().Microseconds()); s != nil {
			select {
			case d.work <- func() { _ = p.log.SaveSlot(s) }: // it only saves sending
			case <-late:
				return errDiskClose
			}
		}
	}
	close(d.work)
	select {
	case <-d.done:
		return nil
	case <-late:
		return errDiskClose
	}
}
