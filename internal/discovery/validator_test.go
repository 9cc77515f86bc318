package discovery

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// Files are read once they rest, and once each; those that never rest are read all the same.
func TestSettling(t *testing.T) {
	i := New(Config{SettleTime: 100, MaxShrink: 0.5}, 1, servers(4))
	for _, c := range []struct {
		mark Fingerprint
		now  int64
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
		if got := i.Observe(c.mark, c.now); got != c.read {
			t.Errorf("at %d it looks like %d: read %v", c.now, c.mark, got)
		}
	}
}

func TestVerdicts(t *testing.T) {
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
			i.Observe(2, 10)
			v, err := i.Validate(2, c.after, c.servers, c.err, 10)
			why := ""
			if err != nil {
				why = err.Error()
			}
			if v != c.verdict || why != c.why || i.RejectReason() != c.why {
				t.Errorf("%v, %q, reason %q", v, why, i.RejectReason())
			}
			if again := i.Observe(c.after, 20); again != (v == Reread) {
				t.Errorf("read again: %v", again)
			}
			i.Accepted(c.after, c.servers) // a HUP
			if i.RejectReason() != "" || i.Observe(c.after, 30) {
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

func TestDiff(t *testing.T) {
	old, next := servers(5), servers(6)[1:]
	next[0].Addr = servers(9)[8].Addr
	next[1].Weight = 3
	next[2].Zone = "solna"
	if got := Diff(old, next).String(); got != "1 came, 1 left, 1 moved, 2 changed" {
		t.Error(got)
	}
}

// However files change and whatever is in them, a list is taken only if it is whole and keeps
// enough of the one that holds, and a good one that rests is taken in the end.
func TestOnlyGoodListsAreTaken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		held := servers(10)
		i := New(Config{SettleTime: 100, MaxShrink: 0.3}, 1, held)
		now := int64(1)
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
			now += rapid.Int64Range(0, 60).Draw(rt, "wait")
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
			now += 60
			step()
		}
		if len(held) != content[99] {
			rt.Fatalf("a good list that rests is not taken: %q", i.RejectReason())
		}
	})
}

// The watcher sees files that are written, replaced, half-written, gone and back, variables beside
// them, and folders.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "hosts.yml")
	write := func(name, text string) {
		t.Helper()
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hosts := func(n int) string {
		return fmt.Sprintf("g:\n  vars: {ansible_host: 127.0.0.1}\n  hosts:\n    n[1:%d]: {}\n", n)
	}
	for i := range 9 {
		write(fmt.Sprintf("host_vars/n%d.yml", i), fmt.Sprintf("uwsgi_port: %d\n", 4000+i))
	}
	write("hosts.yml", hosts(3))
	mark, err := FingerprintOf(path)
	if err != nil {
		t.Fatal(err)
	}
	first, err := inventory.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var got []string
	var w *Watcher
	ready := make(chan struct{})
	w = Watch(
		path,
		Config{SettleTime: 20_000, MaxShrink: 0.5},
		200*time.Millisecond,
		mark,
		first,
		func(m Fingerprint, s []inventory.Server) {
			<-ready
			var names []string
			for _, x := range s {
				names = append(names, x.Name+"@"+x.Addr.String())
			}
			mu.Lock()
			got = append(got, strings.Join(names, " "))
			mu.Unlock()
			w.Accepted(m, s)
		},
	)
	close(ready)
	defer w.Stop()
	await := func(what string, is func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s does not come: %q, refused: %q", what, got, w.RejectReason())
			}
		}
	}
	last := func(ending string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(got) > 0 && strings.HasSuffix(got[len(got)-1], ending)
		}
	}
	write("hosts.yml", hosts(4))
	await("a file that was written over", last("n4@127.0.0.1:4004"))
	write("new", hosts(5))
	if err := os.Rename(filepath.Join(dir, "new"), path); err != nil {
		t.Fatal(err)
	}
	await("a file that was replaced", last("n5@127.0.0.1:4005"))
	write("host_vars/n5.yml", "uwsgi_port: 5005\n")
	await("a variable beside it", last("n5@127.0.0.1:5005"))
	write("hosts.yml", hosts(6)[:40])
	await(
		"the reason of a half-written one",
		func() bool { return strings.Contains(w.RejectReason(), "the last line has no end") },
	)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	await(
		"the reason of one that is gone",
		func() bool { return strings.Contains(w.RejectReason(), "no such file") },
	)
	write("hosts.yml", hosts(1))
	await(
		"the reason of one that shrank",
		func() bool { return strings.Contains(w.RejectReason(), "gone from it at once") },
	)
	write("hosts.yml", hosts(6))
	await("one that is whole again", last("n6@127.0.0.1:4006"))
	if w.RejectReason() != "" {
		t.Error(w.RejectReason())
	}
}

// A HUP takes a list while the watcher reads, or while what it found waits to be taken: what the
// watcher has may be older than the HUP's list, and must not come after it. A shrunken list that a
// HUP has confirmed would be refused from then on.
func TestAHUPCrossesAListThatWasFound(t *testing.T) {
	const before, older, confirmed = Fingerprint(1), Fingerprint(2), Fingerprint(3)
	for name, c := range map[string]struct {
		first, last func(i *Validator) Verdict // the HUP's list is taken between them
		want        Verdict
	}{
		"it is being read": {
			func(*Validator) Verdict { return 0 },
			func(i *Validator) Verdict { v, _ := i.Validate(older, older, servers(5), nil, 1000); return v },
			Reread},
		"it waits to be taken": {
			func(i *Validator) Verdict { v, _ := i.Validate(older, older, servers(5), nil, 1000); return v },
			func(*Validator) Verdict { return Accept },
			Accept},
	} {
		t.Run(name, func(t *testing.T) {
			i := New(Config{SettleTime: 100, MaxShrink: 0.5}, before, servers(4))
			i.Observe(older, 10)
			if !i.Observe(older, 110) {
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
			if i.Observe(confirmed, 2000) || i.RejectReason() != "" {
				t.Errorf("the HUP's list is read again, or refused: %q", i.RejectReason())
			}
		})
	}
}
