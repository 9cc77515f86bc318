// Package world holds what a fleet of runners stands on, as state machines free of I/O: the machine
// of one runner with its engine, the back end that all share, and the roster. The simulator's model
// plays them in virtual time, and its rig puts the same ones behind sockets. None of them decides
// about requests; that is the runner's.
package dependencies

import (
	"container/heap"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// job is work that shares cores with other work.
type job struct {
	tag   float64 // the attained service at which it is done
	seq   uint64
	index int // in the heap; -1: not on the cores
	done  func()
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].tag < h[j].tag || h[i].tag == h[j].tag && h[i].seq < h[j].seq
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *jobHeap) Push(x any)   { j := x.(*job); j.index = len(*h); *h = append(*h, j) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h, j.index = old[:len(old)-1], -1
	return j
}

// share is processor sharing: all jobs get on at one rate. Since that is so, a job is done when the
// service that each has attained passes its tag, and one timer for the least tag is enough for any
// number of them.
type share struct {
	clock    virtualclock.Clock
	places   float64 // how many get on at full speed
	thrash   float64 // loss for each further multiple of crowd
	crowd    float64 // jobs past which they slow each other down
	speed    float64 // of one job with a place; 0 stops all
	attained float64
	at       float64 // up to which it is counted
	jobs     jobHeap
	over     []*job // done, and not yet told
	seq      uint64
	timer    virtualclock.Timer
	busy     float64 // places in use, integrated over time
	present  float64 // jobs, integrated over time
	work     float64 // done in all
}

// rate is how fast each job gets on.
func (s *share) rate() float64 {
	n := float64(len(s.jobs))
	if n == 0 {
		return 0
	}
	r := s.speed * min(1, s.places/n)
	if n > s.crowd {
		r /= 1 + s.thrash*(n/s.crowd-1)
	}
	return r
}

// advance brings the attained service up to now. A job that was done meanwhile left the cores then,
// however late the timer comes: on sockets it may be a millisecond.
func (s *share) advance() {
	now := virtualclock.Micros(s.clock.Now())
	for s.at < now {
		n, r, d := float64(len(s.jobs)), s.rate(), now-s.at
		done := r > 0 && s.attained+r*d >= s.jobs[0].tag
		if done {
			d = max((s.jobs[0].tag-s.attained)/r, 0)
		}
		s.attained += r * d
		s.work += r * d * n
		s.present += n * d
		s.busy += min(n, s.places) * d
		s.at += d
		if !done {
			s.at = now
			break
		}
		s.finish()
	}
	for len(s.jobs) > 0 && s.jobs[0].tag <= s.attained {
		s.finish()
	}
}

// finish takes the job that is done off the cores.
func (s *share) finish() {
	j := heap.Pop(&s.jobs).(*job)
	s.attained = max(s.attained, j.tag)
	s.over = append(s.over, j)
}

// arm sets the timer for the next job that is done.
func (s *share) arm() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.over) > 0 {
		s.timer = s.clock.After(0, s.fire)
		return
	}
	r := s.rate()
	if r <= 0 {
		return
	}
	s.timer = s.clock.After(virtualclock.FromMicros((s.jobs[0].tag-s.attained)/r)+time.Microsecond, s.fire)
}

func (s *share) fire() {
	s.timer = nil
	s.advance()
	over := s.over
	s.over = nil
	for _, j := range over {
		if j.done != nil {
			j.done()
		}
	}
	s.arm()
}

// add puts a job of so much work, in microseconds at speed 1, on the cores.
func (s *share) add(work float64, done func()) *job {
	s.advance()
	s.seq++
	j := &job{tag: s.attained + max(work, 0), seq: s.seq, done: done}
	heap.Push(&s.jobs, j)
	s.arm()
	return j
}

// drop takes a job off before it is done.
func (s *share) drop(j *job) {
	j.done = nil
	if s.advance(); j.index < 0 { // it is done by now, too
		s.arm()
		return
	}
	heap.Remove(&s.jobs, j.index)
	s.arm()
}

// setSpeed changes the speed from now on.
func (s *share) setSpeed(v float64) {
	if v == s.speed {
		return
	}
	s.advance()
	s.speed = v
	s.arm()
}

// clear drops all jobs and stands still until more are added.
func (s *share) clear() {
	s.advance()
	for _, j := range s.jobs {
		j.index = -1
	}
	s.jobs, s.over = nil, nil
	s.arm()
}

// window is a mean over the last part of an integral that is sampled at even times.
type window struct {
	ring []float64
	next int
	n    int
}

func newWindow(samples int) window { return window{ring: make([]float64, samples)} }

// add takes a sample and gives the growth over the window, with how many samples back it reaches.
func (w *window) add(v float64) (growth float64, samples int) {
	old := w.ring[w.next]
	if w.n < len(w.ring) {
		old = w.ring[0]
	}
	samples = min(w.n, len(w.ring))
	if w.n == 0 {
		old = v
	}
	w.ring[w.next] = v
	w.next = (w.next + 1) % len(w.ring)
	w.n++
	return v - old, samples
}
