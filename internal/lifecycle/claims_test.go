package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryepaddle/internal/admission"
)

// logbook is what all processes of a runner have written, in order. Each reads it up to its end
// under the lock, and else when it likes.
type logbook struct {
	lines   []line
	members []*member
	lives   uint64
}

type line struct {
	life      uint64
	k         KeyRecord
	forgotten bool
}

// member is one process, as the core sees the claims.
type member struct {
	*table
	book *logbook
	life uint64
	read int
	dead bool
	fail bool // the disk takes nothing
}

func (b *logbook) join(t *testing.T, now time.Duration) *member {
	b.lives++
	m := &member{book: b, life: b.lives}
	m.table = newTableBeside(t, 1, m, m.life)
	m.pass(now - m.now)
	m.catchUp()
	for _, o := range b.members {
		if o.dead {
			m.OwnerDied(uint32(o.life))
		}
	}
	b.members = append(b.members, m)
	return m
}

func (m *member) catchUp() {
	for ; m.read < len(m.book.lines); m.read++ {
		if l := m.book.lines[m.read]; l.life != m.life {
			m.ApplyRemote(l.k, l.forgotten)
		}
	}
}

func (m *member) Reserve(k KeyRecord, _ time.Duration, free func() bool, done func(bool, error)) {
	m.catchUp()
	switch {
	case m.fail:
		done(false, errStoreTimeout)
	case !free():
		done(false, nil)
	default:
		m.write(k, false)
		done(true, nil)
	}
}

func (m *member) write(k KeyRecord, forgotten bool) {
	m.book.lines = append(m.book.lines, line{m.life, k, forgotten})
}
func (m *member) Ended(k KeyRecord)    { m.write(k, false) }
func (m *member) Released(k KeyRecord) { m.write(k, true) }

// Whatever two processes read when, and whichever of them is killed, a key runs once within its
// window, each request has one answer, and what is served is what the one run made.
func TestKeysRunOnceInTwoProcesses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &logbook{}
		one, two := b.join(t, time.Second), b.join(t, time.Second)
		// when a key ran last; whether a request was answered
		ran, answered := map[string]time.Duration{}, map[string]bool{}
		asked := map[string]string{} // keys by request
		last := 0
		look := func() {
			for _, m := range []*member{one, two} {
				for _, l := range m.seen {
					w := append(strings.Fields(l), "", "")
					key := asked[w[1]]
					switch w[0] {
					case "run":
						if at, before := ran[key]; before && m.now < at+13020*time.Millisecond {
							rt.Fatalf("key %s runs at %v and at %v", key, at, m.now)
						}
						ran[key] = m.now
					case "answer":
						if answered[w[1]] {
							rt.Fatalf("a second answer: %s", l)
						}
						if answered[w[1]] = true; w[2] == "served" && w[3] != key {
							rt.Fatalf("%s is served with %q", key, w[3])
						}
					}
				}
				m.seen = nil
			}
		}
		each := func(fn func(m *member)) {
			for _, m := range []*member{one, two} {
				fn(m)
			}
		}
		pick := func(rt *rapid.T) *member {
			if rapid.Bool().Draw(rt, "second") {
				return two
			}
			return one
		}
		send := func(m *member, words ...string) {
			if err := m.Send(words); err != nil {
				rt.Fatal(err)
			}
			look()
		}
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				last++
				id, key := strconv.Itoa(last), rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "key")
				asked[id] = key
				send(pick(rt), "ask", id, "hand-in", key)
			},
			"end": func(rt *rapid.T) {
				m := pick(rt)
				if len(m.runs) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.runs))).Draw(rt, "id")
					o := rapid.SampledFrom([]string{"fine", "fault", "not-run"}).Draw(rt, "outcome")
					if o == "not-run" && !m.runs[id].over {
						delete(ran, asked[id])
					}
					send(m, "end", id, o, asked[id])
				}
			},
			"gone": func(rt *rapid.T) {
				m := pick(rt)
				if len(m.ids) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.ids))).Draw(rt, "id")
					send(m, "gone", id)
				}
			},
			"read": func(rt *rapid.T) {
				pick(rt).catchUp()
				look()
			},
			"pass": func(rt *rapid.T) {
				ms := strconv.Itoa(rapid.IntRange(1, 6000).Draw(rt, "ms"))
				each(func(m *member) { send(m, "pass", ms) })
			},
			"disk": func(rt *rapid.T) { m := pick(rt); m.fail = !m.fail },
			"kill": func(rt *rapid.T) {
				if rapid.IntRange(0, 9).Draw(rt, "odds") > 0 {
					return
				}
				one.dead = true
				two.catchUp()
				two.OwnerDied(uint32(one.life))
				one, two = two, b.join(t, two.now)
				look()
			},
			"": func(rt *rapid.T) {
				each(func(m *member) {
					if n := m.OpenRequests(); n < 0 {
						rt.Fatalf("%d open", n)
					}
				})
			},
		})
		// all that is open is answered by its due time, whatever the other does
		each(func(m *member) {
			send(m, "pass", "3000")
			if n := m.OpenRequests(); n > 0 {
				rt.Fatalf("%d are still open", n)
			}
		})
	})
}

