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
	// eventPolled reports that the system notifies of no changes, so that the files are only
	// polled.
	eventPolled      = logging.Define("inventory.polled", slog.LevelWarn, "every", "error")
	eventWatchFailed = logging.Define("inventory.watch_failed", slog.LevelWarn, "error")
	// EventRejected reports a list that is not accepted; the accepted list stays in force.
	EventRejected = logging.Define("inventory.rejected", slog.LevelError, "error")
)

// A notification of the system is followed by a check of the files after a share of the settle
// time, so that several changes in a row are checked once.
const (
	debounceShare = 4 // settle time / debounce time
	minDebounce   = 10 * time.Millisecond
)

// Watcher checks an inventory's files on a goroutine of its own: when the system notifies of a
// change, and at an interval, since not all file systems notify. It hands an accepted list to a
// callback, whose owner answers with Accepted or Rejected. Its methods are safe for concurrent use.
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

// Watch starts to watch the inventory at path, of which a list was accepted. Stop ends it.
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

// IsPending reports whether a list that was handed over is still to be accepted or rejected.
func (w *Watcher) IsPending(fingerprint Fingerprint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.validator.IsPending(fingerprint)
}

// Rejected records that a list that was handed over is rejected.
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

// run is the goroutine of the watch.
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
	debounce := min(max(settleTime/debounceShare, minDebounce), w.interval)
	checkSoon := false // whether the timer runs for the debounce time, not for the interval
	for {
		select {
		case <-w.stop:
			return
		case err := <-failures:
			// An overflow means that there were events, and the next check finds what they changed.
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

// watchFolders has the system notify of changes in the folders of the files. The files themselves
// are not watched, since a file that is replaced would not be watched any more.
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
			_ = notifier.Add(folder) // a folder that cannot be watched is checked at the interval
		}
	}
}

// check observes the files, and reads them if they are due. It reports whether they have to be
// checked again soon.
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
