package admission

import "time"

// runTimeWeight is the weight of one more run in the mean run time of its class, and of one more
// arrival in the mean delay before it is read.
const runTimeWeight = 0.1

// minQueueTimeDivisor: at least this part of a latency objective counts as left beside the run.
const minQueueTimeDivisor = 4

// maxExpectedSeconds bounds the expected time of a run, so that it fits a duration.
const maxExpectedSeconds = 1e6

// queueingDelay is the queueing delay of a class, Breakwater's d_m: the age of its oldest queued
// request, including the time before it was read, and the wait for a call where the class makes
// one.
func (c *Controller) queueingDelay(class int) (delay time.Duration) {
	if c.settings.Classes[class].CallsDependency {
		delay = c.callQueueDelay()
	}
	if queue := c.queues[class].requests; len(queue) > 0 {
		delay += c.now - queue[0].arrivedAt
	}
	return delay
}

// delayTarget is the target of a class's queueing delay, Breakwater's d_t: a share of what its
// latency objective leaves beside the run. The share is smaller while other servers probably have
// capacity, since an early cut sends requests there.
func (c *Controller) delayTarget(class int) time.Duration {
	objective := c.settings.Classes[class].LatencyObjective
	run := seconds(c.queues[class].meanRunSeconds)
	least := c.parameters.MinDelayTargetShare
	share := least + (c.parameters.DelayTargetShare-least)*c.arrivals.fleetSaturation
	return time.Duration(share * float64(max(objective-run, objective/minQueueTimeDivisor)))
}

// expectedRunTime is how long r is expected to run, from the runs of its class and its expected
// work.
func (c *Controller) expectedRunTime(r *request) time.Duration {
	queue := &c.queues[r.class]
	run := queue.meanRunSeconds
	if r.expectedWork > 0 && queue.meanExpectedSeconds > 0 {
		// A part of each run is waiting, so that half of its time does not grow with the work.
		run *= (1 + r.expectedWork.Seconds()/queue.meanExpectedSeconds) / 2
	}
	return seconds(min(run, maxExpectedSeconds))
}

// recordRunTime takes the run of r, which ends now, into the means of its class.
func (c *Controller) recordRunTime(r *request) {
	queue := &c.queues[r.class]
	run := (c.now - r.startedAt).Seconds()
	expected := r.expectedWork.Seconds()
	if queue.meanRunSeconds == 0 {
		queue.meanRunSeconds = run
		queue.meanExpectedSeconds = expected
	}
	queue.meanRunSeconds += runTimeWeight * (run - queue.meanRunSeconds)
	queue.meanExpectedSeconds += runTimeWeight * (expected - queue.meanExpectedSeconds)
}

// queueWait is how long the other queued requests take to start.
func (c *Controller) queueWait(r *request) time.Duration {
	work := -c.queues[r.class].meanRunSeconds // r itself is queued
	for i := range c.queues {
		work += float64(len(c.queues[i].requests)) * c.queues[i].meanRunSeconds
	}
	parallel := max(c.occupancy.onCores+c.occupancy.atCalls, c.settings.Cores)
	return seconds(work / float64(parallel))
}

// missesObjective reports whether r, after waiting for so long, cannot be answered while its answer
// has any weight. Without saturation only the deadline counts, since requests must not be
// rejected by an estimate while there is capacity.
func (c *Controller) missesObjective(r *request, wait time.Duration) bool {
	if !c.saturated(r.class) {
		return c.deadlineNear(r)
	}
	end := r.deadline - answerMargin
	if c.settings.Classes[r.class].LateWeightFraction == 0 {
		end = min(end, r.objectiveAt)
	}
	run := float64(c.expectedRunTime(r))
	// A run that turns out to be late keeps its core to the end.
	if c.settings.Cancel == CancelNone {
		run *= c.parameters.StartMarginFactor
	}
	return c.now+wait+time.Duration(run) > end
}

