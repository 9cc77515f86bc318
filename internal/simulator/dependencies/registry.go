package dependencies

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// reportLifetime is how long a runner stays listed after its last report.
const reportLifetime = 3 * time.Second

// Registry models the registry: it lists runners as long as they report. Watchers learn of changes of
// the list after a delay.
type Registry struct {
	clock    virtualclock.Clock
	entries  map[string]*entry
	watchers []watcher
}

// entry is the state of a runner that has reported.
type entry struct {
	listed bool
	timer  virtualclock.Timer // expiry of the last report
}

// watcher is a recipient of changes.
type watcher struct {
	delay  func() time.Duration
	notify func(name string, listed bool)
}

// NewRegistry returns a registry that lists no runner.
func NewRegistry(clock virtualclock.Clock) *Registry {
	return &Registry{clock: clock, entries: map[string]*entry{}}
}

// Watch calls notify for each change of the list. The delay of each notification is obtained from delay.
// notify gets the state at the time of the notification, not at the time of the change.
func (r *Registry) Watch(delay func() time.Duration, notify func(name string, listed bool)) {
	r.watchers = append(r.watchers, watcher{delay, notify})
}

// Report lists a runner for reportLifetime.
func (r *Registry) Report(name string) {
	e := r.entries[name]
	if e == nil {
		e = &entry{}
		r.entries[name] = e
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.timer = r.clock.After(reportLifetime, func() { r.set(name, e, false) })
	r.set(name, e, true)
}

// Deregister removes a runner from the list.
func (r *Registry) Deregister(name string) {
	if e := r.entries[name]; e != nil {
		e.timer.Stop()
		r.set(name, e, false)
	}
}

// IsListed reports whether a runner is on the list.
func (r *Registry) IsListed(name string) bool {
	e := r.entries[name]
	return e != nil && e.listed
}

func (r *Registry) set(name string, e *entry, listed bool) {
	if e.listed == listed {
		return
	}
	e.listed = listed
	for _, w := range r.watchers {
		r.clock.After(w.delay(), func() { w.notify(name, r.IsListed(name)) })
	}
}
