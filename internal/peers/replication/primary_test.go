package replication

import (
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/placement"
)

// pairTable returns the table of two runners n1 and n2. n2 is joining, or a replica of slot 0 if caughtUp
// is set.
func pairTable(t *testing.T, slots int, incarnation uint64, caughtUp bool) *placement.Table {
	t.Helper()
	table, err := placement.New(slots, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i, name := range []string{"n1", "n2"} {
		member := placement.Member{Name: name, Incarnation: incarnation, Process: uint32(i + 1)}
		table.Apply(placement.Change{Kind: placement.ChangeJoin, Member: member})
	}
	if caughtUp {
		second := *table.Member("n2")
		table.Apply(placement.Change{Kind: placement.ChangeCaughtUp, Member: second, Epoch: table.Slots[0].Epoch})
	}
	return table
}

// Guards against taking a response to an earlier incarnation's request for one to a current request: the
// key would run without being replicated. Request IDs must differ between incarnations, and a response
// of the wrong kind must be ignored.
func TestResponseToAnEarlierIncarnationIsIgnored(t *testing.T) {
	ids := map[uint64]bool{}
	for incarnation := uint64(1); incarnation <= 50; incarnation++ {
		r := New(Config{Name: "n2", Incarnation: incarnation, QuorumTimeout: quorumTimeout}, nil, 0)
		r.SetTable(pairTable(t, 4, incarnation, false), time.Microsecond)
		results := 0
		for k := range 40 {
			name := store.KeyName{Class: "hand-in", Key: string(rune('a' + k))}
			record := &store.Record{Kind: store.RunStarted, Name: name}
			r.Put(record, second, second, 2*time.Microsecond, func(Result) { results++ })
		}
		for _, m := range r.TakeMessages() {
			if m.Type != MsgPut {
				continue
			}
			if ids[m.RequestID] {
				t.Fatalf("request ID %d is used in two incarnations", m.RequestID)
			}
			ids[m.RequestID] = true
			r.Receive(&Message{ // response to the end of a run, which was not requested
				Type:      MsgPutResp,
				From:      m.To,
				To:        "n2",
				Slot:      m.Slot,
				RequestID: m.RequestID,
				Outcome:   OutcomeStored,
			}, 3*time.Microsecond)
		}
		if results > 0 {
			t.Fatal("OutcomeStored was accepted as the response to the beginning of a run")
		}
	}
	if len(ids) < 50 {
		t.Errorf("number of requests = %d, want at least 50", len(ids))
	}
}

// The catch-up rate limits the records sent to a joining replica, which still gets all of them. A replica
// that commits wait for gets the records that it lacks at once.
func TestOnlyJoiningReplicasAreHeldToTheCatchUpRate(t *testing.T) {
	const records, size, rate = 100, 1000, 20_000
	for _, joining := range []bool{true, false} {
		r := New(Config{Name: "n1", Incarnation: 1, QuorumTimeout: 1000 * second, CatchUpRate: rate}, nil, 0)
		r.SetTable(pairTable(t, 1, 1, !joining), time.Microsecond)
		s := r.slots[0]
		for i := range records {
			record := &store.Record{
				Kind:   store.RunEnded,
				Name:   store.KeyName{Key: strconv.Itoa(i)},
				Result: &store.Result{Body: make([]byte, size)},
			}
			s.append(record, 1000*second)
		}
		serial := uint64(1)
		probed := &Message{Type: MsgProbeResp, From: "n2", Incarnation: 1, Serial: serial, Epoch: s.epoch}
		r.Receive(probed, 2*time.Microsecond)
		stored, now := uint64(0), 2*time.Microsecond
		for ; stored < records && now < 60*second; now += 10 * ms {
			r.Tick(now)
			for _, m := range r.TakeMessages() {
				if m.Type != MsgAppend {
					continue
				}
				serial++
				stored = m.Seq
				r.Receive(&Message{
					Type:        MsgAppendResp,
					From:        "n2",
					Incarnation: 1,
					Serial:      serial,
					Epoch:       m.Epoch,
					Seq:         m.Seq,
				}, now)
			}
		}
		if want := second * records * (size + recordOverhead) / rate; stored < records ||
			joining && (now < want*9/10 || now > want*12/10) ||
			!joining && now > second {
			t.Errorf(
				"joining = %v: follower has %d records after %v, want all at the catch-up rate if joining, else in 1s",
				joining, stored, now,
			)
		}
	}
}

// boundedPrimary is a primary with a memory bound and one follower that stores all records.
type boundedPrimary struct {
	replica *Replica
	now     time.Duration
	serial  uint64
}

// answer delivers the follower's responses to all messages of the primary.
func (p *boundedPrimary) answer() {
	for _, m := range p.replica.TakeMessages() {
		p.serial++
		response := &Message{
			Type:        MsgAppendResp,
			From:        "n2",
			Incarnation: 1,
			Serial:      p.serial,
			Epoch:       m.Epoch,
			Seq:         m.Seq,
		}
		if m.Type == MsgProbe {
			response.Type = MsgProbeResp
		}
		p.replica.Receive(response, p.now)
	}
}

// put puts a record with a result of resultBytes, and returns the Result.
func (p *boundedPrimary) put(key string, kind store.RecordKind, resultBytes int) (result Result) {
	record := &store.Record{Kind: kind, Name: store.KeyName{Key: key}, Owner: 1 << 32}
	if resultBytes > 0 {
		record.Result = &store.Result{Body: make([]byte, resultBytes)}
	}
	p.replica.RecordQuorumContact(p.now)
	p.replica.Put(record, 500*ms, 100*ms, p.now, func(x Result) { result = x })
	for range 3 {
		p.now += ms
		p.replica.Tick(p.now)
		p.answer()
	}
	return result
}

// At the memory bound a primary rejects new keys but still stores the ends of runs that began. It accepts
// new keys again once the windows of stored keys are over.
func TestNewKeysAreRejectedAtTheMemoryBound(t *testing.T) {
	table := pairTable(t, 1, 1, true)
	table.Slots[0].EmptyEpoch = 0
	p := &boundedPrimary{
		replica: New(Config{Name: "n1", Incarnation: 1, QuorumTimeout: 1000 * second, MaxBytes: 10_000}, nil, 0),
		now:     time.Microsecond,
	}
	p.replica.SetTable(table, p.now)
	p.answer()
	s := p.replica.slots[0]
	accepted := 0
	for ; accepted < 100; accepted++ {
		key := strconv.Itoa(accepted)
		result := p.put(key, store.RunStarted, 0)
		if result.Outcome == OutcomeUnavailable {
			if result.RetryAfter != memoryRetryAfter {
				t.Errorf("RetryAfter at the memory bound = %v, want memoryRetryAfter", result.RetryAfter)
			}
			break
		}
		if result.Outcome != OutcomeGranted {
			t.Fatalf("Put of the beginning of key %s: result = %+v, want OutcomeGranted", key, result)
		}
		if result = p.put(key, store.RunEnded, 2000); result.Outcome != OutcomeStored {
			t.Fatalf("Put of the end of key %s: result = %+v, want OutcomeStored", key, result)
		}
	}
	if accepted < 4 || accepted > 6 || len(s.items) != accepted {
		t.Errorf("accepted keys = %d, want 4 to 6; stored keys = %d, want as many", accepted, len(s.items))
	}
	p.now += 500*ms + readGrace + 2*sweepInterval
	if p.replica.Tick(p.now); len(s.items) > 0 || s.bytes != 0 {
		t.Errorf("after the windows: %d keys and %d bytes are stored, want none", len(s.items), s.bytes)
	}
	p.replica.Tick(p.now + ms)
	if result := p.put("new", store.RunStarted, 0); result.Outcome != OutcomeGranted {
		t.Errorf("Put of a new key after the windows: result = %+v, want OutcomeGranted", result)
	}
}
