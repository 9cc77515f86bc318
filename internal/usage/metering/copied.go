package metering

import (
	"bytes"
	"errors"
	"io/fs"
	"log/slog"
	"strings"
	"sync"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/usage/ledger"
)

// What is told to operators.
var (
	evHeld    = logging.Define("usage.copy_written", slog.LevelInfo, "file", "of")
	evDiffers = logging.Define("usage.copy_failed", slog.LevelWarn, "error")
)

// mostWaits bounds uses whose heirs have not been heard of.
const mostWaits = 1 << 13

// correctWithin is how long a correction waits for others to know it, in microseconds.
const correctWithin = 2_000_000

// ErrNotReplicated is that of what others could not be told in time.
var ErrNotReplicated error = unkept.New(
	"usage: it is kept here, and others could not be told in time; give it again",
)

// StartReplication is how the account is known to others.
type ReplicationConfig struct {
	Process   uint32
	Send      func(out []usagereplica.Message) // from beside the loop
	RunOnLoop func(fn func())                  // has fn called on the loop
}

// ReplicationStatus is how far others know the account, and what is known of others'.
type ReplicationStatus struct {
	Replicas map[string]uint64 `json:"heirs"` // and how many steps each is behind
	// they have the account, and are told what is new
	InSync                bool `json:"told"`
	RemoteAccounts        int  `json:"known"`            // accounts of others
	ExpiringAccounts      int  `json:"ending,omitempty"` // of them, those of runners that are lost
	UndeliveredStatements int  `json:"short,omitempty"`  // statements that are still to be passed on
}

// FullyReplicated tells whether all that is known here is known to as many as it should be.
func (c *ReplicationStatus) FullyReplicated() bool {
	return c.InSync && c.ExpiringAccounts == 0 && c.UndeliveredStatements == 0
}

// box is where messages and the newest table wait for a goroutine.
type box struct {
	kick chan struct{}
	mu   sync.Mutex
	in   []usagereplica.Message
	own  []string // statements that have their names since it was asked last
	seat seat
}

// seat is a table, and the life in which this runner is in it.
type seat struct {
	table *placement.Table
	life  uint64
}

// mostIn bounds messages that wait. What finds no room is said again.
const mostIn = 1024

func newBox() *box { return &box{kick: make(chan struct{}, 1)} }

func (b *box) wake() {
	select {
	case b.kick <- struct{}{}:
	default: // it has been woken
	}
}

func (b *box) put(m usagereplica.Message) {
	b.mu.Lock()
	if len(b.in) < mostIn {
		b.in = append(b.in, m)
	}
	b.mu.Unlock()
	b.wake()
}

func (b *box) named(name string) {
	b.mu.Lock()
	b.own = append(b.own, name)
	b.mu.Unlock()
	b.wake()
}

func (b *box) sit(s seat) {
	b.mu.Lock()
	b.seat = s
	b.mu.Unlock()
	b.wake()
}

func (b *box) take() (in []usagereplica.Message, own []string, at seat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in, own = b.in, b.own
	b.in, b.own = nil, nil
	return in, own, b.seat
}

// mono is the time that has passed, which no clock moves.
func (m *Meter) mono() int64 { return time.Since(m.began).Microseconds() }

// StartReplication has the account known to others from here on, and theirs known here. It is called once, on
// the loop.
func (m *Meter) StartReplication(j ReplicationConfig) error {
	names, err := m.dir.List()
	if err != nil {
		return err
	}
	var told []string
	for _, n := range names {
		if strings.HasPrefix(n, "usage-") && strings.HasSuffix(n, ".json") {
			told = append(told, n)
		}
	}
	m.join, m.ended = j, make(chan struct{})
	if err := m.ask(func(d *desk) {
		d.copied = &copied{seals: map[uint64]uint64{}, w: usagereplica.NewPrimary(m.name, d.led.Incarnation(), j.Process, d.led.Settings(), func() []byte { return d.led.Encode(d.taken) })}
	}); err != nil {
		return err
	}
	go m.know(
		&others{
			heir:  usagereplica.NewReplica(m.name),
			shelf: usagereplica.NewStatementStore(m.name, j.Process, told),
		},
	)
	return nil
}

