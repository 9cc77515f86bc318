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

// Log events.
var (
	// eventPolled reports that change notifications of the system are not available, so that the
	// files are only polled.
	eventPolled = logging.Define("inventory.polled", slog.LevelWarn, "every", "error")
	// eventWatchFailed reports an error of the change notifications.
	eventWatchFailed = logging.Define("inventory.watch_failed", slog.LevelWarn, "error")
	// EventRejected reports a list that is not accepted; the accepted list stays in force.
	EventRejected = logging.Define("inventory.rejected", slog.LevelError, "error")
)

// After a change notification the files are checked with a delay, a fraction of the settle time, so
// that several changes in a row cause one check.
const (
	debounceDivisor = 4 // settle time / debounce time
	minDebounce     = 10 * time.Millisecond
)

// Watcher checks an inventory's files on a goroutine of its own: after change notifications of the
// system, and at an interval, since not all file systems send notifications. It passes each valid
// new list to a callback; the program then calls Accepted or Rejected for it. Its methods are safe
// for concurrent use.
type Watcher struct {
	path      string
	interval  time.Duration
	onList    func(Fingerprint, []inventory.Server) // called on the watcher's goroutine
	startedAt time.Time
	stop      chan struct{}
	done      sync.WaitGroup

	mu        sync.Mutex
	validator *Validator // guarded by mu
}

// Watch starts to watch the inventory at path. servers is the accepted list, and fingerprint that of
// the files that it was read from. onList is called on the watcher's goroutine. Stop ends the watch.
func Watch(
	path string,
	config Config,
	interval time.Duration,
	fingerprint Fingerprint,
	servers []inventory.Server,
	onList func(Fingerprint, []inventory.Server),
) *Watcher {
	w := &Watcher{
		path:      path,
		interval:  interval,
		onList:    onList,
		startedAt: time.Now(),
		stop:      make(chan struct{}),
		validator: New(config, fingerprint, servers),
	}
	w.done.Add(1)
	go w.run(config.SettleTime)
	return w
}

// Stop ends the watch and waits for its goroutine.
func (w *Watcher) Stop() {
	close(w.stop)
	w.done.Wait()
}

// Accepted records the list that is in force from now on.
func (w *Watcher) Accepted(fingerprint Fingerprint, servers []inventory.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.validator.Accepted(fingerprint, servers)
}

// IsPending reports whether a list that was passed to the callback is still to be accepted or
// rejected.
func (w *Watcher) IsPending(fingerprint Fingerprint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.validator.IsPending(fingerprint)
}

// Rejected records that a list that was passed to the callback is rejected, and why.
func (w *Watcher) Rejected(fingerprint Fingerprint, reason error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.validator.Rejected(fingerprint, reason)
}

// RejectReason returns why the list in the files is rejected, or an empty string.
func (w *Watcher) RejectReason() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.validator.RejectReason()
}

// now returns the time since the watch started, in whole microseconds.
func (w *Watcher) now() time.Duration { return time.Since(w.startedAt).Truncate(time.Microsecond) }

// run checks the files after notifications and at the interval, until Stop is called.
func (w *Watcher) run(settleTime time.Duration) {
	defer w.done.Done()
	events := make(<-chan fsnotify.Event)
	failures := make(<-chan error)
	notifier, err := fsnotify.NewWatcher()
	if err != nil {
		eventPolled.Log(w.interval, err)
	} else {
		defer notifier.Close()
		events = notifier.Events
		failures = notifier.Errors
		w.watchFolders(notifier)
	}
	timer := time.NewTimer(w.interval)
	defer timer.Stop()
	debounce := min(max(settleTime/debounceDivisor, minDebounce), w.interval)
	checkSoon := false // whether the timer runs for the debounce time, not for the interval
	for {
		select {
		case <-w.stop:
			return
		case err := <-failures:
			// An overflow means that events were dropped; the next check finds their changes.
			if err != nil && !errors.Is(err, fsnotify.ErrEventOverflow) {
				eventWatchFailed.Log(err)
			}
		case <-events:
			if !checkSoon {
				checkSoon = true
				timer.Reset(debounce)
			}
		case <-timer.C:
			checkSoon = w.check()
			if notifier != nil {
				w.watchFolders(notifier) // the check may have found new folders
			}
			nextCheck := w.interval
			if checkSoon {
				nextCheck = debounce
			}
			timer.Reset(nextCheck)
		}
	}
}

// watchFolders requests notifications of changes in the folders of the files. The files themselves
// are not watched, since the watch of a file ends when the file is replaced.
func (w *Watcher) watchFolders(notifier *fsnotify.Watcher) {
	folders := []string{filepath.Dir(w.path)}
	if files, err := inventory.Files(w.path); err == nil {
		for _, file := range files {
			folders = append(folders, filepath.Dir(file))
		}
	}
	watched := map[string]bool{}
	for _, folder := range notifier.WatchList() {
		watched[folder] = true
	}
	for _, folder := range folders {
		if !watched[folder] {
			watched[folder] = true
			_ = notifier.Add(folder) // files in a folder that cannot be watched are checked at the interval
		}
	}
}

// check observes the files, and reads them if they are due. It reports whether they are to be
// checked again after the debounce time.
func (w *Watcher) check() (checkSoon bool) {
	before := w.fingerprint()
	w.mu.Lock()
	due := w.validator.Observe(before, w.now())
	unsettled := w.validator.unsettledSince != 0
	w.mu.Unlock()
	if !due {
		return unsettled
	}
	servers, err := inventory.Read(w.path)
	after := w.fingerprint()
	w.mu.Lock()
	verdict, reason := w.validator.Validate(before, after, servers, err, w.now())
	w.mu.Unlock()
	switch verdict {
	case Reject:
		EventRejected.Log(reason)
	case Accept:
		w.onList(before, servers)
	}
	return verdict != Reject
}

// fingerprint returns the fingerprint of the files, or 0 while they are missing or being replaced.
func (w *Watcher) fingerprint() Fingerprint {
	fingerprint, err := FingerprintOf(w.path)
	if err != nil {
		return 0
	}
	return fingerprint
}

// FingerprintOf reads the files of an inventory and returns their fingerprint.
func FingerprintOf(path string) (Fingerprint, error) {
	sum, err := inventory.Fingerprint(path)
	return Fingerprint(sum), err
}
