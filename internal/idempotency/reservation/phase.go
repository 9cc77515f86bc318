package reservation

import (
	"time"

	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/wallclock"
)

// Phase is the state of one of the processes of a runner, as it tells the others in its log. A process
// enters phases in ascending order, and may leave some out.
type Phase uint8

// The phases.
const (
	Starting Phase = iota // it does not accept connections yet
	Serving               // it accepts connections
	Retiring              // it shuts down because a successor serves
	Draining              // it shuts down because it was told to leave, and has no successor
)

func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Retiring:
		return "retiring"
	case Draining:
		return "draining"
	}
	return "starting"
}

// The successor of a process is a process that began to serve after it and still serves. All processes
// agree on the order in which they began to serve, since they write it under the shared lock. Hence of
// two processes at most one is the successor of the other, and a process that serves without a
// successor is the runner: a notice to leave that it gets is a notice to the runner.

// MarkServing writes that this process accepts connections. While another process holds the shared lock,
// it tries again, and after openTimeout it writes without the lock.
func (c *Coordinator) MarkServing() { c.markServing(openTimeout) }

func (c *Coordinator) markServing(within time.Duration) {
	if c.lock == nil || c.phase != Starting {
		return
	}
	locked := tryLock(c.lock)
	if !locked && within >= lockRetryInterval {
		c.config.After(lockRetryInterval, func() { c.markServing(within - lockRetryInterval) })
		return
	}
	c.logError(c.readOthers()) // those that it finds serving began before this process
	c.enter(Serving)
	if locked {
		unlock(c.lock)
	}
}

// HasServed reports whether this process has written that it accepts connections, so that a process that
// gets SIGTERM from now on finds it as its successor.
func (c *Coordinator) HasServed() bool { return c.phase != Starting }

// MarkRetiring writes that this process shuts down in favour of its successor.
func (c *Coordinator) MarkRetiring() { c.enter(Retiring) }

// MarkDraining writes that this process was told to leave and has no successor. If it is itself the
// successor of a process that is retiring, that process learns the time of the notice.
func (c *Coordinator) MarkDraining() { c.enter(Draining) }

// enter changes the phase of this process and writes the record of it.
func (c *Coordinator) enter(phase Phase) {
	c.phase = phase
	c.phaseSince = c.clock.Unix()
	c.logError(c.append(phaseRecord(phase, c.phaseSince)))
}

// phaseRecord returns the record that a process has entered a phase other than Starting. That of Serving
// has the kind SyncMark, which has another meaning in the segments of a store and does not otherwise
// occur in a log of reservations, and no time. Processes of versions that do not know the kinds of the
// other phases skip their records.
func phaseRecord(phase Phase, since wallclock.UnixMicro) *store.Record {
	switch phase {
	case Retiring:
		return &store.Record{Kind: store.ProcessRetiring, WrittenAt: since}
	case Draining:
		return &store.Record{Kind: store.ProcessDraining, WrittenAt: since}
	}
	return &store.Record{Kind: store.SyncMark}
}

// phaseOf returns the phase that a process has entered according to one of its records; Starting if the
// record is about something else.
func phaseOf(r *store.Record) Phase {
	switch r.Kind {
	case store.SyncMark:
		return Serving
	case store.ProcessRetiring:
		return Retiring
	case store.ProcessDraining:
		return Draining
	}
	return Starting
}

// applyPhase applies the record that another process has entered a phase. Compacted logs repeat records.
func (c *Coordinator) applyPhase(p *otherProcess, phase Phase, since wallclock.UnixMicro) {
	if phase <= p.phase {
		return
	}
	if p.phase == Starting {
		p.isLater = c.phase != Starting
	}
	p.phase = phase
	p.phaseSince = since
	evProcessPhase.Log(FormatIncarnation(p.incarnation), phase, p.isLater)
}

// isSuccessor reports whether p began to serve after this process and still serves.
func (p *otherProcess) isSuccessor() bool { return p.alive && p.isLater && p.phase == Serving }

// Successor returns the incarnation of the successor of this process, the smallest if there are several,
// and false if there is none. Records that were written since the last poll count.
func (c *Coordinator) Successor() (incarnation uint32, ok bool) {
	if c.lock != nil {
		c.logError(c.readOthers())
		c.reportAlive()
	}
	return c.successor()
}

func (c *Coordinator) successor() (incarnation uint32, ok bool) {
	for _, p := range c.processes {
		if p.isSuccessor() && (!ok || p.incarnation < incarnation) {
			incarnation, ok = p.incarnation, true
		}
	}
	return incarnation, ok
}

// reportSuccessorDrains calls OnSuccessorDrains, once, if this process is retiring and the last of its
// successors was told to leave. Since then the runner is leaving, and this process with it.
func (c *Coordinator) reportSuccessorDrains() {
	if c.phase != Retiring || c.reportedDrain || c.config.OnSuccessorDrains == nil {
		return
	}
	if _, ok := c.successor(); ok {
		return
	}
	var since wallclock.UnixMicro
	for _, p := range c.processes {
		if p.isLater && p.phase == Draining {
			since = max(since, p.phaseSince)
		}
	}
	if since != 0 {
		c.reportedDrain = true
		c.config.OnSuccessorDrains(since)
	}
}