// SetTable tells of a newer table.
func (m *Meter) SetTable(t *placement.Table, life uint64) {
	m.post.sit(seat{t, life})
	m.estate.sit(seat{t, life})
}

// Receive takes a message of a peer.
func (m *Meter) Receive(x *usagereplica.Message) {
	if x.Type == usagereplica.MsgProgress {
		m.post.put(*x)
		return
	}
	m.estate.put(*x)
}

// promise is a use whose answer waits until others know of it.
type promise struct {
	use  uint64
	done func(error)
}

// errNoRoom is that of a use for which the ring has no room.
var errNoRoom error = noRoom.New("usage: no room for a use; the disk takes nothing")

// RecordReplicated counts a use, and tells done on the loop once others know of it. Whoever asks gives up by
// itself.
func (m *Meter) RecordReplicated(u ledger.Record, done func(error)) {
	if !m.ring.Put(u) {
		done(errNoRoom)
		return
	}
	if len(m.waits) >= mostWaits { // its heirs say nothing for long; whoever waited has given up
		first := m.waits[0]
		m.waits = m.waits[1:]
		first.done(ErrNotReplicated)
	}
	m.waits = append(m.waits, promise{m.ring.Last(), done})
	m.post.wake()
}

// known tells those who wait for uses up to a number.
func (m *Meter) known(use uint64) {
	n := 0
	for n < len(m.waits) && m.waits[n].use <= use {
		n++
	}
	due := m.waits[:n]
	m.waits = m.waits[n:]
	for _, p := range due {
		p.done(nil)
	}
}

// ReplicationStatus tells how far others know the account.
func (m *Meter) ReplicationStatus() ReplicationStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stands
}

// copied is the account as it is told to others. A nil one tells nobody.
type copied struct {
	w     *usagereplica.Primary
	seals map[uint64]uint64 // statements, and the steps that settled them
	marks []mark            // uses that are not known yet
	told  uint64            // up to this use it was said that they are
	waits []wait
}

type mark struct{ use, step uint64 }

type wait struct {
	step uint64
	late int64
	done func(error)
}

func (c *copied) step(s usagereplica.Operation) {
	if c != nil {
		c.w.Append(s)
	}
}

func (c *copied) use(u *ledger.Record, number uint64) {
	if c != nil {
		if len(c.marks) >= mostWaits { // a later use that is known tells of this one too
			c.marks = c.marks[1:]
		}
		c.marks = append(c.marks, mark{number, c.w.Append(usagereplica.Operation{Use: u})})
	}
}

func (c *copied) sealed(s *ledger.Statement, now int64) {
	if c != nil {
		c.seals[s.Seq] = c.w.Append(usagereplica.Operation{SealDigest: s.Digest(), At: now})
	}
}

// mayTell tells whether a statement may have its name: once others know that its periods are
// settled. Else one that was taken away at once would stand in the place of theirs, and what they
// know beyond it would be in none.
func (c *copied) mayTell(s *ledger.Statement) bool {
	return c == nil || c.seals[s.Seq] <= c.w.ReplicatedSeq()
}

// once calls done when all that was counted is known to others.
func (c *copied) once(late int64, done func(error)) {
	if c == nil {
		done(nil)
		return
	}
	c.waits = append(c.waits, wait{c.w.LastSeq(), late, done})
}

// tell has others told, and those who wait for it.
func (m *Meter) tell(d *desk, tick bool) {
	c := d.copied
	if c == nil {
		return
	}
	now := m.mono()
	in, _, at := m.post.take()
	if at.table != nil {
		c.w.SetTable(at.table, now)
	}
	for i := range in {
		c.w.Receive(&in[i], now)
	}
	if c.w.Flush(now); tick {
		c.w.Tick(now)
		m.mu.Lock()
		m.stands.Replicas, m.stands.InSync = c.w.Lag(), c.w.FullyReplicated()
		m.mu.Unlock()
	}
	if out := c.w.TakeMessages(); len(out) > 0 {
		m.join.Send(out)
	}
	kept := c.w.ReplicatedSeq()
	use := c.told
	for len(c.marks) > 0 && c.marks[0].step <= kept {
		use, c.marks = c.marks[0].use, c.marks[1:]
	}
	if use > c.told {
		c.told = use
		m.join.RunOnLoop(func() { m.known(use) })
	}
	rest := c.waits[:0]
	for _, w := range c.waits {
		switch {
		case w.step <= kept:
			w.done(nil)
		case now >= w.late:
			w.done(ErrNotReplicated)
		default:
			rest = append(rest, w)
		}
	}
	c.waits = rest
}

