package replication

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/grid"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// No key runs twice and no promise is lost over any mix of lost machines, old disks, stops, cuts
// and late or repeated messages. RYEPADDLE_SEEDS says how many seeds are played and RYEPADDLE_FIRST
// from which on; RYEPADDLE_SEED plays one again.
func TestPromises(t *testing.T) {
	t.Parallel()
	first, count := uint64(1), 30
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_SEEDS")); err == nil {
		count = n
	}
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_SEED"), 10, 64); err == nil {
		first, count = n, 1
	}
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_FIRST"), 10, 64); err == nil {
		first = n
	}
	served, refused, failed, bad := 0, 0, 0, 0
	for seed := first; seed < first+uint64(count); seed++ {
		w := play(seed, 3+int(seed%7), 1+int(seed/7%2), nil)
		if v := w.verdict(); v != "" {
			if bad++; bad <= 5 {
				t.Errorf(
					"%s\nagain, but for the library's own draws, with: RYEPADDLE_SEED=%d go test -run TestPromises ./internal/peers/replication",
					v,
					seed,
				)
			}
		}
		served, refused, failed = served+w.served, refused+w.refused, failed+w.failed
	}
	t.Logf("%d seeds: %d served, %d refused, %d failed, %d seeds broken", count, served, refused, failed, bad)
	if served < 40*count || count > 10 && refused == 0 {
		t.Error("that tells nothing")
	}
}

// wrongly are versions of the program that break a promise: what they do otherwise is done to their
// messages and tables.
var wrongly = []struct {
	name   string
	within int // seeds, at the most
	make   func(w *world)
}{
	{"an answer goes out before its copy", 200, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			if m.Type != MsgAppend {
				return []Message{*m}
			}
			late := *m
			w.after(w.between(100*ms, 600*ms), func() { w.deliver(late) })
			return []Message{
				{
					Type:        MsgAppendResp,
					From:        m.To,
					To:          m.From,
					Slot:        m.Slot,
					Epoch:       m.Epoch,
					Seq:         m.Seq,
					Incarnation: w.lifeOf(m.To),
					Serial:      m.Serial,
				},
			}
		}
	}},
	{"a holder does not look at the epoch", 300, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			if s := *w.node(m.To).h.slotAt(m.Slot); m.Type == MsgAppend && s != nil && m.Epoch < s.epoch &&
				w.node(m.To).up {
				for _, e := range m.Entries {
					s.store(e, w.now+e.Remaining.Duration())
				}
				return []Message{
					{
						Type:        MsgAppendResp,
						From:        m.To,
						To:          m.From,
						Slot:        m.Slot,
						Epoch:       m.Epoch,
						Seq:         m.Seq,
						Incarnation: w.lifeOf(m.To),
						Serial:      m.Serial,
					},
				}
			}
			return []Message{*m}
		}
	}},
	{"a set that begins with nothing takes keys at once", 300, func(w *world) {
		w.retable = func(t *placement.Table) {
			for i := range t.Slots {
				t.Slots[i].EmptyEpoch = 0
			}
		}
	}},
	{"an old disk counts as whole", 300, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			if s := *w.node(m.To).h.slotAt(m.Slot); m.Type == MsgProbeResp && s != nil && m.Seq > 0 {
				m.Seq, m.Base = s.lastSeq, s.epochAt(s.lastSeq)
			}
			return []Message{*m}
		}
	}},
	{"what is in doubt is run again", 300, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			if m.Type == MsgPutResp && m.InDoubt {
				m.Outcome, m.InDoubt = OutcomeGranted, false
			}
			return []Message{*m}
		}
	}},
	{"repair drops the newest", 300, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			if m.Type == MsgAppend && len(m.Entries) > 1 {
				m.Entries = slices.Clone(m.Entries)[:len(m.Entries)-1]
			}
			return []Message{*m}
		}
	}},
	{"windows go by the time of day", 100, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			m.Entries = slices.Clone(m.Entries)
			for i := range m.Entries {
				m.Entries[i].Remaining += wallclock.MicrosOf(time.Duration(int(m.To[1])-int(m.From[1])) * time.Minute)
			}
			return []Message{*m}
		}
	}},
	{"a repeat of what runs elsewhere may run", 100, func(w *world) {
		w.tamper = func(w *world, m *Message) []Message {
			if m.Type == MsgPutResp && m.Outcome == OutcomeOwnedByOther && !m.InDoubt {
				m.Outcome = OutcomeGranted
			}
			return []Message{*m}
		}
	}},
}

