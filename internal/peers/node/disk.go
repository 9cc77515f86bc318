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
	evOpened = logging.Define(
		"peers.disk_opened",
		slog.LevelInfo,
		"folder",
		"records",
		"slots",
		"cut",
		"damaged",
	)
	evDiskFailed = logging.Define("peers.disk_failed", slog.LevelError, "error")
	evDiskBack   = logging.Define("peers.disk_back", slog.LevelInfo, "ms")
)

const (
	saveEvery = 30_000_000 // for each slot that has changed, in microseconds
	mostHeld  = 1024       // words that wait for the disk
	closeIn   = time.Second
)

// held is what the consensus group said at once: its words, and the table, are good only once its
// record is on the disk.
type held struct {
	out   []consensus.Message
	kept  *consensus.DurableRecord // nil: nothing is to be kept
	table *placement.Table
}

// disk has what the consensus group keeps on the disk before its words go out, and what is held of
// slots now and then. Its methods are called on the loop; files are written by a goroutine of its
// own.
type disk struct {
	p       *Node
	queue   []held
	newest  *placement.Table // of them, or released
	writing bool
	failed  int64 // since when the disk does; 0: it does not
	work    chan func()
	done    chan struct{}
	slot    int     // whose turn it is to be saved
	saved   []int64 // when each slot was
	busy    bool    // one is being saved
}

// openDisk takes a folder.
func (p *Node) openDisk(
	dir string,
) (log []consensus.DurableRecord, saved []replication.SlotSnapshot, err error) {
	v, found, err := wal.Open(store.Dir(dir))
	if err != nil {
		return nil, nil, err
	}
	evOpened.Log(dir, len(found.Log), len(found.Slots), found.TruncatedBytes, found.DamagedSlots)
	d := &disk{p: p, work: make(chan func(), 4), done: make(chan struct{})}
	go func() {
		defer close(d.done)
		for fn := range d.work {
			fn()
		}
		if err := v.Close(); err != nil {
			evDiskFailed.Log(err)
		}
	}()
	p.lasting, p.vault = d, v
	return found.Log, found.Slots, nil
}

// hold has words wait for what is to be on the disk before them. Where a disk hangs, words that
// keep nothing are lost, as others on the way may be.
func (d *disk) hold(h held) {
	if d.newest = h.table; len(d.queue) >= mostHeld && h.kept == nil {
		d.queue[len(d.queue)-1].table = h.table
		return
	}
	d.queue = append(d.queue, h)
	d.pump()
}

func (d *disk) pump() {
	for len(d.queue) > 0 && !d.writing {
		h := d.queue[0]
		if h.kept == nil {
			d.queue = d.queue[1:]
			d.p.release(h)
			continue
		}
		d.writing = true
		d.work <- func() {
			err := d.p.vault.Append(h.kept)
			d.p.loop.Deliver(func() { d.wrote(err) })
		}
	}
}

// wrote hears that the first of those that wait is on the disk, or is not: then it is tried again,
// and until it is there this voter says nothing, so that the others go on without it.
func (d *disk) wrote(err error) {
	d.writing = false
	now := d.p.loop.Now()
	switch {
	case err != nil:
		if d.failed == 0 {
			d.failed = now
			evDiskFailed.Log(err)
		}
		d.writing = true
		d.p.loop.After(saveEvery/30, func() {
			d.writing = false
			d.pump()
		})
		return
	case d.failed != 0:
		evDiskBack.Log((now - d.failed) / 1000)
		d.failed = 0
	}
	h := d.queue[0]
	d.queue = d.queue[1:]
	d.p.release(h)
	d.pump()
	d.p.flush()
}

// save has the next slot that has changed on the disk, one at a time.
func (d *disk) save() {
	now, slots := d.p.loop.Now(), len(d.p.consensus.Table().Slots)
	if d.busy || slots == 0 || len(d.work) > 0 {
		return
	}
	for len(d.saved) < slots {
		d.saved = append(d.saved, now)
	}
	d.slot = (d.slot + 1) % slots
	if now-d.saved[d.slot] < saveEvery {
		return
	}
	d.saved[d.slot] = now
	s := d.p.holder.SnapshotSlot(d.slot, now)
	if s == nil {
		return
	}
	d.busy = true
	d.work <- func() {
		err := d.p.vault.SaveSlot(s)
		d.p.loop.Deliver(func() {
			if d.busy = false; err != nil && d.failed == 0 {
				evDiskFailed.Log(err) // it only saves sending
			}
		})
	}
}

var (
	errCloses error = unsaved.New("node: the disk does not answer; what is there counts")
	errHangs  error = hangs.New("node: the disk does not answer in time; other runners have the result")
)

// Close gives the folder back, with what is held of slots in it. No more comes from the loop by
// then.
func (p *Node) Close() error {
	if p.lasting == nil {
		return nil
	}
	d := p.lasting
	late := time.After(closeIn)
	for i := range p.consensus.Table().Slots {
		if s := p.holder.SnapshotSlot(i, p.loop.Now()); s != nil {
			select {
			case d.work <- func() { _ = p.vault.SaveSlot(s) }: // it only saves sending
			case <-late:
				return errCloses
			}
		}
	}
	close(d.work)
	select {
	case <-d.done:
		return nil
	case <-late:
		return errCloses
	}
}