// The other process has read settings with a class that this one does not know yet.
func TestClaimOfAClassThatComesLater(t *testing.T) {
	b := &logbook{}
	one, two := b.join(t, time.Second), b.join(t, time.Second)
	more := one.settings
	more.Classes = append(
		slices.Clone(more.Classes),
		admission.Class{Name: "late-hand-in", LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 3,
			Idempotency: admission.IdempotentWithKey, IdempotencyWindow: 13 * time.Second},
	)
	configure := func(m *member) {
		if _, err := m.Configure(more); err != nil {
			t.Fatal(err)
		}
	}
	configure(one)
	if err := one.Send([]string{"ask", "1", "late-hand-in", "a"}); err != nil {
		t.Fatal(err)
	}
	two.catchUp()
	configure(two)
	if err := two.Send([]string{"ask", "2", "late-hand-in", "a"}); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(one.seen, two.seen); got != "[run 1] []" {
		t.Errorf("a key of a class that came later: %s", got)
	}
}

// What a repeat gets that meets a run of the other process, step by step.
func TestRepeatOfARunElsewhere(t *testing.T) {
	b := &logbook{}
	one, two := b.join(t, time.Second), b.join(t, time.Second)
	step := func(m *member, words string, want ...string) {
		t.Helper()
		m.seen = nil
		if words == "read" {
			m.catchUp()
		} else if err := m.Send(strings.Fields(words)); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(m.seen); got != fmt.Sprint(want) {
			t.Errorf("%s: %s, want %s", words, got, want)
		}
	}
	step(one, "ask 1 hand-in a", "run 1")
	step(two, "ask 2 hand-in a") // it was to run, and lost to the other's claim
	step(two, "ask 3 hand-in a")
	step(two, "gone 3")
	step(one, "end 1 fine graded", "answer 1 served graded")
	step(two, "read", "answer 2 served graded")
	step(two, "ask 4 hand-in a", "answer 4 served graded")
	step(two, "ask 5 hand-in b", "run 5")
	step(one, "ask 6 hand-in b")
	step(two, "end 5 not-run", "answer 5 refused")
	step(one, "read", "answer 6 refused") // which is true: it never ran
	step(one, "ask 7 hand-in b", "run 7")
	step(two, "ask 8 hand-in b")
	one.dead = true
	two.seen = nil
	if two.OwnerDied(uint32(one.life)); fmt.Sprint(two.seen) != "[answer 8 failed]" {
		t.Errorf("the process that ran it is dead: %v", two.seen)
	}
	two.fail = true
	step(two, "ask 9 hand-in c", "answer 9 refused")
	two.fail = false
	step(two, "ask 10 hand-in c", "run 10")
}