func (w *world) lifeOf(name string) uint64 { return w.node(name).h.cfg.Incarnation }

// Each broken version is found within its number of seeds. The library draws its elections by
// itself, so that a seed does not play the same to the message; the numbers are some times what was
// seen.
func TestBrokenVersionsAreFound(t *testing.T) {
	for _, x := range wrongly {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(x.within); seed++ {
				if v := play(seed, 3+int(seed%7), 1+int(seed/7%2), x.make).verdict(); v != "" {
					t.Logf("seed %d: %.120s", seed, v)
					return
				}
			}
			t.Errorf("not within %d seeds", x.within)
		})
	}
}

// An answer to an ask of an earlier life of the process is not taken for one to an ask of this: the
// key would run without being kept.
func TestAnswersOfAnEarlierLife(t *testing.T) {
	ids := map[uint64]bool{}
	for life := range uint64(50) {
		h := New(Config{Name: "n2", Incarnation: life + 1, QuorumTimeout: lease}, nil, 0)
		table, err := placement.New(4, 1)
		if err != nil {
			t.Fatal(err)
		}
		for i, name := range []string{"n1", "n2"} {
			table.Apply(
				placement.Change{
					Kind:   placement.ChangeJoin,
					Member: placement.Member{Name: name, Incarnation: life + 1, Process: uint32(i + 1)},
				},
			)
		}
		h.SetTable(table, time.Microsecond)
		told := 0
		for k := range 40 {
			h.Put(
				&store.Record{
					Kind: store.RunStarted,
					Name: store.KeyName{Class: "hand-in", Key: string(rune('a' + k))},
				},
				second,
				second,
				2*time.Microsecond,
				func(Result) { told++ },
			)
		}
		for _, m := range h.TakeMessages() {
			if m.Type != MsgPut {
				continue
			}
			if ids[m.RequestID] {
				t.Fatalf("number %d is used in two lives", m.RequestID)
			}
			ids[m.RequestID] = true
			// of an end, which it did not ask about
			h.Receive(
				&Message{Type: MsgPutResp, From: m.To, To: "n2", Slot: m.Slot, RequestID: m.RequestID, Outcome: OutcomeStored},
				3*time.Microsecond,
			)
		}
		if told > 0 {
			t.Fatal("a beginning is answered as an end is")
		}
	}
	if len(ids) < 50 {
		t.Errorf("%d asks tell nothing", len(ids))
	}
}