// retryIsFutile reports whether r, which misses its objective here, would miss it elsewhere: others
// are full too, or the time left is shorter than a run.
func (c *Controller) retryIsFutile(r *request) bool {
	return c.arrivals.fleetSaturation > c.parameters.FewRetriesShare ||
		r.objectiveAt < c.now+c.expectedRunTime(r)
}

// dispatch starts queued requests as far as credit, cores and memory allow.
func (c *Controller) dispatch() {
	c.reuseResults()
	for {
		r := c.nextQueued()
		if r == nil {
			return
		}
		if c.missesObjective(r, 0) {
			c.reject(r, retryHint{noRetry: c.retryIsFutile(r)}, reason{cause: CauseObjectiveUnreachable})
			continue
		}
		if !c.hasCapacity() || !c.startRun(r) {
			return
		}
	}
}

// nextQueued is the queued request to start next, or nil: of the oldest of each class, the one with
// the largest product of age and priority weight. Classes that would queue for the dependency wait.
func (c *Controller) nextQueued() *request {
	var next *request
	most := -1.0
	for i := range c.queues {
		queue := c.queues[i].requests
		if len(queue) == 0 || c.callsCongested(i) {
			continue
		}
		age := float64(c.now - queue[0].arrivedAt)
		if weight := age * c.settings.Classes[i].PriorityWeight; weight > most {
			next = queue[0]
			most = weight
		}
	}
	return next
}

// hasCapacity reports whether one more request may run: up to the number of cores always, and up to
// the credit pool while a core is free.
func (c *Controller) hasCapacity() bool {
	limit := c.runningLimit()
	onCores := c.occupancy.onCoresWithOneMore()
	// Requests at calls may all come back at once.
	withCalls := onCores + float64(c.occupancy.atCalls)
	if onCores > limit || withCalls > limit/c.parameters.RunningLimitShare {
		return false
	}
	coreFree := c.load.runnable < float64(c.settings.Cores)
	return c.occupancy.onCores < c.settings.Cores ||
		float64(c.occupancy.onCores) < c.credit.size && coreFree
}

// runningLimit is the number of requests that may run at once without harm to the server, which is
// lower while it warms up.
func (c *Controller) runningLimit() float64 {
	speed := 1.0
	if c.settings.WarmingUp && c.settings.WarmUpTime > 0 {
		initial := c.settings.WarmUpInitialShare
		speed = min(initial+(1-initial)*float64(c.now-c.startedAt)/float64(c.settings.WarmUpTime), 1)
	}
	perCore := 1 + (c.settings.MaxRunningPerCore-1)*speed
	return max(float64(c.settings.Cores)*perCore*c.parameters.RunningLimitShare, 1)
}

// startRun starts a queued request, and reports whether it did; all starts pass through it.
func (c *Controller) startRun(r *request) bool {
	memoryKB := c.memoryKB + r.sizeKB*(c.settings.RunningMemoryFactor-1)
	if r.state != queued || r.mayHaveRun || r.answered || c.arrivedAfterDrain(r) ||
		memoryKB > c.runMemoryLimitKB() {
		return false
	}
	c.dequeue(r)
	c.memoryKB = memoryKB
	r.state = running
	r.mayHaveRun = true
	r.startedAt = c.now
	c.executing = append(c.executing, r)
	c.enterCores()
	c.emit(Action{Kind: ActionStart, Request: r.id})
	return true
}

// onCompleted ends the run of r, or its answer from another's result.
func (c *Controller) onCompleted(r *request, e *Event) {
	if r.state == queued || r.state == awaitingResult {
		return
	}
	if e.Outcome == OutcomeCancelled && !r.answered { // it may not start again
		c.fail(r, reason{cause: CauseCancelled})
	}
	succeeded := r.state == running && e.Outcome == OutcomeOK
	if succeeded {
		c.recordRunTime(r)
	}
	if r.shareable {
		c.keepResult(r, succeeded)
	}
	c.remove(r)
}
