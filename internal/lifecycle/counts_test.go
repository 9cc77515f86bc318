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

// A class that is dropped is taken for a while, and what was counted of it stays.
func TestDroppedClass(t *testing.T) {
	c := newTable(t, 1)
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
		t.Error("a class that was dropped just now is not taken")
	}
	c.pass(removedClassGrace)
	if _, ok := c.Class("check"); ok || !c.IsRemovedClass("check") || c.IsRemovedClass("never was") {
		t.Error("a class that was dropped a while ago is taken")
	}
	if diff := cmp.Diff(Stats{Read: 1, Served: 1, Attempts: 1}, c.StatsByClass()["check"]); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// Whatever happens, each request that was read is in one end or open, and the ends are what callers
// were told.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newTable(t, 2)
		told := map[string]int64{}
		asked, gone, withdrawn, last := int64(0), int64(0), int64(0), 0
		check := func() {
			for _, line := range c.seen {
				if w := strings.Fields(line); w[0] == "answer" && len(w) > 2 {
					told[w[2]]++
				} else if w[0] == "answer" { // of a kind that the table has no word for
					told["misused"]++
				}
			}
			c.seen = nil
			var sum Stats
			for _, s := range c.StatsByClass() {
				sum.add(s)
			}
			if diff := cmp.Diff(Stats{Read: asked, Served: told["served"], Rejected: told["refused"], Failed: told["failed"], Expired: told["late"],
				Conflicts: told["misused"], Abandoned: gone, Withdrawn: withdrawn, Attempts: sum.Attempts, Repeats: sum.Repeats}, c.Stats()); diff != "" {
				rt.Fatalf("(-want +got)\n%s", diff)
			}
			if left := sum.Read - sum.Served - sum.Rejected - sum.Faulted() - sum.Abandoned; left != int64(
				c.OpenRequests(),
			) {
				rt.Fatalf("%d are in no end, and %d open", left, c.OpenRequests())
			}
		}
		send := func(words ...string) {
			if err := c.Send(words); err != nil {
				rt.Fatal(err)
			}
		}
		ids := func() []string { return slices.Sorted(maps.Keys(c.ids)) }
		runs := func() []string { return slices.Sorted(maps.Keys(c.runs)) }
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				last++
				class, key := "check", ""
				if rapid.Bool().Draw(rt, "keyed") {
					class, key = "hand-in", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				}
				id := strconv.Itoa(last)
				// an id that was there before, open or not
				if len(c.ids) > 0 && rapid.IntRange(0, 9).Draw(rt, "again") == 0 {
					id = rapid.SampledFrom(ids()).Draw(rt, "id")
				}
				asked++
				send("ask", id, class, key)
			},
			"gone": func(rt *rapid.T) {
				if len(c.ids) > 0 {
					r := c.requests[uint64(c.ids[rapid.SampledFrom(ids()).Draw(rt, "id")])]
					switch open := r != nil && !r.answered; {
					case r == nil:
					case rapid.Bool().Draw(rt, "withdrawn"):
						if open {
							withdrawn++
						}
						c.Manager.Withdraw(Ticket(r.id))
					default:
						if open {
							gone++
						}
						c.Manager.Abandon(Ticket(r.id))
					}
				}
			},
			"end": func(rt *rapid.T) {
				if len(c.runs) > 0 {
					send(
						"end",
						rapid.SampledFrom(runs()).Draw(rt, "id"),
						rapid.SampledFrom(slices.Sorted(maps.Keys(outcomes))).Draw(rt, "outcome"),
						"ok",
					)
				}
			},
			"need": func(rt *rapid.T) {
				if len(c.runs) > 0 {
					send("need", rapid.SampledFrom(runs()).Draw(rt, "id"))
				}
			},
			"called": func(rt *rapid.T) {
				if len(c.runs) > 0 {
					send(
						"called",
						rapid.SampledFrom(runs()).Draw(rt, "id"),
						rapid.SampledFrom(
							[]string{"fine", "fault", "away", "out-of-time"},
						).Draw(
							rt,
							"outcome",
						),
					)
				}
			},
			"pass": func(rt *rapid.T) { send("pass", strconv.Itoa(rapid.IntRange(1, 4000).Draw(rt, "ms"))) },
			"drain": func(rt *rapid.T) {
				if rapid.IntRange(0, 19).Draw(rt, "odds") == 0 {
					send("drain", "3200")
				}
			},
			"": func(*rapid.T) { check() },
		})
	})
}