// Who is joining is sent no more than the rate says, and all of it in the end; one without which
// nothing counts as kept gets what it lacks at once.
func TestRate(t *testing.T) {
	const records, size, rate = 100, 1000, 20_000
	for _, joining := range []bool{true, false} {
		table, err := placement.New(1, 1)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"n1", "n2"} {
			table.Apply(
				placement.Change{
					Kind:   placement.ChangeJoin,
					Member: placement.Member{Name: name, Incarnation: 1, Process: 1},
				},
			)
		}
		if !joining {
			table.Apply(
				placement.Change{
					Kind:   placement.ChangeCaughtUp,
					Member: *table.Member("n2"),
					Epoch:  table.Slots[0].Epoch,
				},
			)
		}
		h := New(
			Config{Name: "n1", Incarnation: 1, QuorumTimeout: 1000 * second, CatchUpRate: rate},
			nil,
			0,
		)
		h.SetTable(table, time.Microsecond)
		for i := range records {
			h.slots[0].append(
				&store.Record{
					Kind:   store.RunEnded,
					Name:   store.KeyName{Key: strconv.Itoa(i)},
					Result: &store.Result{Body: make([]byte, size)},
				},
				1000*second,
			)
		}
		h.Receive(&Message{Type: MsgProbeResp, From: "n2", Incarnation: 1, Serial: 1, Epoch: h.slots[0].epoch}, 2*time.Microsecond)
		held, now, no := uint64(0), 2*time.Microsecond, uint64(1)
		for ; held < records && now < 60*second; now += 10 * ms {
			h.Tick(now)
			for _, m := range h.TakeMessages() {
				if m.Type != MsgAppend {
					continue
				}
				no++
				held = m.Seq
				h.Receive(
					&Message{Type: MsgAppendResp, From: "n2", Incarnation: 1, Serial: no, Epoch: m.Epoch, Seq: m.Seq},
					now,
				)
			}
		}
		if want := second * records * (size + 128) / rate; held < records ||
			joining && (now < want*9/10 || now > want*12/10) ||
			!joining && now > second {
			t.Errorf("joining %v: it has %d records after %v", joining, held, now)
		}
	}
}

// At its bound a holder takes no new keys, keeps what it has taken, and takes new ones once windows
// are over.
func TestMemoryAtItsBound(t *testing.T) {
	table, err := placement.New(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"n1", "n2"} {
		table.Apply(
			placement.Change{
				Kind:   placement.ChangeJoin,
				Member: placement.Member{Name: name, Incarnation: 1, Process: 1},
			},
		)
	}
	table.Apply(
		placement.Change{
			Kind:   placement.ChangeCaughtUp,
			Member: *table.Member("n2"),
			Epoch:  table.Slots[0].Epoch,
		},
	)
	table.Slots[0].EmptyEpoch = 0
	h := New(Config{Name: "n1", Incarnation: 1, QuorumTimeout: 1000 * second, MaxBytes: 10_000}, nil, 0)
	now, no := time.Microsecond, uint64(0)
	h.SetTable(table, now)
	answer := func() { // the other holder keeps all
		for _, m := range h.TakeMessages() {
			no++
			reply := &Message{Type: MsgAppendResp, From: "n2", Incarnation: 1, Serial: no, Epoch: m.Epoch, Seq: m.Seq}
			if m.Type == MsgProbe {
				reply.Type = MsgProbeResp
			}
			h.Receive(reply, now)
		}
	}
	put := func(key string, kind store.RecordKind, size int) (a Result) {
		r := &store.Record{Kind: kind, Name: store.KeyName{Key: key}, Owner: 1 << 32}
		if size > 0 {
			r.Result = &store.Result{Body: make([]byte, size)}
		}
		h.RecordQuorumContact(now)
		h.Put(r, 500*ms, 100*ms, now, func(x Result) { a = x })
		for range 3 {
			now += ms
			h.Tick(now)
			answer()
		}
		return a
	}
	answer()
	taken := 0
	for ; taken < 100; taken++ {
		key := strconv.Itoa(taken)
		a := put(key, store.RunStarted, 0)
		if a.Outcome == OutcomeUnavailable {
			if a.RetryAfter != memoryRetryAfter {
				t.Errorf("it says to come back after %v", a.RetryAfter)
			}
			break
		}
		if a.Outcome != OutcomeGranted {
			t.Fatalf("%s: %+v", key, a)
		}
		if a = put(key, store.RunEnded, 2000); a.Outcome != OutcomeStored {
			t.Fatalf("the end of %s: %+v", key, a)
		}
	}
	if taken < 4 || taken > 6 || len(h.slots[0].items) != taken {
		t.Errorf("%d keys are taken, %d held", taken, len(h.slots[0].items))
	}
	now += 500*ms + readGrace + 2*sweepInterval
	if h.Tick(now); len(h.slots[0].items) > 0 || h.slots[0].bytes != 0 {
		t.Errorf("%d keys of %d bytes are left", len(h.slots[0].items), h.slots[0].bytes)
	}
	h.Tick(now + ms)
	if a := put("new", store.RunStarted, 0); a.Outcome != OutcomeGranted {
		t.Errorf("a key after that: %+v", a)
	}
}

