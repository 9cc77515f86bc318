package reservation

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/wallclock"
)

// process is one of several that are one runner, on a clock of the test's own. Its table is a list
// of what it was told.
type process struct {
	t      testing.TB
	now    time.Duration
	timers []func()
	ledger *Coordinator
	known  []lifecycle.KeyRecord
	theirs map[string]bool
	seen   []string
	beside int
}

func (p *process) Now() time.Duration        { return p.now }
func (p *process) Unix() wallclock.UnixMicro { return wallclock.UnixMicro(p.now.Microseconds()) }

func (p *process) ApplyRemote(k lifecycle.KeyRecord, forgotten bool) {
	p.theirs[k.Key] = !forgotten
	text := "begun " + k.Key
	if k.Ended {
		text = "ended " + k.Key
		if k.Result != nil {
			text += " " + string(k.Result.Body)
		}
	}
	if forgotten {
		text = "forgotten " + k.Key
	}
	p.seen = append(p.seen, text)
}
func (p *process) OwnerDied(life uint32) { p.seen = append(p.seen, fmt.Sprintf("orphaned %d", life)) }
func (p *process) EachOwned(fn func(lifecycle.KeyRecord)) {
	for _, k := range p.known {
		fn(k)
	}
}

func start(t testing.TB, dir string, life uint32) *process {
	t.Helper()
	p := &process{t: t, now: time.Second, theirs: map[string]bool{}}
	var err error
	p.ledger, err = Open(
		p,
		Config{Dir: dir, Runner: "n0 127.0.0.1:1", Incarnation: life, Window: time.Second, MaxResultBytes: 100,
			After: func(_ time.Duration, fn func()) { p.timers = append(p.timers, fn) }, OnProcessesChanged: func(n int) { p.beside = n }},
		p,
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.ledger.Close)
	return p
}

// kill ends a process as SIGKILL does: the kernel gives its locks back, and its files stay.
func (p *process) kill() { p.ledger.Close() }

// pass runs the timers that are set.
func (p *process) pass() {
	timers := p.timers
	p.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// claim tries to claim a key and tells what came of it.
func (p *process) claim(key string) (out string) {
	k := lifecycle.KeyRecord{Class: "hand-in", Key: key, Owner: uint64(p.ledger.config.Incarnation) << 32, ExpiresAt: 10_000_000}
	p.ledger.Reserve(k, 3*lockRetryInterval, func() bool { return !p.theirs[key] }, func(mine bool, err error) {
		switch out = "theirs"; {
		case err != nil:
			out = err.Error()
		case mine:
			out = "mine"
			p.known = append(p.known, k)
		}
	})
	for range 10 {
		if out != "" {
			break
		}
		p.pass()
	}
	return out
}

func (p *process) expect(want ...string) {
	p.t.Helper()
	if diff := cmp.Diff(want, p.seen); diff != "" {
		p.t.Errorf("(-want +got)\n%s", diff)
	}
	p.seen = nil
}

func (p *process) claims(key, want string) {
	p.t.Helper()
	if got := p.claim(key); got != want {
		p.t.Errorf("key %s: %s, want %s", key, got, want)
	}
}

func TestOneOfTwoRunsAKey(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "[a] *") // no pattern, though it looks like one
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	one := start(t, dir, 1)
	one.claims("a", "mine")
	two := start(t, dir, 2)
	two.expect("begun a") // what ran before it began counts
	two.claims("a", "theirs")
	two.claims("b", "mine")
	one.claims("b", "theirs") // though nothing was polled in between
	one.expect("begun b")
	one.ledger.Released(one.known[0])
	two.pass()
	two.expect("forgotten a")
	two.claims("a", "mine")
	if one.pass(); one.beside != 1 || two.beside != 1 {
		t.Errorf("%d and %d processes beside", one.beside, two.beside)
	}
}

func TestResultsReachAnother(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	one.claims("a", "mine")
	one.claims("b", "mine")
	one.claims("c", "mine")
	// the second is over what is written at once
	for i, text := range []string{"one", strings.Repeat("x", 200)} {
		one.known[i].Ended, one.known[i].Result = true, &lifecycle.Result{Status: 200, Body: []byte(text)}
		one.ledger.Ended(one.known[i]) // nobody is there to read it
	}
	two := start(t, dir, 2)
	two.expect("begun a", "begun b", "begun c")
	one.pass()
	two.pass()
	two.expect("ended a one", "ended b "+strings.Repeat("x", 200))
	one.known[2].Ended, one.known[2].Result = true, &lifecycle.Result{Status: 200, Body: []byte("three")}
	one.ledger.Ended(one.known[2])
	two.pass()
	two.expect("ended c three")
}

