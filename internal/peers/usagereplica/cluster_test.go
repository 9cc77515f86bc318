package usagereplica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/wallclock"
)

const (
	ms           = time.Millisecond
	second       = time.Second
	stepInterval = 10 * ms
)

// breakage is what a broken version of the program does otherwise.
type breakage struct {
	anyIncarnation   bool // progress of an earlier incarnation counts
	anySnapshot      bool // progress with an earlier snapshot counts
	exportAtOnce     bool // a statement is exported before replicas have its seal
	firstFinalCounts bool // the first final statement is billed, not the one that has most
	dropAtOnce       bool // former replicas forget the ledger before others have it
	keepStatements   bool // what a lost runner exported is not passed on
}

// runner is one machine: a process with its ledger and those of others, and a disk with statements.
type runner struct {
	name        string
	up          bool
	incarnation uint64
	process     uint32
	table       *placement.Table
	ledger      *ledger.Ledger
	primary     *Primary
	replica     *Replica
	statements  *StatementStore
	seals       map[uint64]uint64 // by the numbers of statements, the operations that sealed them
	uses        []uint64          // the operations of the uses of this process
	savedLedger []byte            // on the disk
	files       map[string]*ledger.Statement
}

// cluster is an installation in virtual time, with a consensus group that is always right and late.
type cluster struct {
	t           *testing.T
	broken      breakage
	random      *rand.Rand
	leaseRandom *rand.Rand    // for the lease alone, so that seeds without it play the same
	now         time.Duration // since the Unix epoch
	runners     []*runner
	tables      []*placement.Table
	inFlight    []delayedMessage
	useLease    bool                         // one runner passes on the statements of lost ones
	replicated  map[string]int               // by ledger, uses that anybody may rely on
	counted     map[string]int               // by ledger, all uses
	collected   map[string]*ledger.Statement // taken away from folders
	lastKey     uint64
}

type delayedMessage struct {
	at      time.Duration
	message Message
}

func newCluster(t *testing.T, seed uint64, broken breakage) *cluster {
	runners, backups := 3+int(seed%7), 1+int(seed%2)
	c := &cluster{
		t:           t,
		broken:      broken,
		random:      rand.New(rand.NewPCG(seed, 21)),
		leaseRandom: rand.New(rand.NewPCG(seed, 22)),
		now:         1_700_000_000 * second,
		useLease:    seed%3 == 2,
		replicated:  map[string]int{},
		counted:     map[string]int{},
		collected:   map[string]*ledger.Statement{},
	}
	table, err := placement.New(1, backups)
	if err != nil {
		t.Fatal(err)
	}
	c.tables = []*placement.Table{table}
	for i := range runners {
		r := &runner{name: fmt.Sprint("n", i), files: map[string]*ledger.Statement{}}
		c.runners = append(c.runners, r)
		c.start(r)
	}
	return c
}

// unix returns the time of day.
func (c *cluster) unix() wallclock.UnixMicro { return wallclock.UnixMicro(c.now.Microseconds()) }

// table returns the newest table.
func (c *cluster) table() *placement.Table { return c.tables[len(c.tables)-1] }

func (c *cluster) apply(change placement.Change) {
	t := c.table().Clone()
	t.Apply(change)
	c.tables = append(c.tables, t)
}

func (r *runner) settings() ledger.Settings {
	return ledger.Settings{
		Instance: r.name,
		Period:   wallclock.MicrosOf(10 * second),
		Slice:    wallclock.MicrosOf(5 * second),
		Grace:    wallclock.MicrosOf(second),
		MaxKeys:  40,
		MaxLines: 30,
	}
}

// start begins another process: the ledger on the disk is finished, and a new one begins.
func (c *cluster) start(r *runner) {
	r.up = true
	r.incarnation++
	r.process++
	if r.savedLedger != nil {
		c.finishSaved(r)
	}
	name := fmt.Sprintf("%s-%d", r.name, r.process)
	l := ledger.New(r.settings(), name, c.unix())
	r.ledger = l
	r.seals, r.uses, r.table = map[uint64]uint64{}, nil, nil
	r.primary = NewPrimary(
		r.name, l.Incarnation(), r.process, r.settings(), func() []byte { return l.Encode(0) },
	)
	r.statements = NewStatementStore(r.name, r.process, slices.Sorted(maps.Keys(r.files)))
	r.replica = NewReplica(r.name)
	c.apply(placement.Change{
		Kind: placement.ChangeJoin,
		Member: placement.Member{
			Name:        r.name,
			Zone:        string('a' + rune(len(r.name)+int(r.name[1])%2)),
			Incarnation: r.incarnation,
			Process:     r.process,
			KeepsUsage:  true,
		},
	})
	r.savedLedger = l.Encode(0)
}

