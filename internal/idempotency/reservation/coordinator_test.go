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

// process is one of several processes of one runner, with a clock of the test. Its table records
// what it is called with.
type process struct {
	t                testing.TB
	now              time.Duration
	timers           []func()
	coordinator      *Coordinator
	owned            []lifecycle.KeyRecord
	reservedByOthers map[string]bool
	seen             []string
	others           int
}

func (p *process) Now() time.Duration        { return p.now }
func (p *process) Unix() wallclock.UnixMicro { return wallclock.UnixMicro(p.now.Microseconds()) }

func (p *process) ApplyRemote(k lifecycle.KeyRecord, released bool) {
	p.reservedByOthers[k.Key] = !released
	text := "started " + k.Key
	if k.Ended {
		text = "ended " + k.Key
		if k.Result != nil {
			text += " " + string(k.Result.Body)
		}
	}
	if released {
		text = "released " + k.Key
	}
	p.seen = append(p.seen, text)
}
func (p *process) OwnerDied(incarnation uint32) {
	p.seen = append(p.seen, fmt.Sprintf("owner %d died", incarnation))
}
func (p *process) EachOwned(fn func(lifecycle.KeyRecord)) {
	for _, k := range p.owned {
		fn(k)
	}
}

func start(t testing.TB, dir string, incarnation uint32) *process {
	t.Helper()
	p := &process{t: t, now: time.Second, reservedByOthers: map[string]bool{}}
	var err error
	p.coordinator, err = Open(
		p,
		Config{
			Dir:                dir,
			Runner:             "n0 127.0.0.1:1",
			Incarnation:        incarnation,
			Window:             time.Second,
			MaxResultBytes:     100,
			After:              func(_ time.Duration, fn func()) { p.timers = append(p.timers, fn) },
			OnProcessesChanged: func(n int) { p.others = n },
		},
		p,
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.coordinator.Close)
	return p
}

// kill ends a process as SIGKILL does: the kernel releases its locks, and its files stay.
func (p *process) kill() { p.coordinator.Close() }

// pass runs the timers that are set.
func (p *process) pass() {
	timers := p.timers
	p.timers = nil
	for _, fn := range timers {
		fn()
	}
}

// reserve tries to reserve a key and returns the outcome: mine, theirs or the error.
func (p *process) reserve(key string) (out string) {
	owner := uint64(p.coordinator.config.Incarnation) << 32
	k := lifecycle.KeyRecord{Class: "hand-in", Key: key, Owner: owner, ExpiresAt: 10_000_000}
	p.coordinator.Reserve(
		k,
		3*lockRetryInterval,
		func() bool { return !p.reservedByOthers[key] },
		func(mine bool, err error) {
			switch out = "theirs"; {
			case err != nil:
				out = err.Error()
			case mine:
				out = "mine"
				p.owned = append(p.owned, k)
			}
		},
	)
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

func (p *process) expectReservation(key, want string) {
	p.t.Helper()
	if got := p.reserve(key); got != want {
		p.t.Errorf("key %s: %s, want %s", key, got, want)
	}
}

func TestOneOfTwoProcessesRunsKey(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "[a] *") // no pattern, though it looks like one
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	one := start(t, dir, 1)
	one.expectReservation("a", "mine")
	two := start(t, dir, 2)
	two.expect("started a") // what was reserved before it started counts
	two.expectReservation("a", "theirs")
	two.expectReservation("b", "mine")
	one.expectReservation("b", "theirs") // though nothing was polled in between
	one.expect("started b")
	one.coordinator.Released(one.owned[0])
	two.pass()
	two.expect("released a")
	two.expectReservation("a", "mine")
	if one.pass(); one.others != 1 || two.others != 1 {
		t.Errorf("%d and %d other processes", one.others, two.others)
	}
}

func TestResultsReachOtherProcess(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	one.expectReservation("a", "mine")
	one.expectReservation("b", "mine")
	one.expectReservation("c", "mine")
	// the second result alone exceeds what is written at once
	for i, text := range []string{"one", strings.Repeat("x", 200)} {
		one.owned[i].Ended, one.owned[i].Result = true, &lifecycle.Result{Status: 200, Body: []byte(text)}
		one.coordinator.Ended(one.owned[i]) // no process is there to read it
	}
	two := start(t, dir, 2)
	two.expect("started a", "started b", "started c")
	one.pass()
	two.pass()
	two.expect("ended a one", "ended b "+strings.Repeat("x", 200))
	one.owned[2].Ended, one.owned[2].Result = true, &lifecycle.Result{Status: 200, Body: []byte("three")}
	one.coordinator.Ended(one.owned[2])
	two.pass()
	two.expect("ended c three")
}

func TestReservationsOfKilledProcessStand(t *testing.T) {
	for name, x := range map[string]struct {
		cut  int64 // bytes of its last record that were not written
		seen []string
		last string // who then has the key of the last record
	}{
		"after a reservation": {0, []string{"started a", "started b", "owner 1 died"}, "theirs"},
		"in the last byte":    {1, []string{"started a", "owner 1 died"}, "mine"},
		"in a record's head":  {1000, []string{"started a", "owner 1 died"}, "mine"},
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
				one.expectReservation("a", "mine")
				whole := one.coordinator.size
				one.expectReservation("b", "mine")
				left := max(one.coordinator.size-x.cut, whole+3)
				if x.cut == 0 {
					left = one.coordinator.size
				}
				if err := one.coordinator.log.Truncate(left); err != nil {
					t.Fatal(err)
				}
				one.kill()
				if !before {
					two = start(t, dir, 2)
				}
				two.pass()
				two.expect(x.seen...)
				two.expectReservation("b", x.last)
				two.expectReservation("a", "theirs")
				if two.others != 0 {
					t.Errorf("%d other processes", two.others)
				}
			}
		})
	}
}

