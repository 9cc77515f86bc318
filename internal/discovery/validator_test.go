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

// Files are read once when they have not changed for the settle time. Files that keep changing are read
// after maxSettleFactor settle times.
func TestFilesAreReadWhenTheyHaveSettled(t *testing.T) {
	validator := New(Config{SettleTime: 100 * time.Microsecond, MaxShrink: 0.5}, 1, servers(4))
	for _, c := range []struct {
		fingerprint Fingerprint
		now         int // microseconds
		due         bool
	}{
		{1, 1000, false}, {2, 1010, false}, {2, 1100, false}, {2, 1110, true}, // settled
		// never settles
		{3, 1120, false},
		{4, 1200, false},
		{5, 1290, false},
		{6, 1380, false},
		{7, 1470, false},
		{8, 1500, false},
		{9, 1510, true},
		{1, 1520, false}, {1, 2520, false}, // back to the accepted list
		{2, 2600, false}, {2, 2700, true},
	} {
		if got := validator.Observe(c.fingerprint, time.Duration(c.now)*time.Microsecond); got != c.due {
			t.Errorf("at %d µs, fingerprint %d: unexpected due = %v", c.now, c.fingerprint, got)
		}
	}
}

func TestInvalidAndShrunkListsAreRejected(t *testing.T) {
	bad := errors.New("a.csv:3: bad address")
	for name, c := range map[string]struct {
		after   Fingerprint
		servers []inventory.Server
		err     error
		verdict Verdict
		why     string
	}{
		"good":                {2, servers(5), nil, Accept, ""},
		"invalid":             {2, nil, bad, Reject, "a.csv:3: bad address"},
		"changed while read":  {3, nil, bad, Reread, ""},
		"half of the servers": {2, servers(2), nil, Accept, ""},
		"much smaller": {
			2,
			servers(1),
			nil,
			Reject,
			"3 of 4 servers are missing from the new list, the first is n1: send SIGHUP to accept the " +
				"list if this is intended",
		},
		"same size, all servers replaced": {
			2,
			renamed(servers(4)),
			nil,
			Reject,
			"4 of 4 servers are missing from the new list, the first is n0: send SIGHUP to accept the " +
				"list if this is intended",
		},
		"all servers disabled": {
			2,
			disabled(servers(4)),
			nil,
			Reject,
			"4 of 4 servers are missing from the new list, the first is n0: send SIGHUP to accept the " +
				"list if this is intended",
		},
	} {
		t.Run(name, func(t *testing.T) {
			validator := New(Config{MaxShrink: 0.5}, 1, servers(4))
			validator.Observe(2, 10*time.Microsecond)
			verdict, err := validator.Validate(2, c.after, c.servers, c.err, 10*time.Microsecond)
			why := ""
			if err != nil {
				why = err.Error()
			}
			if verdict != c.verdict || why != c.why || validator.RejectReason() != c.why {
				t.Errorf("Validate() = %v, %q, RejectReason() = %q, want those of the case",
					verdict, why, validator.RejectReason())
			}
			if again := validator.Observe(c.after, 20*time.Microsecond); again != (verdict == Reread) {
				t.Errorf("Observe() after Validate() = %v, want true only after Reread", again)
			}
			validator.Accepted(c.after, c.servers) // as after a SIGHUP
			if validator.RejectReason() != "" || validator.Observe(c.after, 30*time.Microsecond) {
				t.Error("the list that SIGHUP accepted is still rejected, or due to be read again")
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

func disabled(s []inventory.Server) []inventory.Server {
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
		t.Errorf("Diff() = %s, want 1 came, 1 left, 1 moved, 2 changed", got)
	}
}

// Files change at random times to random contents. A list must be accepted only if it is valid and has
// enough of the accepted servers, and a valid list that stays unchanged must be accepted in the end.
func TestOnlyValidListsAreAccepted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		accepted := servers(10)
		validator := New(Config{SettleTime: 100 * time.Microsecond, MaxShrink: 0.3}, 1, accepted)
		now := time.Microsecond
		fingerprint := Fingerprint(1)
		content := map[Fingerprint]int{1: 10} // servers by fingerprint; negative: not readable
		step := func() {
			if !validator.Observe(fingerprint, now) {
				return
			}
			n, before := content[fingerprint], fingerprint
			var list []inventory.Server
			var err error
			if n < 0 {
				err = errors.New("invalid list")
			} else {
				list = servers(n)
			}
			if verdict, _ := validator.Validate(before, fingerprint, list, err, now); verdict == Accept {
				if n < 0 || float64(len(accepted)-n) > 0.3*float64(len(accepted)) {
					rt.Fatalf("a list of %d servers was accepted in place of %d", n, len(accepted))
				}
				accepted = list
				validator.Accepted(before, list)
			}
		}
		for range 200 {
			now += time.Duration(rapid.Int64Range(0, 60).Draw(rt, "wait")) * time.Microsecond
			if rapid.IntRange(0, 3).Draw(rt, "write") == 0 {
				fingerprint = Fingerprint(rapid.IntRange(1, 6).Draw(rt, "fingerprint"))
				if _, known := content[fingerprint]; !known {
					content[fingerprint] = rapid.IntRange(-3, 12).Draw(rt, "content")
				}
			}
			step()
		}
		fingerprint, content[99] = 99, len(accepted)+1
		for range 4 {
			now += 60 * time.Microsecond
			step()
		}
		if len(accepted) != content[99] {
			rt.Fatalf("an unchanged valid list was not accepted: reject reason = %q", validator.RejectReason())
		}
	})
}

// SIGHUP accepts a list while the watcher reads the files, or while the watcher's list is pending. The
// watcher's list may be older and must not be accepted afterwards: the shrunken list that SIGHUP confirmed
// would be rejected from then on.
func TestSIGHUPSupersedesAnOlderList(t *testing.T) {
	const before, older, confirmed = Fingerprint(1), Fingerprint(2), Fingerprint(3)
	for name, c := range map[string]struct {
		first, last func(validator *Validator) Verdict // before and after SIGHUP's list is accepted
		want        Verdict
	}{
		"while the list is read": {
			func(*Validator) Verdict { return 0 },
			func(validator *Validator) Verdict {
				verdict, _ := validator.Validate(older, older, servers(5), nil, time.Millisecond)
				return verdict
			},
			Reread},
		"while the list is pending": {
			func(validator *Validator) Verdict {
				verdict, _ := validator.Validate(older, older, servers(5), nil, time.Millisecond)
				return verdict
			},
			func(*Validator) Verdict { return Accept },
			Accept},
	} {
		t.Run(name, func(t *testing.T) {
			validator := New(Config{SettleTime: 100 * time.Microsecond, MaxShrink: 0.5}, before, servers(4))
			validator.Observe(older, 10*time.Microsecond)
			if !validator.Observe(older, 110*time.Microsecond) {
				t.Fatal("Observe() = false, want the settled files due")
			}
			c.first(validator)
			validator.Accepted(confirmed, servers(1))
			if got := c.last(validator); got != c.want {
				t.Errorf("verdict = %d, want %d", got, c.want)
			}
			if validator.IsPending(older) {
				t.Error("the older list is still pending")
			}
			if validator.Observe(confirmed, 2000*time.Microsecond) || validator.RejectReason() != "" {
				t.Errorf("SIGHUP's list is due to be read again, or rejected: reject reason = %q",
					validator.RejectReason())
			}
		})
	}
}
