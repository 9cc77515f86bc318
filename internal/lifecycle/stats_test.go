package lifecycle

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Requests of a class that was removed are accepted for a while, and its counts stay.
func TestRemovedClassIsAcceptedForGrace(t *testing.T) {
	c := newTestManager(t, 1)
	for _, words := range []string{"ask 1 check", "end 1 fine ok"} {
		if err := c.Send(strings.Fields(words)); err != nil {
			t.Fatal(err)
		}
	}
	next := c.settings
	next.Classes = slices.Clone(c.settings.Classes[1:])
	if _, err := c.Configure(next); err != nil {
		t.Fatal(err)
	}
	if _, ok := c.Class("check"); !ok || !c.IsRemovedClass("check") {
		t.Error("a class that was removed just now is not accepted")
	}
	c.pass(removedClassGrace)
	if _, ok := c.Class("check"); ok || !c.IsRemovedClass("check") || c.IsRemovedClass("never was") {
		t.Error("a class that was removed a while ago is accepted")
	}
	if diff := cmp.Diff(Stats{Read: 1, Served: 1, Attempts: 1}, c.StatsByClass()["check"]); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// countedRequests is a manager with random requests, whose answers are counted by the test too.
type countedRequests struct {
	*testManager
	t         *rapid.T
	answers   map[string]int64 // by the word for their status
	submitted int64
	abandoned int64
	withdrawn int64
	lastID    int
}

func (c *countedRequests) send(words ...string) {
	if err := c.Send(words); err != nil {
		c.t.Fatal(err)
	}
}

// sampleID draws the ID of a request that was submitted.
func (c *countedRequests) sampleID(t *rapid.T) string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(c.tickets))).Draw(t, "id")
}

// sampleRun draws the ID of a request that was run.
func (c *countedRequests) sampleRun(t *rapid.T) string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(c.runs))).Draw(t, "id")
}

func (c *countedRequests) ask(t *rapid.T) {
	c.lastID++
	class, key := "check", ""
	if rapid.Bool().Draw(t, "keyed") {
		class, key = "hand-in", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	}
	id := strconv.Itoa(c.lastID)
	// sometimes the ID of an earlier request, whether open or not
	if len(c.tickets) > 0 && rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		id = c.sampleID(t)
	}
	c.submitted++
	c.send("ask", id, class, key)
}

// leave abandons or withdraws a request.
func (c *countedRequests) leave(t *rapid.T) {
	if len(c.tickets) == 0 {
		return
	}
	r := c.requests[uint64(c.tickets[c.sampleID(t)])]
	switch open := r != nil && !r.answered; {
	case r == nil:
	case rapid.Bool().Draw(t, "withdrawn"):
		if open {
			c.withdrawn++
		}
		c.Manager.Withdraw(Ticket(r.id))
	default:
		if open {
			c.abandoned++
		}
		c.Manager.Abandon(Ticket(r.id))
	}
}

func (c *countedRequests) end(t *rapid.T) {
	if len(c.runs) > 0 {
		id := c.sampleRun(t)
		outcome := rapid.SampledFrom(slices.Sorted(maps.Keys(outcomeWords))).Draw(t, "outcome")
		c.send("end", id, outcome, "ok")
	}
}

func (c *countedRequests) need(t *rapid.T) {
	if len(c.runs) > 0 {
		c.send("need", c.sampleRun(t))
	}
}

func (c *countedRequests) called(t *rapid.T) {
	if len(c.runs) > 0 {
		id := c.sampleRun(t)
		outcome := rapid.SampledFrom([]string{"fine", "fault", "away", "out-of-time"}).Draw(t, "outcome")
		c.send("called", id, outcome)
	}
}

func (c *countedRequests) drain(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "odds") == 0 {
		c.send("drain", "3200")
	}
}

// check compares the manager's counts with those of the test.
func (c *countedRequests) check(*rapid.T) {
	for _, line := range c.seen {
		if w := strings.Fields(line); w[0] == "answer" && len(w) > 2 {
			c.answers[w[2]]++
		} else if w[0] == "answer" { // of a status that the script has no word for
			c.answers["conflict"]++
		}
	}
	c.seen = nil
	var sum Stats
	for _, s := range c.StatsByClass() {
		sum.add(s)
	}
	want := Stats{
		Read:       c.submitted,
		Served:     c.answers["served"],
		Rejected:   c.answers["refused"],
		Failed:     c.answers["failed"],
		Expired:    c.answers["late"],
		Conflicts:  c.answers["conflict"],
		Abandoned:  c.abandoned,
		Withdrawn:  c.withdrawn,
		Attempts:   sum.Attempts,
		Duplicates: sum.Duplicates,
	}
	if diff := cmp.Diff(want, c.Stats()); diff != "" {
		c.t.Fatalf("(-want +got)\n%s", diff)
	}
	open := sum.Read - sum.Served - sum.Rejected - sum.Faulted() - sum.Abandoned
	if open != int64(c.OpenRequests()) {
		c.t.Fatalf("%d have no end, and %d are open", open, c.OpenRequests())
	}
}

// Whatever happens, each request that was read has one end or is open, and the ends are the answers
// that callers got.
func TestRequestsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &countedRequests{testManager: newTestManager(t, 2), t: rt, answers: map[string]int64{}}
		rt.Repeat(map[string]func(*rapid.T){
			"ask":    c.ask,
			"gone":   c.leave,
			"end":    c.end,
			"need":   c.need,
			"called": c.called,
			"drain":  c.drain,
			"pass":   func(rt *rapid.T) { c.send("pass", strconv.Itoa(rapid.IntRange(1, 4000).Draw(rt, "ms"))) },
			"":       c.check,
		})
	})
}
