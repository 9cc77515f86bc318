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

// defects are the rules that a broken version of the program violates.
type defects struct {
	anyIncarnation   bool // accepts progress of an earlier incarnation
	anySnapshot      bool // accepts progress with an earlier snapshot
	exportAtOnce     bool // exports a statement before replicas have its seal
	firstFinalCounts bool // bills the first final statement, not the most complete one
	dropAtOnce       bool // drops a ledger at former replicas before the current ones have it
	keepStatements   bool // does not pass on the statements of lost runners
}

// runner is a simulated machine: a process with its ledger and copies of others, and a disk with
// statements.
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
	seals       map[uint64]uint64 // sequence numbers of seal operations by statement number
	uses        []uint64          // sequence numbers of the uses of this process
	savedLedger []byte            // as last written to the disk
	files       map[string]*ledger.Statement
}

// cluster is an installation in virtual time. Its consensus group does not fail, but runners learn tables
// late.
type cluster struct {
	t           *testing.T
	broken      defects
	random      *rand.Rand
	leaseRandom *rand.Rand    // for the lease only, so that it does not change other random draws
	now         time.Duration // since the Unix epoch
	runners     []*runner
	tables      []*placement.Table
	inFlight    []delayedMessage
	useLease    bool                         // the holder of StatementsLease passes on statements of lost runners
	replicated  map[string]int               // by ledger, number of replicated uses, which must be billed
	counted     map[string]int               // by ledger, number of all uses
	collected   map[string]*ledger.Statement // removed from the folders, by file name
	lastKey     uint64
}

type delayedMessage struct {
	at      time.Duration
	message Message
}

func newCluster(t *testing.T, seed uint64, broken defects) *cluster {
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

// unix returns the current Unix time.
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

// start starts a new process. It finishes the ledger on the disk and begins a new one.
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

// finishSaved finishes the ledger on a runner's disk and stores its statements.
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

// lose ends a process and declares it lost. With wipe its disk is empty afterwards; with stale the disk
// has the ledger as it was saved last.
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

// noteReplicated records how many uses of a ledger are replicated and must be billed. The billed uses of
// a ledger are always a prefix of all its uses, therefore the number identifies them.
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

// send sends messages, of which some are lost, duplicated or delayed.
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

// moveLease grants StatementsLease to a random member if it is free, and sometimes releases it.
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

// step advances the simulation by stepInterval.
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

// steps runs n steps.
func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// receive delivers a message to a runner, changed by the defects of the simulated version.
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
