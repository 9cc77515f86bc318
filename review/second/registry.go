package main

import (
	"sync"
	"time"
)

// job is a request as a balancer or a caller has written it, and what its run is to do.
type job struct {
	id, class, key string
	body           string
	work           time.Duration // on one core of normal speed
	calls          int           // to the back end
}

// registry knows all requests that were written to the runner. The engine stand-in asks it, as the engine
// of the platform knows the requests of its machine.
type registry struct {
	mu   sync.Mutex
	jobs map[string]*job
	over map[string]bool
	runs map[string]int // runs that began, by key or, without one, by id
}

func newRegistry() *registry {
	return &registry{jobs: map[string]*job{}, over: map[string]bool{}, runs: map[string]int{}}
}

func (g *registry) written(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[j.id] = j
}

func (g *registry) ended(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over[id] = true
}

func (g *registry) isOver(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over[id]
}

func (g *registry) find(id string) *job {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id]
}

func (j *job) name() string {
	if j.key != "" {
		return j.key
	}
	return j.id
}

func (g *registry) began(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[name]++
}

func (g *registry) runsOf(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[name]
}