// Days at 5 to 300 runners, for a run by hand: RYEPADDLE_FLEETS names the chart that is made of
// what each runner says and of its links. A runner gets two keys a second whatever the size;
// runners are lost, stopped and cut off meanwhile, and no promise is broken.
func TestFleets(t *testing.T) {
	file := os.Getenv("RYEPADDLE_FLEETS")
	if file == "" {
		t.Skip("RYEPADDLE_FLEETS names no chart")
	}
	var said, links plotter.XYs
	for _, runners := range []int{5, 20, 100, 300} {
		w := newWorld(uint64(runners), runners, 2, 256)
		if w.grid = nil; runners > 32 {
			w.grid = grid.New(slices.Collect(maps.Keys(w.named)), 32)
		}
		w.run(window + readGrace + second)
		const over = 20 * second
		for _, n := range w.nodes {
			n.sent = 0
			clear(n.links)
		}
		for k := range 2 * runners * int(over/second) {
			key, first := fmt.Sprint("k", k), w.between(0, over)
			for range 2 {
				at := first + w.between(0, second)
				w.after(at, func() {
					if n := w.nodes[w.r.IntN(runners)]; n.up && !n.stopped {
						n.try(key, first+window-at)
					}
				})
			}
		}
		w.run(w.now + over)
		most, mean, near := 0, 0, 0
		for _, n := range w.nodes[5:] { // that do not vote
			most, mean, near = max(most, n.sent), mean+n.sent, max(near, len(n.links))
		}
		if runners == 5 {
			for _, n := range w.nodes {
				most, mean, near = max(most, n.sent), mean+n.sent, max(near, len(n.links))
			}
		}
		each := float64(mean) / float64(max(runners-5, 5)) / over.Seconds()
		said, links = append(
			said,
			plotter.XY{X: float64(runners), Y: each},
		), append(
			links,
			plotter.XY{X: float64(runners), Y: float64(near)},
		)
		calm := w.served
		for range 6 { // the day goes on with faults
			n := w.nodes[w.r.IntN(runners)]
			w.after(w.between(0, 5*second), func() {
				if w.r.IntN(2) == 0 {
					n.crash(second, "empty")
				} else {
					n.stop(3 * second)
				}
			})
		}
		for k := range 2 * runners * 5 {
			key, first := fmt.Sprint("f", k), w.between(0, 5*second)
			for range 4 {
				at := first + w.between(0, window-second)
				w.after(at, func() {
					if n := w.nodes[w.r.IntN(runners)]; n.up && !n.stopped {
						n.try(key, first+window-at)
					}
				})
			}
		}
		w.run(w.now + 5*second + window + 2*second)
		if v := w.verdict(); v != "" {
			t.Errorf("%d runners: %s", runners, v)
		}
		t.Logf(
			"%d runners: %.0f messages a second by one that does not vote, at most %d links; %d served, then with faults %d, %d refused, %d failed",
			runners,
			each,
			near,
			calm,
			w.served-calm,
			w.refused,
			w.failed,
		)
	}
	p := plot.New()
	p.Title.Text = "What one runner that does not vote says, and to how many"
	p.X.Label.Text, p.Y.Label.Text = "runners", "messages a second; links"
	p.Y.Min = 0
	if err := plotutil.AddLinePoints(p, "messages a second", said, "links", links); err != nil {
		t.Fatal(err)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		t.Fatal(err)
	}
}
