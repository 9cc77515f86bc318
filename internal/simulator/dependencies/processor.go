package dependencies

import (
	"container/heap"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// job is a piece of work on a sharedProcessor.
type job struct {
	finishAt float64 // attained service at which the job is done, in microseconds of work
	seq      uint64  // order among jobs with the same finishAt
	index    int     // in the heap; -1: the job has left the processor
	done     func()
}

// jobHeap is a heap of jobs, the one that is done first on top.
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

// sharedProcessor models a processor with processor sharing: all jobs progress at the same rate. A job is
// done once the service that every job has attained since the start reaches its finishAt. One timer for
// the lowest finishAt is therefore enough for any number of jobs. Times and work are in microseconds.
type sharedProcessor struct {
	clock           virtualclock.Clock
	parallelism     float64 // number of jobs that can progress at full speed
	contentionLoss  float64 // relative slowdown for each multiple of contentionFrom beyond the first
	contentionFrom  float64 // number of jobs beyond which jobs slow each other down
	speed           float64 // full speed of a job, in work per time; 0 stops all jobs
	attainedService float64 // work done for each job since the start of the processor
	advancedTo      float64 // time up to which the state is computed
	jobs            jobHeap
	finished        []*job // done, but done functions not called yet
	seq             uint64
	timer           virtualclock.Timer
	busyTime        float64 // integral over time of the parallelism in use
	jobTime         float64 // integral over time of the number of jobs
	workDone        float64 // by all jobs together
}

// rate returns the rate at which each job progresses, in work per time.
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

// advance brings the state up to the present. A job that was done in the meantime leaves the processor at
// the time at which it was done, even if the timer fires late: on sockets it may be a millisecond late.
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

// finishNext removes the job with the lowest finishAt from the processor.
func (s *sharedProcessor) finishNext() {
	j := heap.Pop(&s.jobs).(*job)
	s.attainedService = max(s.attainedService, j.finishAt)
	s.finished = append(s.finished, j)
}

// schedule sets the timer to the time at which the next job is done.
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

// onTimer calls the done functions of the jobs that are done.
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

// add starts a job and returns it. done is called when the job is done.
func (s *sharedProcessor) add(work float64, done func()) *job {
	s.advance()
	s.seq++
	j := &job{finishAt: s.attainedService + max(work, 0), seq: s.seq, done: done}
	heap.Push(&s.jobs, j)
	s.schedule()
	return j
}

// remove removes a job from the processor. Its done function is not called, not even if the job is done
// at this very time.
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

// clear removes all jobs without calling their done functions.
func (s *sharedProcessor) clear() {
	s.advance()
	for _, j := range s.jobs {
		j.index = -1
	}
	s.jobs = nil
	s.finished = nil
	s.schedule()
}
