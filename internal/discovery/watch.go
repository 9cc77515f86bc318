package discovery

import (
	"errors"
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"github.com/fsnotify/fsnotify"

	"ryepaddle/internal/inventory"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	evPolled = logging.Define("inventory.polled", slog.LevelWarn, "every", "error")
	evWatch  = logging.Define("inventory.watch_failed", slog.LevelWarn, "error")
)

// EventRejected is a list that is not taken: the last good one stays.
var EventRejected = logging.Define("inventory.refused", slog.LevelError, "error")

// Watcher reads an inventory's files beside the loop when they have changed: when the system says
// so, and now and then by what is in them, since not all file systems tell. What is to be taken is
// handed over; whoever gets it says what became of it by Took or Refused.
type Watcher struct {
	path  string
	every time.Duration
	found func(Fingerprint, []inventory.Server) // called on the watcher's goroutine
	begun time.Time
	stop  chan struct{}
	done  sync.WaitGroup

	mu        sync.Mutex
	validator *Validator
}

// Watch begins to watch. Stop ends it.
func Watch(path string, cfg Config, every time.Duration, mark Fingerprint, servers []inventory.Server,
	found func(Fingerprint, []inventory.Server)) *Watcher {
	w := &Watcher{path: path, every: every, found: found, begun: time.Now(), stop: make(chan struct{}),
		validator: New(cfg, mark, servers)}
	w.done.Add(1)
	go w.run(time.Duration(cfg.SettleTime) * time.Microsecond)
	return w
}

// Stop ends the watch, and waits until it has ended.
func (w *Watcher) Stop() {
	close(w.stop)
	w.done.Wait()
}

// Accepted notes a list that holds from now on.
func (w *Watcher) Accepted(mark Fingerprint, servers []inventory.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.validator.Accepted(mark, servers)
}

// IsPending tells whether a list that was found still waits to be taken.
func (w *Watcher) IsPending(mark Fingerprint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.validator.IsPending(mark)
}

// Rejected notes that a list that was found is not taken.
func (w *Watcher) Rejected(mark Fingerprint, why error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.validator.Rejected(mark, why)
}

// RejectReason is why the files as they are now are not taken; empty: they are.
func (w *Watcher) RejectReason() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.validator.RejectReason()
}

func (w *Watcher) now() int64 { return time.Since(w.begun).Microseconds() }

func (w *Watcher) run(settle time.Duration) {
	defer w.done.Done()
	events := make(<-chan fsnotify.Event)
	errs := make(<-chan error)
	n, err := fsnotify.NewWatcher()
	if err != nil {
		evPolled.Log(w.every, err)
	} else {
		defer n.Close()
		events, errs = n.Events, n.Errors
		w.follow(n)
	}
	timer := time.NewTimer(w.every)
	defer timer.Stop()
	quick := min(max(settle/4, 10*time.Millisecond), w.every)
	soon := false // a look is due in a moment, for many events at once
	for {
		select {
		case <-w.stop:
			return
		case err := <-errs:
			// an overflow is an event like others
			if err != nil && !errors.Is(err, fsnotify.ErrEventOverflow) {
				evWatch.Log(err)
			}
		case <-events:
			if !soon {
				soon = true
				timer.Reset(quick)
			}
		case <-timer.C:
			soon = w.look()
			if n != nil {
				w.follow(n) // folders may be new
			}
			if soon {
				timer.Reset(quick)
			} else {
				timer.Reset(w.every)
			}
		}
	}
}

// follow has the system tell of the folders that hold the files. Files themselves are replaced, and
// folders stay.
func (w *Watcher) follow(n *fsnotify.Watcher) {
	folders := []string{filepath.Dir(w.path)}
	if files, err := inventory.Files(w.path); err == nil {
		for _, f := range files {
			folders = append(folders, filepath.Dir(f))
		}
	}
	known := map[string]bool{}
	for _, f := range n.WatchList() {
		known[f] = true
	}
	for _, f := range folders {
		if !known[f] {
			known[f] = true
			_ = n.Add(f) // what cannot be followed is seen by the clock
		}
	}
}

// look looks at the files, and reads them where that is due. It reports whether something is on the
// way.
func (w *Watcher) look() bool {
	mark, err := FingerprintOf(w.path)
	if err != nil { // being replaced, or gone: the list that holds stays
		mark = 0
	}
	w.mu.Lock()
	read := w.validator.Observe(mark, w.now())
	moving := w.validator.moving != 0
	w.mu.Unlock()
	if !read {
		return moving
	}
	servers, err := inventory.Read(w.path)
	after, err2 := FingerprintOf(w.path)
	if err2 != nil {
		after = 0
	}
	w.mu.Lock()
	verdict, why := w.validator.Validate(mark, after, servers, err, w.now())
	w.mu.Unlock()
	switch verdict {
	case Reject:
		EventRejected.Log(why)
	case Accept:
		w.found(mark, servers)
	}
	return verdict != Reject
}

// FingerprintOf looks at the files of an inventory.
func FingerprintOf(path string) (Fingerprint, error) {
	sum, err := inventory.Digest(path)
	return Fingerprint(sum), err
}
