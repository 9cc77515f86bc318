package usagereplica

import (
	"errors"
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

// ErrDiverged is that of an account that came to something else than its runner's did. It is asked
// for anew.
var ErrDiverged = errors.New("accounts: it differs from its runner's")

// replicatedLedger is an account of another runner.
type replicatedLedger struct {
	owner   string
	process uint32
	led     *ledger.Ledger // nil: it is still on its way
	seq     uint64
	parts   [][]byte
	partsOf uint64 // which giving of it they are of
	no      uint64 // which giving it was, or was found to be
	lost    int64  // since when its runner is; 0: it is there
}

// OwnedStatement is a statement that is to be written, and the process whose it was.
type OwnedStatement struct {
	Owner   string
	Process uint32
	*ledger.Statement
}

// Replica knows accounts of others.
type Replica struct {
	name  string
	life  uint64
	table *placement.Table
	all   map[string]*replicatedLedger // by the names of the accounts
	out   []Message
	told  []OwnedStatement
	errs  []error
}

// NewReplica is one that knows none yet.
func NewReplica(name string) *Replica {
	return &Replica{name: name, all: map[string]*replicatedLedger{}}
}

// SetTable takes a newer table, and the life of this runner's membership.
func (h *Replica) SetTable(t *placement.Table, life uint64, now int64) {
	h.table, h.life = t, life
	h.look(now)
}

// look notes whose process is not in the table. A word of it may have come after that.
func (h *Replica) look(now int64) {
	if h.table == nil {
		return
	}
	for _, e := range h.all {
		if m := h.table.Member(e.owner); m != nil && m.Life != 0 && m.Process == e.process {
			e.lost = 0
		} else if e.lost == 0 {
			e.lost = now
		}
	}
}

// Receive takes the word of a runner.
func (h *Replica) Receive(m *Message) {
	switch m.Kind {
	case MsgSnapshot:
		h.state(m)
	case MsgAppend:
		h.steps(m)
	case MsgStatement:
		s, err := ledger.ParseStatement(m.Name, m.Bytes)
		if err == nil && s.Name() != m.Name {
			err = errors.New("accounts: " + m.Name + " is " + s.Name())
		}
		if err != nil {
			h.errs = append(h.errs, err)
			return
		}
		h.told = append(h.told, OwnedStatement{m.From, m.Process, s})
	case MsgDrop:
		if e := h.all[m.Account]; e != nil && e.owner == m.From && e.lost == 0 {
			delete(h.all, m.Account)
		}
		h.held(m, 0, 0, 0)
	}
}

func (h *Replica) held(m *Message, seq uint64, part, parts int) {
	h.out = append(
		h.out,
		Message{
			Kind:    MsgProgress,
			From:    h.name,
			To:      m.From,
			Account: m.Account,
			Life:    h.life,
			Seq:     seq,
			Part:    part,
			Parts:   parts,
			No:      m.No,
		},
	)
}

// steps plays what is new. Where something is missing in between, or the account is not known, it
// says so.
func (h *Replica) steps(m *Message) {
	e := h.all[m.Account]
	if e == nil || e.owner != m.From || e.led == nil || e.no != m.No {
		h.held(m, 0, 0, 0)
		return
	}
	if m.Seq <= e.seq {
		for _, s := range m.Steps[min(e.seq-m.Seq, uint64(len(m.Steps))):] {
			told, same := s.play(e.led)
			if !same {
				h.errs = append(h.errs, ErrDiverged)
				delete(h.all, m.Account)
				h.held(m, 0, 0, 0)
				return
			}
			if e.seq++; told != nil {
				h.told = append(h.told, OwnedStatement{e.owner, e.process, told})
			}
		}
	}
	h.held(m, e.seq, 0, 0)
}

// state puts an account together that comes in pieces.
func (h *Replica) state(m *Message) {
	if m.Parts < 1 || m.Parts > mostParts || m.Part < 0 || m.Part >= m.Parts || len(m.Bytes) > piece ||
		m.Set.Period <= 0 ||
		m.Set.Slice <= 0 {
		h.errs = append(h.errs, errors.New("accounts: a piece of an account that cannot be"))
		return
	}
	e := h.all[m.Account]
	switch {
	case e == nil && h.of(m.From) >= mostOf:
		return // those before it are ended soon
	case e == nil:
		e = &replicatedLedger{owner: m.From, process: m.Process}
		h.all[m.Account] = e
	case e.owner != m.From:
		return
	}
	if e.led != nil && m.Seq <= e.seq { // it is said again, or what is here goes further
		e.no = m.No
		h.held(m, e.seq, 0, 0)
		return
	}
	if e.partsOf != m.No || m.Part == 0 {
		e.parts, e.partsOf = nil, m.No
	}
	if m.Part == len(e.parts) {
		e.parts = append(e.parts, m.Bytes)
	}
	if len(e.parts) < m.Parts {
		h.held(m, m.Seq, len(e.parts), m.Parts)
		return
	}
	led, _, err := ledger.Recall(m.Set, slices.Concat(e.parts...))
	e.parts = nil
	if err == nil && (led.Life() != m.Account || m.Set.Instance != m.From) {
		err = errors.New("accounts: an account of " + m.Set.Instance + " from " + m.From)
	}
	if err != nil {
		h.errs = append(h.errs, err)
		return
	}
	e.led, e.seq, e.no = led, m.Seq, m.No
	for s, _ := led.Next(); s != nil; s, _ = led.Next() { // they may not have their names there
		h.told = append(h.told, OwnedStatement{e.owner, e.process, s})
		led.Exported(s)
	}
	h.held(m, e.seq, 0, 0)
}

// of is how many accounts of a runner are known.
func (h *Replica) of(owner string) (n int) {
	for _, e := range h.all {
		if e.owner == owner {
			n++
		}
	}
	return n
}

// Tick ends the accounts of those who have been lost for long enough.
func (h *Replica) Tick(now int64) {
	h.look(now)
	h.end(now - endAfter)
}

// Close ends the accounts of all who are lost, as this runner is about to go.
func (h *Replica) Close(now int64) { h.end(now) }

func (h *Replica) end(before int64) {
	for _, name := range slices.Sorted(maps.Keys(h.all)) {
		e := h.all[name]
		if e.lost == 0 || e.lost > before {
			continue
		}
		delete(h.all, name)
		if e.led == nil {
			continue
		}
		if s := e.led.End(); s != nil {
			h.told = append(h.told, OwnedStatement{e.owner, e.process, s})
		}
	}
}

// TakeMessages gives what is to be sent.
func (h *Replica) TakeMessages() []Message {
	out := h.out
	h.out = nil
	return out
}

// TakeStatements gives the statements that are to be written.
func (h *Replica) TakeStatements() []OwnedStatement {
	told := h.told
	h.told = nil
	return told
}

// TakeErrors gives what went wrong.
func (h *Replica) TakeErrors() []error {
	errs := h.errs
	h.errs = nil
	return errs
}

// PendingEnds tells how many accounts are of runners that are lost, and are to be ended.
func (h *Replica) PendingEnds() (n int) {
	for _, e := range h.all {
		if e.lost != 0 {
			n++
		}
	}
	return n
}

// Len tells how many accounts of others are known here.
func (h *Replica) Len() int { return len(h.all) }
