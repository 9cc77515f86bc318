package replication

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/wallclock"
)

// replayHint is the command that runs one seed again.
const replayHint = "RYEPADDLE_SEED=%d go test -run TestKeysRunOnceAndKeepTheirResultsUnderFaults " +
	"./internal/peers/replication"

// seedRange returns the first seed and the number of seeds. RYEPADDLE_FIRST sets the first seed and
// RYEPADDLE_SEEDS the number; RYEPADDLE_SEED selects a single seed.
func seedRange() (first uint64, count int) {
	first, count = 1, 30
	if n, err := strconv.Atoi(os.Getenv("RYEPADDLE_SEEDS")); err == nil {
		count = n
	}
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_SEED"), 10, 64); err == nil {
		first, count = n, 1
	}
	if n, err := strconv.ParseUint(os.Getenv("RYEPADDLE_FIRST"), 10, 64); err == nil {
		first = n
	}
	return first, count
}

// No key runs twice and no committed result is lost under random combinations of lost machines, old
// disks, suspended processes, cut links, and late or duplicate messages.
func TestKeysRunOnceAndKeepTheirResultsUnderFaults(t *testing.T) {
	t.Parallel()
	first, count := seedRange()
	served, refused, failed, broken := 0, 0, 0, 0
	for seed := first; seed < first+uint64(count); seed++ {
		c := play(seed, nil)
		if v := c.verdict(); v != "" {
			if broken++; broken <= 5 {
				t.Errorf("%s\nreplay (except for the Raft library's own random numbers) with: "+replayHint, v, seed)
			}
		}
		served, refused, failed = served+c.served, refused+c.refused, failed+c.failed
	}
	t.Logf("%d seeds: %d served, %d refused, %d failed, %d with violations", count, served, refused, failed, broken)
	if served < 40*count || count > 10 && refused == 0 {
		t.Error("too few attempts were served or refused for a meaningful test")
	}
}

// brokenVersions are versions of the program in which a key can run twice or lose its committed result.
// Each is emulated by changes to messages or tables.
var brokenVersions = []struct {
	name     string
	maxSeeds int
	change   func(c *cluster)
}{
	{"primary responds before its followers store", 200, func(c *cluster) { c.tamperMessage = acknowledgeEarly }},
	{"replica accepts records of older epochs", 300, func(c *cluster) { c.tamperMessage = acceptOldEpochs }},
	{"empty slot accepts keys without quarantine", 300, func(c *cluster) {
		c.tamperTable = func(t *placement.Table) {
			for i := range t.Slots {
				t.Slots[i].EmptyEpoch = 0
			}
		}
	}},
	{"replica with an old disk claims all records", 300, func(c *cluster) { c.tamperMessage = claimAllRecords }},
	{"run in doubt is granted again", 300, func(c *cluster) { c.tamperMessage = grantInDoubt }},
	{"catch-up drops the newest record", 300, func(c *cluster) { c.tamperMessage = dropNewest }},
	{"windows depend on the clocks of runners", 100, func(c *cluster) { c.tamperMessage = shiftWindows }},
	{"run at another runner is granted", 100, func(c *cluster) { c.tamperMessage = grantOwnedByOther }},
}

// appendResponse returns the response to a MsgAppend of a follower that stores all its records.
func (c *cluster) appendResponse(m *Message) Message {
	return Message{
		Type:        MsgAppendResp,
		From:        m.To,
		To:          m.From,
		Slot:        m.Slot,
		Epoch:       m.Epoch,
		Seq:         m.Seq,
		Incarnation: c.byName[m.To].replica.cfg.Incarnation,
		Serial:      m.Serial,
	}
}

func acknowledgeEarly(c *cluster, m *Message) []Message {
	if m.Type != MsgAppend {
		return []Message{*m}
	}
	late := *m
	c.after(c.randomDuration(100*ms, 600*ms), func() { c.deliverNow(late) })
	return []Message{c.appendResponse(m)}
}

func acceptOldEpochs(c *cluster, m *Message) []Message {
	to := c.byName[m.To]
	s := *to.replica.slotAt(m.Slot)
	if m.Type != MsgAppend || s == nil || m.Epoch >= s.epoch || !to.up {
		return []Message{*m}
	}
	for _, e := range m.Entries {
		s.store(e, c.now()+e.Remaining.Duration())
	}
	return []Message{c.appendResponse(m)}
}

func claimAllRecords(c *cluster, m *Message) []Message {
	s := *c.byName[m.To].replica.slotAt(m.Slot)
	if m.Type == MsgProbeResp && s != nil && m.Seq > 0 {
		m.Seq, m.Base = s.lastSeq, s.epochAt(s.lastSeq)
	}
	return []Message{*m}
}

func grantInDoubt(_ *cluster, m *Message) []Message {
	if m.Type == MsgPutResp && m.InDoubt {
		m.Outcome, m.InDoubt = OutcomeGranted, false
	}
	return []Message{*m}
}

func dropNewest(_ *cluster, m *Message) []Message {
	if m.Type == MsgAppend && len(m.Entries) > 1 {
		m.Entries = slices.Clone(m.Entries)[:len(m.Entries)-1]
	}
	return []Message{*m}
}

func shiftWindows(_ *cluster, m *Message) []Message {
	clockDifference := time.Duration(int(m.To[1])-int(m.From[1])) * time.Minute
	m.Entries = slices.Clone(m.Entries)
	for i := range m.Entries {
		m.Entries[i].Remaining += wallclock.MicrosOf(clockDifference)
	}
	return []Message{*m}
}

func grantOwnedByOther(_ *cluster, m *Message) []Message {
	if m.Type == MsgPutResp && m.Outcome == OutcomeOwnedByOther && !m.InDoubt {
		m.Outcome = OutcomeGranted
	}
	return []Message{*m}
}

// The checker finds a violation in each broken version within the version's number of seeds. Runs with
// the same seed differ in detail, because the Raft library randomizes its elections itself.
func TestBrokenVersionsAreFound(t *testing.T) {
	for _, version := range brokenVersions {
		t.Run(version.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(version.maxSeeds); seed++ {
				if v := play(seed, version.change).verdict(); v != "" {
					t.Logf("seed %d: %.120s", seed, v)
					return
				}
			}
			t.Errorf("no violation found within %d seeds", version.maxSeeds)
		})
	}
}