// finishSaved finishes the ledger on a runner's disk.
func (c *cluster) finishSaved(r *runner) {
	c.t.Helper()
	l, _, err := ledger.Decode(r.settings(), r.savedLedger)
	if err != nil {
		c.t.Fatal(err)
	}
	r.finish(l)
}

// finish finishes a ledger and stores its statements.
func (r *runner) finish(l *ledger.Ledger) {
	l.Finish()
	for s, _ := l.NextStatement(); s != nil; s, _ = l.NextStatement() {
		r.files[s.FileName()] = s
		l.MarkExported(s)
	}
}

// lose ends a process. Its disk is lost too if wipe is set, or as it was some time ago if stale is.
func (c *cluster) lose(r *runner, wipe, stale bool) {
	if !r.up {
		return
	}
	r.up = false
	c.noteReplicated(r)
	switch {
	case wipe:
		r.savedLedger, r.files = nil, map[string]*ledger.Statement{}
	case !stale:
		r.savedLedger = r.ledger.Encode(0)
	}
	c.declareLost(r)
}

func (c *cluster) declareLost(r *runner) {
	member := placement.Member{Name: r.name, Incarnation: r.incarnation}
	c.apply(placement.Change{Kind: placement.ChangeLost, Member: member})
}

// noteReplicated notes the uses of a ledger that anybody may rely on. All that is billed of a ledger
// is a prefix of its uses, so that their number tells which.
func (c *cluster) noteReplicated(r *runner) {
	if len(r.primary.replicas) == 0 {
		return
	}
	seq := r.primary.ReplicatedSeq()
	for i, operation := range r.uses {
		if operation <= seq {
			c.replicated[r.ledger.Incarnation()] = i + 1
		}
	}
}

// send sends messages, some of which are lost, repeated or late.
func (c *cluster) send(messages []Message) {
	for _, m := range messages {
		if c.random.IntN(25) == 0 {
			continue
		}
		for range 1 + c.random.IntN(20)/19 {
			delay := time.Duration(c.random.IntN(30)) * ms
			slowdown := 1 + c.random.IntN(20)/19*20
			c.inFlight = append(c.inFlight, delayedMessage{c.now + delay*time.Duration(slowdown), m})
		}
	}
}

// moveLease has a member hold the lease of statements, or release it from time to time.
func (c *cluster) moveLease() {
	t := c.table()
	l := t.Lease(StatementsLease)
	m := t.Members[c.leaseRandom.IntN(len(t.Members))]
	switch {
	case t.BootstrapTime == 0:
		c.apply(placement.Change{Kind: placement.ChangeBootstrap, Token: 1})
	case l == nil:
		c.apply(placement.Change{Kind: placement.ChangeGrantLease, Lease: StatementsLease, Member: m})
	case l.Holder == "":
		c.apply(placement.Change{
			Kind:   placement.ChangeGrantLease,
			Lease:  StatementsLease,
			Member: m,
			Token:  l.Token,
		})
	case c.leaseRandom.IntN(10) == 0:
		c.apply(placement.Change{
			Kind:   placement.ChangeReleaseLease,
			Lease:  StatementsLease,
			Member: placement.Member{Name: l.Holder},
			Token:  l.Token,
			Epoch:  1,
		})
	}
}

// step plays one stepInterval.
func (c *cluster) step() {
	c.now += stepInterval
	if c.useLease && c.leaseRandom.IntN(50) == 0 {
		c.moveLease()
	}
	due := c.inFlight
	c.inFlight = nil
	for _, d := range due {
		if d.at > c.now {
			c.inFlight = append(c.inFlight, d)
			continue
		}
		for _, r := range c.runners {
			if r.name == d.message.To && r.up {
				c.receive(r, d.message)
			}
		}
	}
	for _, r := range c.runners {
		if r.up {
			c.run(r)
		}
	}
}

// steps plays so many steps.
func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// receive has a runner handle a message, as the version of the program that is played does.
func (c *cluster) receive(r *runner, m Message) {
	switch m.Type {
	case MsgProgress:
		if p := r.primary.replicas[m.From]; p != nil {
			if c.broken.anyIncarnation {
				m.Incarnation = p.incarnation
			}
			if c.broken.anySnapshot {
				m.SnapshotID = p.snapshotID
			}
		}
		r.primary.Receive(&m, c.now)
	case MsgStatement, MsgStatementStored, MsgStatementWanted:
		if name := r.statements.Receive(&m); name != "" {
			var data []byte
			if s := r.files[name]; s != nil {
				data = s.Encode()
			}
			r.statements.Send(m.From, name, data)
		}
		if len(m.Bytes) > 0 {
			r.replica.Receive(&m)
		}
	default:
		r.replica.Receive(&m)
	}
}