func TestProcessIsKilled(t *testing.T) {
	for name, x := range map[string]struct {
		cut  int64 // bytes of its last record that were not written
		seen []string
		last string // whose the key of the last record is then
	}{
		"after a claim":      {0, []string{"begun a", "begun b", "orphaned 1"}, "theirs"},
		"in the last byte":   {1, []string{"begun a", "orphaned 1"}, "mine"},
		"in a record's head": {1000, []string{"begun a", "orphaned 1"}, "mine"},
	} {
		t.Run(name, func(t *testing.T) {
			// the other is there already, or comes later
			for _, before := range []bool{false, true} {
				dir := t.TempDir()
				one := start(t, dir, 1)
				var two *process
				if before {
					two = start(t, dir, 2)
				}
				one.claims("a", "mine")
				whole := one.ledger.size
				one.claims("b", "mine")
				left := max(one.ledger.size-x.cut, whole+3)
				if x.cut == 0 {
					left = one.ledger.size
				}
				if err := one.ledger.log.Truncate(left); err != nil {
					t.Fatal(err)
				}
				one.kill()
				if !before {
					two = start(t, dir, 2)
				}
				two.pass()
				two.expect(x.seen...)
				two.claims("b", x.last)
				two.claims("a", "theirs")
				if two.beside != 0 {
					t.Errorf("%d processes beside", two.beside)
				}
			}
		})
	}
}

// A process that is stopped while it holds the lock costs the claims of others, and not their
// loops.
func TestLockIsHeld(t *testing.T) {
	dir := t.TempDir()
	one, two := start(t, dir, 1), start(t, dir, 2)
	if !tryLock(one.ledger.lock) {
		t.Fatal("the lock is held by nobody, and is not free")
	}
	two.claims("a", ErrLockHeld.Error())
	unlock(one.ledger.lock)
	two.claims("a", "mine")
}

// A log is written anew with what its window still needs. Whoever reads it reads on in the new one.
func TestLogIsWrittenAnew(t *testing.T) {
	dir := t.TempDir()
	one, two := start(t, dir, 1), start(t, dir, 2)
	one.ledger.MarkServing()
	one.ledger.compactBytes = 1000
	for i := range 40 {
		one.claims(fmt.Sprint(i), "mine")
		one.known = one.known[max(len(one.known)-3, 0):] // the windows of others are over
	}
	if one.ledger.generation < 2 || one.ledger.size > minCompactBytes {
		t.Errorf("log %d of %d bytes", one.ledger.generation, one.ledger.size)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) != 2 { // one of each
		t.Errorf("%v, %v", files, err)
	}
	if two.claims("39", "theirs"); len(two.theirs) < 4 {
		t.Errorf("of 40 claims %d were heard", len(two.theirs))
	}
	if _, serves := two.ledger.OtherProcesses(); !serves {
		t.Error("that it serves is not in its new log")
	}
}

// A log that was written anew with the claim that made it too long did not have that claim.
func TestEachClaimIsInTheLogThatStands(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	for i := range uint32(8) {
		one.ledger.compactBytes = 1
		key := fmt.Sprint(i)
		one.claims(key, "mine")
		later := start(t, dir, 10+i)
		later.claims(key, "theirs")
		later.kill()
	}
	if one.ledger.generation < 8 {
		t.Errorf("log %d: it was not written anew each time", one.ledger.generation)
	}
}

func TestFilesOfTheDeadGo(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	one.claims("a", "mine")
	one.kill()
	old := filepath.Join(dir, "something-else.log")
	if err := os.WriteFile(old, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	two := start(t, dir, 2)
	two.ledger.config.Window = -time.Second // it is over
	two.now += 2 * sweepInterval
	two.pass()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(files) != 4 { // the lock, its own two, and what is not ours
		t.Errorf("%v, %v", files, err)
	}
}

// Alone, a process whose disk takes nothing goes on. One that comes knows that it does not know
// what ran, until that is written.
func TestNoRoom(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	one.claims("a", "mine")
	full := func(on bool) { // a folder that takes no new files, and a log that takes no more
		if on {
			one.ledger.log.Close()
			one.ledger.log, _ = os.Open(one.ledger.logName(1, one.ledger.generation))
			return
		}
		one.ledger.log.Close()
		one.ledger.log, _ = os.OpenFile(one.ledger.logName(1, one.ledger.generation), os.O_RDWR, 0)
	}
	full(true)
	if got := one.claim("b"); got == "mine" {
		t.Errorf("a log that can neither be written nor emptied: %s", got)
	}
	full(false)
	if err := one.ledger.log.Truncate(0); err != nil {
		t.Fatal(err)
	}
	one.ledger.size, one.ledger.incomplete = 0, true // as after a record that found no room
	two := start(t, dir, 2)
	two.claims("a", ErrPeerIncomplete.Error())
	one.pass()
	one.claims("c", "mine") // there is room again, and all is written
	two.claims("a", "theirs")
	two.claims("d", "mine")
	two.expect("begun a", "begun c")
}

// A disk without room refuses the run where another process lives; what it took half of is written
// over.
func TestRecordThatWasHalfWritten(t *testing.T) {
	dir := t.TempDir()
	one, two := start(t, dir, 1), start(t, dir, 2)
	whole := one.ledger.log
	// not for writing
	if one.ledger.log, _ = os.Open(one.ledger.logName(1, 1)); one.ledger.log == nil {
		t.Fatal("no log")
	}
	if got := one.claim("a"); got == "mine" || got == "theirs" {
		t.Errorf("a claim that cannot be written is %s", got)
	}
	one.ledger.log.Close()
	one.ledger.log = whole
	frame, err := store.AppendFrame(nil, &store.Record{Kind: store.RunStarted, Name: store.KeyName{Key: "z"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := whole.WriteAt(frame[:len(frame)/2], one.ledger.size); err != nil {
		t.Fatal(err)
	}
	one.claims("b", "mine")
	two.claims("b", "theirs")
	two.expect("begun b")
}
