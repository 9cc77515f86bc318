package dependencies

import (
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// reportLifetime is how long after the last report an entry stays listed (PROTOCOL).
const reportLifetime = 3 * time.Second

// Registry lists runners while they report. Watchers hear of a change late.
type Registry struct {
	clock    virtualclock.Clock
	entries  map[string]*entry
	watchers []watcher
}

type entry struct {
	listed bool
	timer  virtualclock.Timer
}

type watcher struct {
	delay  func() time.Duration
	notify func(name string, listed bool)
}

// NewRegistry starts one with nobody listed.
func NewRegistry(clock virtualclock.Clock) *Registry {
	return &Registry{clock: clock, entries: map[string]*entry{}}
}

// Watch tells of each change after a delay that is asked for each time. Changes overtake each other
// no more than the delays allow; of one name, the state at the time of telling counts.
func (r *Registry) Watch(late func() time.Duration, tell func(name string, listed bool)) {
	r.watchers = append(r.watchers, watcher{late, tell})
}

// Report takes word of a runner that is there; whether it is leaving changes nothing here.
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

// Deregister unlists a runner whose engine has gone.
func (r *Registry) Deregister(name string) {
	if e := r.entries[name]; e != nil {
		e.timer.Stop()
		r.set(name, e, false)
	}
}

// IsListed tells whether a runner is on the list.
func (r *Registry) IsListed(name string) bool { e := r.entries[name]; return e != nil && e.listed }

func (r *Registry) set(name string, e *entry, listed bool) {
	if e.listed == listed {
		return
	}
	e.listed = listed
	for _, w := range r.watchers {
		r.clock.After(w.delay(), func() { w.notify(name, r.IsListed(name)) })
	}
}
