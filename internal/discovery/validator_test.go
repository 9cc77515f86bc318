package discovery

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryepaddle/internal/inventory"
	"ryepaddle/internal/netaddr"
)

func servers(n int) (out []inventory.Server) {
	for i := range n {
		addr, err := netaddr.Parse(fmt.Sprintf("127.0.0.1:%d", 4000+i))
		if err != nil {
			panic(err)
		}
		out = append(
			out,
			inventory.Server{Name: fmt.Sprint("n", i), Addr: addr, Groups: []string{"g"}, Weight: 1},
		)
	}
	return out
}

// Files are read once after they have settled; files that keep changing are read all the same.
func TestFilesAreReadWhenTheyHaveSettled(t *testing.T) {
	i := New(Config{SettleTime: 100 * time.Microsecond, MaxShrink: 0.5}, 1, servers(4))
	for _, c := range []struct {
		mark Fingerprint
		now  int // microseconds
		read bool
	}{
		{1, 1000, false}, {2, 1010, false}, {2, 1100, false}, {2, 1110, true}, // rested
		// never does
		{3, 1120, false},
		{4, 1200, false},
		{5, 1290, false},
		{6, 1380, false},
		{7, 1470, false},
		{8, 1500, false},
		{9, 1510, true},
		{1, 1520, false}, {1, 2520, false}, // back to what holds
		{2, 2600, false}, {2, 2700, true},
	} {
		if got := i.Observe(c.mark, time.Duration(c.now)*time.Microsecond); got != c.read {
			t.Errorf("at %d it looks like %d: read %v", c.now, c.mark, got)
		}
	}
}

func TestInvalidAndShrunkListsAreRejected(t *testing.T) {
	bad := errors.New("a.csv:3: wrong")
	for name, c := range map[string]struct {
		after   Fingerprint
		servers []inventory.Server
		err     error
		verdict Verdict
		why     string
	}{
		"good":              {2, servers(5), nil, Accept, ""},
		"wrong":             {2, nil, bad, Reject, "a.csv:3: wrong"},
		"changed meanwhile": {3, nil, bad, Reread, ""},
		"half of it":        {2, servers(2), nil, Accept, ""},
		"much smaller": {
			2,
			servers(1),
			nil,
			Reject,
			"3 of 4 servers are gone from it at once, n1 the first of them: a HUP confirms it, if it is " +
				"meant",
		},
		"as many, and all others": {
			2,
			renamed(servers(4)),
			nil,
			Reject,
			"4 of 4 servers are gone from it at once, n0 the first of them: a HUP confirms it, if it is " +
				"meant",
		},
		"all switched off": {
			2,
			off(servers(4)),
			nil,
			Reject,
			"4 of 4 servers are gone from it at once, n0 the first of them: a HUP confirms it, if it is " +
				"meant",
		},
	} {
		t.Run(name, func(t *testing.T) {
			i := New(Config{MaxShrink: 0.5}, 1, servers(4))
			i.Observe(2, 10*time.Microsecond)
			v, err := i.Validate(2, c.after, c.servers, c.err, 10*time.Microsecond)
			why := ""
			if err != nil {
				why = err.Error()
			}
			if v != c.verdict || why != c.why || i.RejectReason() != c.why {
				t.Errorf("%v, %q, reason %q", v, why, i.RejectReason())
			}
			if again := i.Observe(c.after, 20*time.Microsecond); again != (v == Reread) {
				t.Errorf("read again: %v", again)
			}
			i.Accepted(c.after, c.servers) // a HUP
			if i.RejectReason() != "" || i.Observe(c.after, 30*time.Microsecond) {
				t.Error("what was confirmed is still refused, or read again")
			}
		})
	}
}

func renamed(s []inventory.Server) []inventory.Server {
	for i := range s {
		s[i].Name = "m" + s[i].Name
	}
	return s
}

func off(s []inventory.Server) []inventory.Server {
	for i := range s {
		s[i].Weight = 0
	}
	return s
}

func TestDifferenceCountsEnabledServers(t *testing.T) {
	old, next := servers(5), servers(6)[1:]
	next[0].Addr = servers(9)[8].Addr
	next[1].Weight = 3
	next[2].Zone = "solna"
	if got := Diff(old, next).String(); got != "1 came, 1 left, 1 moved, 2 changed" {
		t.Error(got)
	}
}

// However files change and whatever they hold, a list is accepted only if it is valid and keeps enough
// servers of the accepted one, and a valid list that settles is accepted in the end.
func TestOnlyValidListsAreAccepted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		held := servers(10)
		i := New(Config{SettleTime: 100 * time.Microsecond, MaxShrink: 0.3}, 1, held)
		now := time.Microsecond
		mark := Fingerprint(1)
		content := map[Fingerprint]int{1: 10} // servers; negative: it cannot be read
		step := func() {
			if !i.Observe(mark, now) {
				return
			}
			n, before := content[mark], mark
			var list []inventory.Server
			var err error
			if n < 0 {
				err = errors.New("wrong")
			} else {
				list = servers(n)
			}
			if v, _ := i.Validate(before, mark, list, err, now); v == Accept {
				if n < 0 || float64(len(held)-n) > 0.3*float64(len(held)) {
					rt.Fatalf("a list of %d is taken in place of %d", n, len(held))
				}
				held = list
				i.Accepted(before, list)
			}
		}
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, 60).Draw(rt, "wait")) * time.Microsecond
			if rapid.IntRange(0, 3).Draw(rt, "write") == 0 {
				mark = Fingerprint(rapid.IntRange(1, 6).Draw(rt, "mark"))
				if _, known := content[mark]; !known {
					content[mark] = rapid.IntRange(-3, 12).Draw(rt, "content")
				}
			}
			step()
		}
		mark, content[99] = 99, len(held)+1
		for range 4 {
			now += 60 * time.Microsecond
			step()
		}
		if len(held) != content[99] {
			rt.Fatalf("a good list that rests is not taken: %q", i.RejectReason())
		}
	})
}

// A SIGHUP brings a list while the watcher reads, or while its list is pending. The watcher's list may be
// older and must not be accepted after it; a shrunken list that SIGHUP confirmed would be rejected from
// then on.
func TestAHUPCrossesAListThatWasFound(t *testing.T) {
	const before, older, confirmed = Fingerprint(1), Fingerprint(2), Fingerprint(3)
	for name, c := range map[string]struct {
		first, last func(i *Validator) Verdict // the HUP's list is taken between them
		want        Verdict
	}{
		"it is being read": {
			func(*Validator) Verdict { return 0 },
			func(i *Validator) Verdict {
				v, _ := i.Validate(older, older, servers(5), nil, time.Millisecond)
				return v
			},
			Reread},
		"it waits to be taken": {
			func(i *Validator) Verdict {
				v, _ := i.Validate(older, older, servers(5), nil, time.Millisecond)
				return v
			},
			func(*Validator) Verdict { return Accept },
			Accept},
	} {
		t.Run(name, func(t *testing.T) {
			i := New(Config{SettleTime: 100 * time.Microsecond, MaxShrink: 0.5}, before, servers(4))
			i.Observe(older, 10*time.Microsecond)
			if !i.Observe(older, 110*time.Microsecond) {
				t.Fatal("it is not read")
			}
			c.first(i)
			i.Accepted(confirmed, servers(1))
			if got := c.last(i); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
			if i.IsPending(older) {
				t.Error("the older list would be taken")
			}
			if i.Observe(confirmed, 2000*time.Microsecond) || i.RejectReason() != "" {
				t.Errorf("the HUP's list is read again, or refused: %q", i.RejectReason())
			}
		})
	}
}
