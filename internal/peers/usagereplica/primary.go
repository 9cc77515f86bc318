package usagereplica

import (
	"maps"
	"slices"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/usage/ledger"
)

// replicaProgress is one of those who are told, as the runner sees it.
type replicaProgress struct {
	life  uint64
	acked uint64 // it knows all up to this step
	sent  uint64 // and all up to this one is on its way
	at    int64  // when it was last said anything
	whole bool   // it has the account, and is told steps
	state []byte // that it is sent
	seq   uint64 // up to which step that goes
	part  int    // pieces of it that it has
	no    uint64 // which giving of the account that is
}

// Primary tells one account to its heirs. The account itself is its owner's.
type Primary struct {
	name    string
	account string
	process uint32
	set     ledger.Settings
	state   func() []byte // the account as it stands
	steps   []Operation
	base    uint64 // the number before the first of them
	heirs   map[string]*replicaProgress
	order   []string       // their names, sorted: the same messages are to come of the same
	former  map[string]int // and how often they are still told to let go
	version uint64
	given   uint64 // how often the account was given to anybody
	swept   int64
	out     []Message
}

// NewPrimary begins to tell an account that nobody else knows. Its steps count from 1, so that 0 is
// the word of who does not know it.
func NewPrimary(name, account string, process uint32, set ledger.Settings, state func() []byte) *Primary {
	return &Primary{
		name:    name,
		account: account,
		process: process,
		set:     set,
		state:   state,
		base:    1,
		heirs:   map[string]*replicaProgress{},
		former:  map[string]int{},
	}
}

// Append has a step told, and gives its number. The account has taken it already.
func (w *Primary) Append(s Operation) uint64 {
	w.steps = append(w.steps, s)
	return w.seq()
}

// LastSeq is the number of the last step.
func (w *Primary) LastSeq() uint64 { return w.seq() }

func (w *Primary) seq() uint64 { return w.base + uint64(len(w.steps)) }

// ReplicatedSeq is up to which step all heirs know the account. Where there is nobody else there is nobody
// to wait for.
func (w *Primary) ReplicatedSeq() uint64 {
	seq := w.seq()
	for _, h := range w.heirs {
		if !h.whole {
			return 0
		}
		seq = min(seq, h.acked)
	}
	return seq
}

// SetTable takes a newer table.
func (w *Primary) SetTable(t *placement.Table, now int64) {
	if t.Version <= w.version {
		return
	}
	w.version = t.Version
	want := map[string]uint64{}
	for _, m := range ReplicasOf(t, w.name) {
		want[m.Name] = m.Life
	}
	for name := range w.heirs {
		if _, ok := want[name]; !ok {
			delete(w.heirs, name)
			w.former[name] = dropTimes
		}
	}
	w.order = slices.Sorted(maps.Keys(want))
	for _, name := range w.order {
		delete(w.former, name)
		// what an earlier life knew may have gone with it
		if h := w.heirs[name]; h == nil || h.life != want[name] {
			w.heirs[name] = &replicaProgress{life: want[name]}
			w.offer(name, w.heirs[name], now)
		}
	}
	w.trim()
}

// offer sends the account as it stands, the first piece of it.
func (w *Primary) offer(name string, h *replicaProgress, now int64) {
	w.given++
	h.whole, h.state, h.seq, h.part, h.acked, h.no = false, w.state(), w.seq(), 0, 0, w.given
	w.offerOn(name, h, now)
}

func (h *replicaProgress) parts() int { return max((len(h.state)+piece-1)/piece, 1) }

func (w *Primary) offerOn(name string, h *replicaProgress, now int64) {
	h.at = now
	from := h.part * piece
	w.send(
		Message{
			Kind:  MsgSnapshot,
			To:    name,
			Seq:   h.seq,
			Part:  h.part,
			Parts: h.parts(),
			Bytes: h.state[from:min(from+piece, len(h.state))],
			Set:   w.set,
			No:    h.no,
		},
	)
}

func (w *Primary) send(m Message) {
	m.From, m.Account, m.Process = w.name, w.account, w.process
	w.out = append(w.out, m)
}

// Receive takes the word of an heir.
func (w *Primary) Receive(m *Message, now int64) {
	h := w.heirs[m.From]
	if m.Kind != MsgProgress || m.Account != w.account {
		return
	}
	if h == nil {
		if m.Seq == 0 {
			delete(w.former, m.From)
		}
		return
	}
	if m.Life != h.life || m.No != h.no { // it may have forgotten what it says
		return
	}
	switch {
	case !h.whole && m.Seq == h.seq && m.Part > h.part && m.Part < h.parts():
		h.part = m.Part
		w.offerOn(m.From, h, now)
	case !h.whole && m.Parts == 0 && m.Seq >= h.seq && m.Seq <= w.seq():
		h.whole, h.state, h.acked, h.sent = true, nil, m.Seq, m.Seq
	case h.whole && m.Seq > h.acked && m.Seq <= w.seq():
		h.acked = m.Seq
	case h.whole && m.Seq == 0: // it does not know the account
		w.offer(m.From, h, now)
	}
	w.trim()
	w.Flush(now)
}

// Flush tells heirs what they have not been told.
func (w *Primary) Flush(now int64) {
	for _, name := range w.order {
		h := w.heirs[name]
		for h.whole && h.sent < w.seq() && h.sent-h.acked < mostWay {
			if h.sent < w.base {
				w.offer(name, h, now)
				break
			}
			steps := w.steps[h.sent-w.base:]
			steps = steps[:min(len(steps), mostSteps)]
			w.send(Message{Kind: MsgAppend, To: name, Seq: h.sent, Steps: slices.Clone(steps), No: h.no})
			h.sent += uint64(len(steps))
			h.at = now
		}
	}
}

// Tick says again what had no answer.
func (w *Primary) Tick(now int64) {
	for _, name := range w.order {
		switch h := w.heirs[name]; {
		case now-h.at < resend:
		case !h.whole:
			w.offerOn(name, h, now)
		case h.acked < h.sent:
			h.sent = h.acked
		}
	}
	if now-w.swept >= 5*resend {
		w.swept = now
		for _, name := range slices.Sorted(maps.Keys(w.former)) {
			if w.ReplicatedSeq() < w.seq() { // it may still be the only one
				break
			}
			w.send(Message{Kind: MsgDrop, To: name})
			if w.former[name]--; w.former[name] <= 0 {
				delete(w.former, name)
			}
		}
	}
	w.Flush(now)
}

// trim forgets the steps that nobody needs any more.
func (w *Primary) trim() {
	least := w.seq()
	for _, h := range w.heirs {
		if h.whole {
			least = min(least, h.acked)
		} else {
			least = min(least, h.seq)
		}
	}
	if w.seq() > mostKept {
		least = max(least, w.seq()-mostKept)
	}
	if least > w.base {
		w.steps = slices.Clone(w.steps[least-w.base:])
		w.base = least
	}
}

// TakeMessages gives what is to be sent.
func (w *Primary) TakeMessages() []Message {
	out := w.out
	w.out = nil
	return out
}

// FullyReplicated tells whether there are heirs, and each has the account and is told what is new.
func (w *Primary) FullyReplicated() bool {
	for _, h := range w.heirs {
		if !h.whole {
			return false
		}
	}
	return len(w.heirs) > 0
}

// ReplicasOf tells who knows the account, and how many steps each is behind.
func (w *Primary) Lag() map[string]uint64 {
	all := map[string]uint64{}
	for name, h := range w.heirs {
		all[name] = w.seq() - h.acked
	}
	return all
}
