package dependencies

import (
	"container/heap"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// job is work that shares a processor with other work.
type job struct {
	finishAt float64 // attained service at which it is done, in microseconds of work
	seq      uint64  // order among jobs that are done at once
	index    int     // in the heap; -1: it is off the processor
	done     func()
}

// jobHeap orders jobs by their end.
type jobHeap []*job

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := len(old) - 1
	j := old[last]
	j.index = -1
	old[last] = nil
	*h = old[:last]
	return j
}

// sharedProcessor models processor sharing: all jobs progress at one rate. A job is therefore done
// once the service that each job has attained passes its finishAt, and one timer for the least of
// them is enough for any number of jobs. Times and work are in microseconds.
type sharedProcessor struct {
	clock           virtualclock.Clock
	parallelism     float64 // jobs that progress at full speed
	contentionLoss  float64 // relative loss for each further multiple of contentionFrom
	contentionFrom  float64 // jobs beyond which they slow each other down
	speed           float64 // of a job at full speed, in work per time; 0 stops all
	attainedService float64 // work done for each job since the start
	advancedTo      float64 // time up to which the state is computed
	jobs            jobHeap
	finished        []*job // done, and not yet notified
	seq             uint64
	timer           virtualclock.Timer
	busyTime        float64 // integral of the parallelism in use
	jobTime         float64 // integral of the number of jobs
	workDone        float64
}

// rate returns the work per time that each job progresses.
func (s *sharedProcessor) rate() float64 {
	n := float64(len(s.jobs))
	if n == 0 {
		return 0
	}
	rate := s.speed * min(1, s.parallelism/n)
	if n > s.contentionFrom {
		rate /= 1 + s.contentionLoss*(n/s.contentionFrom-1)
	}
	return rate
}

// advance computes the state at the present. A job that was done in the meantime left the processor
// at its time, however late the timer fires: on sockets it may be a millisecond late.
func (s *sharedProcessor) advance() {
	now := virtualclock.Micros(s.clock.Now())
	for s.advancedTo < now {
		n, rate, elapsed := float64(len(s.jobs)), s.rate(), now-s.advancedTo
		done := rate > 0 && s.attainedService+rate*elapsed >= s.jobs[0].finishAt
		if done {
			elapsed = max((s.jobs[0].finishAt-s.attainedService)/rate, 0)
		}
		s.attainedService += rate * elapsed
		s.workDone += rate * elapsed * n
		s.jobTime += n * elapsed
		s.busyTime += min(n, s.parallelism) * elapsed
		s.advancedTo += elapsed
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

// finishNext takes the job that is done first off the processor.
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
	rate := s.rate()
	if rate <= 0 {
		return
	}
	remaining := virtualclock.FromMicros((s.jobs[0].finishAt - s.attainedService) / rate)
	s.timer = s.clock.After(remaining+time.Microsecond, s.onTimer)
}

// onTimer notifies the jobs that are done.
func (s *sharedProcessor) onTimer() {
	s.timer = nil
	s.advance()
	finished := s.finished
	s.finished = nil
	for _, j := range finished {
		if j.done != nil {
			j.done()
		}
	}
	s.schedule()
}

// add starts a job and returns it. done is called once it is done.
func (s *sharedProcessor) add(work float64, done func()) *job {
	s.advance()
	s.seq++
	j := &job{finishAt: s.attainedService + max(work, 0), seq: s.seq, done: done}
	heap.Push(&s.jobs, j)
	s.schedule()
	return j
}

// remove takes a job off the processor without notifying it. A job that is done just now is not
// notified either.
func (s *sharedProcessor) remove(j *job) {
	j.done = nil
	s.advance()
	if j.index >= 0 {
		heap.Remove(&s.jobs, j.index)
	}
	s.schedule()
}

// setSpeed changes the speed from now on.
func (s *sharedProcessor) setSpeed(speed float64) {
	if speed == s.speed {
		return
	}
	s.advance()
	s.speed = speed
	s.schedule()
}

// clear removes all jobs.
func (s *sharedProcessor) clear() {
	s.advance()
	for _, j := range s.jobs {
		j.index = -1
	}
	s.jobs = nil
	s.finished = nil
	s.schedule()
}