// others is what is known of other runners' accounts.
type others struct {
	heir  *usagereplica.Replica
	shelf *usagereplica.StatementStore
}

// know plays the accounts of others. Their statements are written and read by a goroutine of its
// own, so that a disk that hangs holds up no answer of theirs.
func (m *Meter) know(o *others) {
	defer close(m.ended)
	work, back := make(chan func() func(), 4*mostIn), make(chan func(), 16)
	stop := make(chan struct{})
	var writes sync.WaitGroup
	writes.Go(func() {
		for fn := range work {
			then := fn()
			select {
			case back <- then:
			case <-stop:
			}
		}
	})
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		end := false
		select {
		case <-m.end:
			end = true
			o.heir.Close(m.mono())
		case <-tick.C:
			o.heir.Tick(m.mono())
			o.shelf.Tick(m.mono())
			m.mu.Lock()
			m.stands.RemoteAccounts, m.stands.ExpiringAccounts, m.stands.UndeliveredStatements = o.heir.Len(), o.heir.PendingEnds(), o.shelf.Unreplicated()
			m.mu.Unlock()
		case then := <-back:
			then()
		case <-m.estate.kick:
			in, own, at := m.estate.take()
			for _, name := range own {
				o.shelf.AddOwn(name)
			}
			if at.table != nil {
				o.heir.SetTable(at.table, at.life, m.mono())
				o.shelf.SetTable(at.table, at.life)
			}
			for i := range in {
				m.hearOf(o, &in[i], work)
			}
		}
		for _, p := range o.heir.TakeStatements() {
			job := func() func() { return m.lay(o, &p) }
			select {
			case work <- job:
			default: // the disk hangs; who is told of an account later still can tell it
				evDiffers.Log(errBacklog)
			}
		}
		for _, err := range o.heir.TakeErrors() {
			evDiffers.Log(err)
		}
		if out := append(o.heir.TakeMessages(), o.shelf.TakeMessages()...); len(out) > 0 {
			m.join.Send(out)
		}
		if end {
			close(stop)
			close(work)
			writes.Wait()
			return
		}
	}
}

var errBacklog error = noRoom.New("usage: the disk takes no statements of others")

// hearOf takes a message about an account of another runner.
func (m *Meter) hearOf(o *others, x *usagereplica.Message, work chan func() func()) {
	switch x.Type {
	case usagereplica.MsgStatement, usagereplica.MsgStatementStored, usagereplica.MsgStatementWanted:
		name := o.shelf.Receive(x)
		if name != "" {
			select {
			case work <- func() func() {
				b, err := m.dir.Read(name)
				if err != nil && !errors.Is(err, fs.ErrNotExist) { // it is asked for again
					return func() {}
				}
				return func() { o.shelf.Send(x.From, name, b) }
			}:
			default: // it is asked for again
			}
		}
		if len(x.Bytes) > 0 {
			o.heir.Receive(x)
		}
	default:
		o.heir.Receive(x)
	}
}

// lay writes a statement of another runner's account, if it does not lie there. It gives what is to
// be done about it.
func (m *Meter) lay(o *others, p *usagereplica.OwnedStatement) func() {
	name := p.FileName()
	b, err := m.dir.Read(name)
	switch {
	case err == nil && bytes.Equal(b, p.Encode()):
	case err == nil:
		err = &conflict{name}
	case errors.Is(err, fs.ErrNotExist):
		d := &desk{fs: m.dir}
		if err = d.write(name+partMark, p.Encode()); err == nil {
			err = errors.Join(m.dir.Rename(name+partMark, name), m.dir.SyncDir())
		}
		if err == nil {
			evHeld.Log(name, p.Owner)
		}
	}
	return func() {
		if err != nil {
			evDiffers.Log(err)
			return
		}
		o.shelf.AddReplicated(p)
	}
}
