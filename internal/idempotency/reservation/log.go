package reservation

import (
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"ryepaddle/internal/idempotency/persistence"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
)

func (g *Coordinator) aliveName(life uint32) string {
	return fmt.Sprintf("%s.%08x.alive", g.basePath, life)
}

func (g *Coordinator) logName(life uint32, gen uint64) string {
	return fmt.Sprintf("%s.%08x.%d.log", g.basePath, life, gen)
}

// readEpoch reads the number that grows whenever there are other files than before. It stands in
// the shared lock's file.
func (g *Coordinator) readEpoch() uint64 {
	var b [8]byte
	_, _ = unix.Pread(int(g.lock.Fd()), b[:], 0) // one that was never written is nought
	return binary.LittleEndian.Uint64(b[:])
}

func (g *Coordinator) bumpEpoch() error {
	g.epoch = g.readEpoch() + 1
	_, err := g.lock.WriteAt(binary.LittleEndian.AppendUint64(nil, g.epoch), 0)
	return err
}

// compact begins a log with what is known, in place of the one that there is. The shared lock is
// held.
func (g *Coordinator) compact(known func(func(lifecycle.KeyRecord))) error {
	name := g.logName(g.config.Incarnation, g.generation+1)
	f, err := os.OpenFile(name+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	// one that holds nothing is one that was given up
	b, err := store.AppendFrame(nil, &store.Record{Kind: store.EndOfSnapshot})
	if known != nil {
		add := func(r *store.Record) {
			if err == nil {
				b, err = store.AppendFrame(b, r)
			}
		}
		known(func(k lifecycle.KeyRecord) { add(g.record(k)) })
		if g.serving {
			add(&store.Record{Kind: store.SyncMark})
		}
	}
	if err == nil {
		_, err = f.WriteAt(b, 0)
	}
	if err == nil {
		err = os.Rename(name+".new", name)
	}
	if err == nil {
		err = g.bumpEpoch()
	}
	if err != nil {
		f.Close()
		os.Remove(name + ".new")
		return err
	}
	if g.log != nil {
		g.log.Close()
		os.Remove(g.logName(g.config.Incarnation, g.generation))
	}
	g.log, g.size = f, int64(len(b))
	g.generation++
	g.compactBytes, g.incomplete = max(minCompactBytes, 2*g.size), false
	return nil
}

// appendReservation appends a claim. Alone, a process without room goes on: its log is emptied, which takes
// none, so that one that comes knows that it does not know, and it is written anew once there is
// room. All that was claimed is in the table.
func (g *Coordinator) appendReservation(k lifecycle.KeyRecord) error {
	var err error
	if g.incomplete {
		err = g.compact(g.table.EachOwned)
	}
	if err == nil {
		err = g.append(g.record(k))
	}
	if err == nil || g.living() > 0 {
		return err
	}
	g.logError(err)
	if e := g.log.Truncate(0); e != nil {
		return e
	}
	g.size, g.incomplete = 0, true
	return nil
}

// record is what is written of a key. Results are for others: alone, nobody reads them.
func (g *Coordinator) record(k lifecycle.KeyRecord) *store.Record {
	kind := store.RunStarted
	if k.Ended && g.living() > 0 {
		kind = store.RunEnded
	}
	return persistence.ToRecord(kind, k, g.loop.Unix())
}

func (g *Coordinator) append(r *store.Record) error {
	if g.lock == nil {
		return os.ErrClosed
	}
	var err error
	if g.frame, err = store.AppendFrame(g.frame[:0], r); err != nil {
		return err
	}
	// At its place and not at the end: what a full disk took half of is written over.
	if _, err = g.log.WriteAt(g.frame, g.size); err != nil {
		_ = g.log.Truncate(g.size)
		return err
	}
	g.size += int64(len(g.frame))
	return nil
}

func (g *Coordinator) parseLogName(name string) (life uint32, gen uint64, ok bool) {
	text, ours := strings.CutPrefix(name, g.basePath+".")
	text, isLog := strings.CutSuffix(text, ".log")
	if !ours || !isLog {
		return 0, 0, false
	}
	a, b, ok := strings.Cut(text, ".")
	l, err := strconv.ParseUint(a, 16, 32)
	n, err2 := strconv.ParseUint(b, 10, 64)
	return uint32(l), n, ok && err == nil && err2 == nil
}

// read takes the records that a process has written since. One that is not whole yet is read again
// later; of a process that is dead it never will be.
func (g *Coordinator) read(p *otherProcess) error {
	var b []byte
	part := make([]byte, readChunkBytes)
	for {
		n, err := unix.Pread(int(p.log.Fd()), part, p.offset+int64(len(b)))
		if err != nil {
			return fmt.Errorf("%s: %w", p.log.Name(), err)
		}
		b = append(b, part[:n]...)
		used := 0
		for {
			r, size, err := store.ReadFrame(b[used:])
			if err != nil {
				break
			}
			used += size
			g.apply(p, r)
		}
		p.offset += int64(used)
		if b = b[used:]; n < len(part) {
			return nil
		}
	}
}

func (g *Coordinator) apply(p *otherProcess, r *store.Record) {
	switch r.Kind {
	case store.SyncMark:
		p.serving = true
	case store.RunStarted, store.RunEnded, store.KeyReleased:
		p.records++
		g.table.ApplyRemote(persistence.FromRecord(r), r.Kind == store.KeyReleased)
	}
}
