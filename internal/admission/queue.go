package admission

import "time"

// runTimeWeight is the weight of one more run in the mean run time of its class, and of one more
// arrival in the mean delay before requests are read. It is also the decay, in each control period,
// of the sum of recent arrivals.
const runTimeWeight = 0.1

// minQueueTimeDivisor divides a latency objective to give the minimum time that the delay target
// assumes to be left for queueing, however long runs take.
const minQueueTimeDivisor = 4

// maxExpectedSeconds bounds the expected time of a run, so that it fits a duration.
const maxExpectedSeconds = 1e6

// queueingDelay is the queueing delay of a class, Breakwater's d_m: the age of its oldest queued
// request, including the time before it was read, plus the wait for a call if the class makes any.
func (c *Controller) queueingDelay(class int) (delay time.Duration) {
	if c.settings.Classes[class].CallsDependency {
		delay = c.callQueueDelay()
	}
	if queue := c.queues[class].requests; len(queue) > 0 {
		delay += c.now - queue[0].arrivedAt
	}
	return delay
}

// delayTarget is the target of a class's queueing delay, Breakwater's d_t: a share of its
// latency objective less the mean run time. The share is smaller while other servers probably have
// capacity, since an early cut of credit sends requests there.
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
		// Part of each run is waiting, so half of the mean run time is assumed not to grow with the work.
		run *= (1 + r.expectedWork.Seconds()/queue.meanExpectedSeconds) / 2
	}
	return seconds(min(run, maxExpectedSeconds))
}

// recordRunTime adds the run of r, which ends now, to the means of its class.
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

// queueWait estimates how long r waits until the other queued requests have run.
func (c *Controller) queueWait(r *request) time.Duration {
	work := -c.queues[r.class].meanRunSeconds // r itself is queued
	for i := range c.queues {
		work += float64(len(c.queues[i].requests)) * c.queues[i].meanRunSeconds
	}
	parallel := max(c.occupancy.onCores+c.occupancy.atCalls, c.settings.Cores)
	return seconds(work / float64(parallel))
}

// missesObjective reports whether r, if it starts after wait, is expected to end too late for its
// answer to have any weight. Without saturation only the deadline counts, since requests must not be
// rejected because of an estimate while there is capacity.
func (c *Controller) missesObjective(r *request, wait time.Duration) bool {
	if !c.saturated(r.class) {
		return c.deadlineNear(r)
	}
	end := r.deadline - answerMargin
	if c.settings.Classes[r.class].LateWeightFraction == 0 {
		end = min(end, r.objectiveAt)
	}
	run := float64(c.expectedRunTime(r))
	// A late run that cannot be cancelled keeps its core to the end, so a start needs a margin.
	if c.settings.Cancel == CancelNone {
		run *= c.parameters.StartMarginFactor
	}
	return c.now+wait+time.Duration(run) > end
}

// retryIsFutile reports whether r, which misses its objective here, would probably miss it elsewhere
// too: other servers are full, or the time left is shorter than a run.
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
		if !c.hasCapacity() {
			return
		}
		if len(c.executing) == 0 && !r.mayHaveRun && c.lacksMemoryToRun(r) {
			// No run ends that would free memory, and r keeps all others from being started.
			c.reject(r, retryHint{}, reason{CauseMemory, c.memoryKB + c.runGrowthKB(r), c.runMemoryLimitKB()})
			continue
		}
		if !c.startRun(r) {
			return
		}
	}
}

// nextQueued is the queued request to start next, or nil: among the oldest of each class, the one
// with the largest product of age and priority weight. Classes that call the dependency are left out
// while it is congested.
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

// hasCapacity reports whether, within the running limit, one more request may run: up to the number
// of cores always, and up to the credit pool while a core is free.
func (c *Controller) hasCapacity() bool {
	limit := c.runningLimit()
	onCores := c.occupancy.onCoresWithOneMore()
	// Requests at calls may all return to the cores at once.
	withCalls := onCores + float64(c.occupancy.atCalls)
	if onCores > limit || withCalls > limit/c.parameters.RunningLimitShare {
		return false
	}
	coreFree := c.load.runnable < float64(c.settings.Cores)
	return c.occupancy.onCores < c.settings.Cores ||
		float64(c.occupancy.onCores) < c.credit.size && coreFree
}

// runningLimit is the number of requests that may run at once without overloading the server. It is
// lower while the server warms up.
func (c *Controller) runningLimit() float64 {
	speed := 1.0
	if c.settings.WarmingUp && c.settings.WarmUpTime > 0 {
		initial := c.settings.WarmUpInitialShare
		speed = min(initial+(1-initial)*float64(c.now-c.startedAt)/float64(c.settings.WarmUpTime), 1)
	}
	perCore := 1 + (c.settings.MaxRunningPerCore-1)*speed
	return max(float64(c.settings.Cores)*perCore*c.parameters.RunningLimitShare, 1)
}

// startRun starts r if it is queued and may run, and reports whether it did. All starts go through
// it.
func (c *Controller) startRun(r *request) bool {
	if r.state != queued || r.mayHaveRun || r.answered || c.arrivedAfterDrain(r) || c.lacksMemoryToRun(r) {
		return false
	}
	c.dequeue(r)
	c.memoryKB += c.runGrowthKB(r)
	c.runsKB += r.sizeKB * c.settings.RunningMemoryFactor
	r.state = running
	r.mayHaveRun = true
	r.startedAt = c.now
	c.executing = append(c.executing, r)
	c.enterCores()
	c.emit(Action{Kind: ActionStart, Request: r.id})
	return true
}

// onCompleted ends the run of r, or its answer from the result of another request.
func (c *Controller) onCompleted(r *request, e *Event) {
	if r.state == queued || r.state == awaitingResult {
		return
	}
	if e.Outcome == OutcomeCancelled && !r.answered { // it must not be started again
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
