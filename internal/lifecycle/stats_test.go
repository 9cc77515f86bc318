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

// Requests of a removed class are accepted for removedClassGrace, and the counts of the class are kept.
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
		t.Error("a class that was just removed is not accepted, or IsRemovedClass does not report it")
	}
	c.advance(removedClassGrace)
	if _, ok := c.Class("check"); ok || !c.IsRemovedClass("check") || c.IsRemovedClass("never was") {
		t.Error("after the grace a removed class is still accepted, or IsRemovedClass is wrong")
	}
	if diff := cmp.Diff(Stats{Read: 1, Served: 1, Attempts: 1}, c.StatsByClass()["check"]); diff != "" {
		t.Errorf("StatsByClass() of the removed class (-want +got):\n%s", diff)
	}
}

// countedRequests is a manager that gets random requests, whose answers the test counts as well.
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

// sampleRun draws the ID of a request that has run or runs.
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
	// Sometimes it has the ID of an earlier request, open or not.
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
		} else if w[0] == "answer" { // statusWords has no word for its status
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
		c.t.Fatalf("Stats() (-want +got):\n%s", diff)
	}
	open := sum.Read - sum.Served - sum.Rejected - sum.Faulted() - sum.Abandoned
	if open != int64(c.OpenRequests()) {
		c.t.Fatalf("%d requests are not counted as ended, but OpenRequests() = %d", open, c.OpenRequests())
	}
}

// Whatever happens, each request that was read is either counted once by how it ended or open, and the
// counts are those of the answers that the callers got.
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
