// Package dependencies models what a fleet of runners depends on: the machine of each runner with its
// engine, the back end that all runners share, and the registry. The models are state machines without
// I/O: package fleet runs them in virtual time, and package daytest behind sockets. Decisions about
// requests are left to the runners and balancers.
package dependencies

import (
	"fmt"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// MachineSpec describes the machine of a runner. Work is in microseconds of a core of speed 1.
type MachineSpec struct {
	Cores             int
	Speed             float64
	Thrash            float64       // relative slowdown for each multiple of ThrashAt beyond the first
	ThrashAt          float64       // jobs per core beyond which jobs slow each other down
	ReadWork          float64       // work of reading a request
	Backlog           int           // unread requests per core beyond which connections are refused
	MemoryKB          float64       // memory use beyond which the machine crashes
	RunFactor         float64       // memory of a running request, in multiples of its memory while queued
	ConcurrencyLimit  float64       // mean running requests per core beyond which the machine crashes
	ConcurrencyWindow time.Duration // window of that mean
	WarmUpSpeed       float64       // share of Speed at the start of a warm-up
	WarmUpTime        time.Duration // length of a warm-up, after which Speed is reached
	WarmUpCallFactor  float64       // probability of an extra call for each call while it warms up; from 1 on: always
}

// Work is a request as the engine sees it.
type Work struct {
	ID     string
	SizeKB float64
	Parts  []float64 // work before, between and after its calls to the back end
}

// RunOutcome is the outcome of a run.
type RunOutcome uint8

// The outcomes of runs.
const (
	RunSucceeded RunOutcome = iota + 1
	RunInterrupted
)

// MachineObserver is notified of events on a machine.
type MachineObserver interface {
	// Needs reports that a run waits for its next call to the back end.
	Needs(id string)
	// Ended reports that a run has ended.
	Ended(id string, outcome RunOutcome)
	// Died reports that the machine crashed or was killed. No other notification follows.
	Died(why string)
}

const (
	sampleInterval   = 100 * time.Millisecond // at which gauges are measured and limits checked
	reservationDelay = 100 * time.Millisecond // until the memory of a queued request counts
	cpuSamples       = 5                      // length of the window of Gauges.CPU, in samples
	minThrashAt      = 0.1                    // lower bound of MachineSpec.ThrashAt, by which the model divides
)

// run is a request that the engine runs.
type run struct {
	Work
	part         int  // index of the current part, or of the next one while the run waits for a call
	job          *job // job of the current part; nil: the run is not on the cores
	waitsForCall bool
	stopped      bool // it was canceled, and ends at its next call
}

// reservation is the memory of a queued request, which counts from countsFrom on.
type reservation struct {
	id         string
	sizeKB     float64
	countsFrom time.Duration
}

// Machine models the cores, the memory and the engine of a runner.
type Machine struct {
	spec                MachineSpec
	clock               virtualclock.Clock
	observer            MachineObserver
	cores               sharedProcessor
	startedAt           time.Duration
	cold                bool // it started cold, and warms up from startedAt on
	slowdown            float64
	frozen              bool
	reading             int      // requests that are being read
	unread              []func() // backlog: the done functions of Read
	runs                map[string]*run
	pendingReservations []reservation      // ordered by countsFrom
	reserved            map[string]float64 // memory of queued requests that counts, in KB
	memory              float64            // in use, in KB
	running             int                // runs that are on the cores
	runningTime         float64            // integral of running over time, up to countedAt, in microseconds
	countedAt           time.Duration
	cpuWindow           slidingWindow
	runningWindow       slidingWindow
	cpu                 float64
	dead                bool
}

// NewMachine returns a running machine, cold or warmed up.
func NewMachine(clock virtualclock.Clock, spec MachineSpec, cold bool, observer MachineObserver) *Machine {
	m := &Machine{
		spec:          spec,
		clock:         clock,
		observer:      observer,
		startedAt:     clock.Now(),
		cold:          cold && spec.WarmUpTime > 0,
		slowdown:      1,
		runs:          map[string]*run{},
		reserved:      map[string]float64{},
		countedAt:     clock.Now(),
		cpuWindow:     newSlidingWindow(cpuSamples),
		runningWindow: newSlidingWindow(max(int(spec.ConcurrencyWindow/sampleInterval), 1)),
	}
	m.cores = sharedProcessor{
		clock:          clock,
		parallelism:    float64(spec.Cores),
		contentionLoss: spec.Thrash,
		contentionFrom: max(spec.ThrashAt, minThrashAt) * float64(spec.Cores),
		advancedTo:     virtualclock.Micros(clock.Now()),
	}
	m.cores.speed = m.speed()
	clock.After(sampleInterval, m.sample)
	return m
}

// warmShare returns the share of its full speed that the machine has reached.
func (m *Machine) warmShare() float64 {
	if !m.cold {
		return 1
	}
	elapsed := virtualclock.Micros(m.clock.Now()-m.startedAt) / virtualclock.Micros(m.spec.WarmUpTime)
	return min(m.spec.WarmUpSpeed+(1-m.spec.WarmUpSpeed)*elapsed, 1)
}

// speed returns the current speed of a core.
func (m *Machine) speed() float64 {
	if m.frozen {
		return 0
	}
	return m.spec.Speed * m.warmShare() / m.slowdown
}

// IsWarmingUp reports whether the machine is still warming up after its start.
func (m *Machine) IsWarmingUp() bool { return m.warmShare() < 1 }

// SetSlowdown makes the machine slower by a factor of at least 1.
func (m *Machine) SetSlowdown(factor float64) {
	m.slowdown = max(factor, 1)
	m.cores.setSpeed(m.speed())
}

// SetFrozen stops all work on the machine or resumes it.
func (m *Machine) SetFrozen(frozen bool) {
	m.frozen = frozen
	m.cores.setSpeed(m.speed())
}

// Read takes a request that has arrived. Each core reads one request at a time; the others wait in the
// backlog. Read reports whether the backlog had room. done is called once the request is read.
func (m *Machine) Read(done func()) bool {
	if m.dead || len(m.unread) >= m.spec.Backlog*m.spec.Cores {
		return false
	}
	m.unread = append(m.unread, done)
	m.readNext()
	return true
}

func (m *Machine) readNext() {
	for m.reading < m.spec.Cores && len(m.unread) > 0 {
		done := m.unread[0]
		m.unread[0] = nil
		m.unread = m.unread[1:]
		m.reading++
		m.cores.add(m.spec.ReadWork, func() {
			m.reading--
			m.readNext()
			done()
		})
	}
}

// ReserveMemory reserves memory for a queued request. The memory counts as used reservationDelay later.
func (m *Machine) ReserveMemory(id string, sizeKB float64) {
	m.pendingReservations = append(m.pendingReservations, reservation{id, sizeKB, m.clock.Now() + reservationDelay})
	m.reserved[id] = 0
}

// ReleaseMemory releases the memory of a queued request that is answered or abandoned. A running
// request keeps its memory.
func (m *Machine) ReleaseMemory(id string) {
	m.memory -= m.reserved[id]
	delete(m.reserved, id)
}

// Run starts a run of a request. It does nothing if the request is already running.
func (m *Machine) Run(w Work) {
	if m.dead || m.runs[w.ID] != nil {
		return
	}
	m.ReleaseMemory(w.ID)
	r := &run{Work: w}
	m.runs[w.ID] = r
	m.memory += r.SizeKB * m.spec.RunFactor
	m.startPart(r)
}

// startPart starts the next part of a run on the cores.
func (m *Machine) startPart(r *run) {
	work := 0.0
	if r.part < len(r.Parts) {
		work = r.Parts[r.part]
	}
	m.countRunning(1)
	r.job = m.cores.add(work, func() { m.endPart(r) })
}

// endPart ends a run after its last part or if it was canceled, and otherwise makes it wait for its next
// call.
func (m *Machine) endPart(r *run) {
	r.job = nil
	m.countRunning(-1)
	r.part++
	switch {
	case r.part >= len(r.Parts):
		m.endRun(r, RunSucceeded)
	case r.stopped:
		m.endRun(r, RunInterrupted)
	default:
		r.waitsForCall = true
		m.observer.Needs(r.ID)
	}
}

func (m *Machine) endRun(r *run, outcome RunOutcome) {
	delete(m.runs, r.ID)
	m.memory -= r.SizeKB * m.spec.RunFactor
	m.observer.Ended(r.ID, outcome)
}

// countRunning updates the integral of running and then changes the number of runs on the cores.
func (m *Machine) countRunning(change int) {
	now := m.clock.Now()
	m.runningTime += float64(m.running) * virtualclock.Micros(now-m.countedAt)
	m.countedAt = now
	m.running += change
}

// Resume continues a run whose call has ended.
func (m *Machine) Resume(id string) {
	if r := m.runs[id]; !m.dead && r != nil && r.waitsForCall {
		r.waitsForCall = false
		m.startPart(r)
	}
}

// Stop cancels a run. The run ends at its next call, at once if it waits for one, or after its last part.
func (m *Machine) Stop(id string) {
	r := m.runs[id]
	if m.dead || r == nil || r.stopped {
		return
	}
	r.stopped = true
	if !r.waitsForCall {
		return
	}
	r.waitsForCall = false
	m.clock.After(0, func() {
		if !m.dead && m.runs[id] == r {
			m.endRun(r, RunInterrupted)
		}
	})
}

// sample measures the gauges, and crashes the machine if it exceeds its limit on memory or concurrency.
func (m *Machine) sample() {
	if m.dead {
		return
	}
	m.cores.setSpeed(m.speed())
	m.cores.advance()
	if busyTime, samples := m.cpuWindow.add(m.cores.busyTime); samples > 0 {
		elapsed := virtualclock.Micros(time.Duration(samples) * sampleInterval)
		m.cpu = busyTime / elapsed / float64(m.spec.Cores)
	}
	m.countRunning(0)
	runningTime, samples := m.runningWindow.add(m.runningTime)
	m.countReservations()
	meanRunning := runningTime / virtualclock.Micros(m.spec.ConcurrencyWindow)
	switch {
	case time.Duration(samples)*sampleInterval >= m.spec.ConcurrencyWindow && meanRunning > m.maxRunning():
		m.Kill(fmt.Sprintf("concurrency: mean of %.1f running requests per core over %d ms",
			meanRunning/float64(m.spec.Cores), m.spec.ConcurrencyWindow.Milliseconds()))
	case m.memory > m.spec.MemoryKB:
		m.Kill(fmt.Sprintf("memory: %.0f kB in use of %.0f kB", m.memory, m.spec.MemoryKB))
	default:
		m.clock.After(sampleInterval, m.sample)
	}
}

// maxRunning returns the highest mean of running requests that the machine survives: ConcurrencyLimit for each
// core. After a cold start, the part of ConcurrencyLimit above 1 is multiplied by warmShare.
func (m *Machine) maxRunning() float64 {
	if m.cold {
		return float64(m.spec.Cores) * (1 + (m.spec.ConcurrencyLimit-1)*m.warmShare())
	}
	return m.spec.ConcurrencyLimit * float64(m.spec.Cores)
}

// countReservations adds the reservations that are due to the memory in use.
func (m *Machine) countReservations() {
	due := 0
	for ; due < len(m.pendingReservations) && m.pendingReservations[due].countsFrom <= m.clock.Now(); due++ {
		r := m.pendingReservations[due]
		if _, queued := m.reserved[r.id]; queued {
			m.reserved[r.id] = r.sizeKB
			m.memory += r.sizeKB
		}
	}
	m.pendingReservations = m.pendingReservations[due:]
}

// Kill ends the machine and all its work, and notifies the observer. Later calls do nothing.
func (m *Machine) Kill(why string) {
	if m.dead {
		return
	}
	m.dead = true
	m.cores.clear()
	m.unread = nil
	m.runs = map[string]*run{}
	m.observer.Died(why)
}

// Gauges holds measurements of a machine.
type Gauges struct {
	CPU      float64 // share of the cores in use, 0 to 1
	Runnable float64 // number of jobs on the cores and of requests in the backlog
	Memory   float64 // share of the memory in use
}

// Gauges returns the current measurements.
func (m *Machine) Gauges() Gauges {
	m.countReservations()
	return Gauges{
		CPU:      min(m.cpu, 1),
		Runnable: float64(len(m.cores.jobs) + len(m.unread)),
		Memory:   m.memory / m.spec.MemoryKB,
	}
}

// WorkDone returns the work that the cores have done so far, in microseconds at speed 1.
func (m *Machine) WorkDone() float64 {
	m.cores.advance()
	return m.cores.workDone
}
