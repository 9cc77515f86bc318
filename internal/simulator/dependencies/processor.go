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
	finishAt float64 // the attained service at which it is done
	seq      uint64
	index    int // in the heap; -1: not on the cores
	done     func()
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].seq < h[j].seq
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

// sharedProcessor is processor sharing: all jobs get on at one rate. Since that is so, a job is done when the
// service that each has attained passes its tag, and one timer for the least tag is enough for any
// number of them.
type sharedProcessor struct {
	clock           virtualclock.Clock
	parallelism     float64 // how many get on at full speed
	contentionLoss  float64 // loss for each further multiple of crowd
	contentionFrom  float64 // jobs past which they slow each other down
	speed           float64 // of one job with a place; 0 stops all
	attainedService float64
	advancedTo      float64 // up to which it is counted
	jobs            jobHeap
	finished        []*job // done, and not yet told
	seq             uint64
	timer           virtualclock.Timer
	busyTime        float64 // places in use, integrated over time
	jobTime         float64 // jobs, integrated over time
	workDone        float64 // done in all
}

// rate is how fast each job gets on.
func (s *sharedProcessor) rate() float64 {
	n := float64(len(s.jobs))
	if n == 0 {
		return 0
	}
	r := s.speed * min(1, s.parallelism/n)
	if n > s.contentionFrom {
		r /= 1 + s.contentionLoss*(n/s.contentionFrom-1)
	}
	return r
}

// advance brings the attained service up to now. A job that was done meanwhile left the cores then,
// however late the timer comes: on sockets it may be a millisecond.
func (s *sharedProcessor) advance() {
	now := virtualclock.Micros(s.clock.Now())
	for s.advancedTo < now {
		n, r, d := float64(len(s.jobs)), s.rate(), now-s.advancedTo
		done := r > 0 && s.attainedService+r*d >= s.jobs[0].finishAt
		if done {
			d = max((s.jobs[0].finishAt-s.attainedService)/r, 0)
		}
		s.attainedService += r * d
		s.workDone += r * d * n
		s.jobTime += n * d
		s.busyTime += min(n, s.parallelism) * d
		s.advancedTo += d
		if !done {
			s.advancedTo = now
			break
		}
		s.finishNext()
	}
	for len(s.jobs) > 0 && s.jobs[0].finishAt <= s.attainedService {
		s.finishNext()
	}
}

// finishNext takes the job that is done off the cores.
func (s *sharedProcessor) finishNext() {
	j := heap.Pop(&s.jobs).(*job)
	s.attainedService = max(s.attainedService, j.finishAt)
	s.finished = append(s.finished, j)
}

// schedule sets the timer for the next job that is done.
func (s *sharedProcessor) schedule() {
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if len(s.finished) > 0 {
		s.timer = s.clock.After(0, s.onTimer)
		return
	}
	r := s.rate()
	if r <= 0 {
		return
	}
	s.timer = s.clock.After(virtualclock.FromMicros((s.jobs[0].finishAt-s.attainedService)/r)+time.Microsecond, s.onTimer)
}

func (s *sharedProcessor) onTimer() {
	s.timer = nil
	s.advance()
	over := s.finished
	s.finished = nil
	for _, j := range over {
		if j.done != nil {
			j.done()
		}
	}
	s.schedule()
}

// add puts a job of so much work, in microseconds at speed 1, on the cores.
func (s *sharedProcessor) add(work float64, done func()) *job {
	s.advance()
	s.seq++
	j := &job{finishAt: s.attainedService + max(work, 0), seq: s.seq, done: done}
	heap.Push(&s.jobs, j)
	s.schedule()
	return j
}

// remove takes a job off before it is done.
func (s *sharedProcessor) remove(j *job) {
	j.done = nil
	if s.advance(); j.index < 0 { // it is done by now, too
		s.schedule()
		return
	}
	heap.Remove(&s.jobs, j.index)
	s.schedule()
}

// setSpeed changes the speed from now on.
func (s *sharedProcessor) setSpeed(v float64) {
	if v == s.speed {
		return
	}
	s.advance()
	s.speed = v
	s.schedule()
}

// clear drops all jobs and stands still until more are added.
func (s *sharedProcessor) clear() {
	s.advance()
	for _, j := range s.jobs {
		j.index = -1
	}
	s.jobs, s.finished = nil, nil
	s.schedule()
}

// slidingWindow is a mean over the last part of an integral that is sampled at even times.
type slidingWindow struct {
	samples []float64
	next    int
	added   int
}

func newSlidingWindow(samples int) slidingWindow {
	return slidingWindow{samples: make([]float64, samples)}
}

// add takes a sample and gives the growth over the window, with how many samples back it reaches.
func (w *slidingWindow) add(v float64) (growth float64, samples int) {
	old := w.samples[w.next]
	if w.added < len(w.samples) {
		old = w.samples[0]
	}
	samples = min(w.added, len(w.samples))
	if w.added == 0 {
		old = v
	}
	w.samples[w.next] = v
	w.next = (w.next + 1) % len(w.samples)
	w.added++
	return v - old, samples
}