// A process that is stopped while it holds the lock makes the reservations of others fail, and does
// not block their loops.
func TestHeldLockRejectsReservation(t *testing.T) {
	dir := t.TempDir()
	one, two := start(t, dir, 1), start(t, dir, 2)
	if !tryLock(one.coordinator.lock) {
		t.Fatal("the lock is not free, and no process holds it")
	}
	two.expectReservation("a", ErrLockHeld.Error())
	unlock(one.coordinator.lock)
	two.expectReservation("a", "mine")
}

// A log is compacted to the keys that have not expired. Its readers go on with the new one.
func TestReadersFollowCompactedLog(t *testing.T) {
	dir := t.TempDir()
	one, two := start(t, dir, 1), start(t, dir, 2)
	one.coordinator.MarkServing()
	one.coordinator.compactBytes = 1000
	for i := range 40 {
		one.expectReservation(fmt.Sprint(i), "mine")
		one.owned = one.owned[max(len(one.owned)-3, 0):] // the other keys have expired
	}
	if one.coordinator.generation < 2 || one.coordinator.size > minCompactBytes {
		t.Errorf("log %d of %d bytes", one.coordinator.generation, one.coordinator.size)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) != 2 { // one of each
		t.Errorf("%v, %v", files, err)
	}
	if two.expectReservation("39", "theirs"); len(two.reservedByOthers) < 4 {
		t.Errorf("of 40 reservations %d were read", len(two.reservedByOthers))
	}
	if _, serves := two.coordinator.OtherProcesses(); !serves {
		t.Error("the compacted log does not say that it serves")
	}
}

// The reservation that makes a log too long is in the compacted log too.
func TestCompactedLogHoldsEachReservation(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	for i := range uint32(8) {
		one.coordinator.compactBytes = 1
		key := fmt.Sprint(i)
		one.expectReservation(key, "mine")
		later := start(t, dir, 10+i)
		later.expectReservation(key, "theirs")
		later.kill()
	}
	if one.coordinator.generation < 8 {
		t.Errorf("log %d: it was not compacted each time", one.coordinator.generation)
	}
}

func TestFilesOfExitedProcessesAreRemoved(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	one.expectReservation("a", "mine")
	one.kill()
	old := filepath.Join(dir, "something-else.log")
	if err := os.WriteFile(old, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	two := start(t, dir, 2)
	two.coordinator.config.Window = -time.Second // all keys have expired
	two.now += 2 * sweepInterval
	two.pass()
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(files) != 4 { // the lock, its own two, and the foreign one
		t.Errorf("%v, %v", files, err)
	}
}

// A process that is alone goes on when its disk takes nothing. A process that comes knows that it
// does not know what ran, until that is written.
func TestProcessAloneGoesOnWithoutRoom(t *testing.T) {
	dir := t.TempDir()
	one := start(t, dir, 1)
	one.expectReservation("a", "mine")
	full := func(on bool) { // the folder takes no new files, and the log no more records
		if on {
			one.coordinator.log.Close()
			one.coordinator.log, _ = os.Open(one.coordinator.logName(1, one.coordinator.generation))
			return
		}
		one.coordinator.log.Close()
		one.coordinator.log, _ = os.OpenFile(
			one.coordinator.logName(1, one.coordinator.generation),
			os.O_RDWR,
			0,
		)
	}
	full(true)
	if got := one.reserve("b"); got == "mine" {
		t.Errorf("with a log that can be neither written nor truncated: %s", got)
	}
	full(false)
	if err := one.coordinator.log.Truncate(0); err != nil {
		t.Fatal(err)
	}
	one.coordinator.size, one.coordinator.incomplete = 0, true // as after a record that had no room
	two := start(t, dir, 2)
	two.expectReservation("a", ErrPeerIncomplete.Error())
	one.pass()
	one.expectReservation("c", "mine") // there is room again, and everything is written
	two.expectReservation("a", "theirs")
	two.expectReservation("d", "mine")
	two.expect("started a", "started c")
}

// A disk without room rejects the run if another process lives. A record that it took in part is
// overwritten.
func TestPartialRecordIsOverwritten(t *testing.T) {
	dir := t.TempDir()
	one, two := start(t, dir, 1), start(t, dir, 2)
	whole := one.coordinator.log
	// not for writing
	if one.coordinator.log, _ = os.Open(one.coordinator.logName(1, 1)); one.coordinator.log == nil {
		t.Fatal("no log")
	}
	if got := one.reserve("a"); got == "mine" || got == "theirs" {
		t.Errorf("a reservation that cannot be written is %s", got)
	}
	one.coordinator.log.Close()
	one.coordinator.log = whole
	frame, err := store.AppendFrame(nil, &store.Record{Kind: store.RunStarted, Name: store.KeyName{Key: "z"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := whole.WriteAt(frame[:len(frame)/2], one.coordinator.size); err != nil {
		t.Fatal(err)
	}
	one.expectReservation("b", "mine")
	two.expectReservation("b", "theirs")
	two.expect("started b")
}
