package dependencies

import (
	"fmt"
	"time"

	"ryepaddle/internal/simulator/virtualclock"
)

// MachineSpec is what one runner's machine is like. Work is in microseconds on a core of speed 1.
type MachineSpec struct {
	Cores             int
	Speed             float64
	Thrash            float64 // loss of all that runs for each further multiple of ThrashAt
	ThrashAt          float64 // jobs a core past which they slow each other down; the runner is not told
	ReadWork          float64 // of reading one request
	Backlog           int     // unread requests for each core; with more there is no connection
	MemoryKB          float64
	RunFactor         float64       // memory of a running request over that of a held one
	ConcurrencyLimit  float64       // running requests on the cores, for each core, that it outlives as a mean
	ConcurrencyWindow time.Duration // the time of that mean
	WarmUpSpeed       float64       // the share of its speed with which it starts
	WarmUpTime        time.Duration // it is warm after this
	WarmUpCallFactor  float64       // by how much more a cold one calls
}

// Work is one request as the engine sees it.
type Work struct {
	ID     string
	SizeKB float64
	Parts  []float64 // work before, between and behind its calls
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The endings of runs.
const (
	RunSucceeded RunOutcome = iota + 1
	RunInterrupted
)

// MachineObserver of a machine is told what happens on it.
type MachineObserver interface {
	Needs(id string)               // a run waits for a call
	Ended(id string, e RunOutcome) // a run is over
	Died(why string)               // the machine fell over; nothing more is told
}

const (
	sampleInterval = 100 * time.Millisecond // of gauges, memory and crowd
	// a held request counts against the memory so long after it was written (PROTOCOL)
	reservationDelay = 100 * time.Millisecond
	cpuSamples       = 5 // half a second
)

type run struct {
	Work
	part         int
	job          *job // on the cores
	waitsForCall bool // for a call
	stopped      bool // nobody wants it; it ends at the next call
}

type reservation struct {
	id         string
	sizeKB     float64
	countsFrom time.Duration
}

// Machine is one runner's cores, memory and engine.
type Machine struct {
	spec          MachineSpec
	clock         virtualclock.Clock
	observer      MachineObserver
	cores         sharedProcessor
	startedAt     time.Duration
	cold          bool
	slowdown      float64 // times slower than usual; 1: not
	frozen        bool
	reading       int
	unread        []func()
	runs          map[string]*run
	atCalls       int
	unbooked      []reservation // written, not yet counted
	reserved      map[string]float64
	memory        float64
	runningTime   float64 // running requests on the cores, integrated
	countedAt     time.Duration
	running       int
	cpuWindow     slidingWindow
	runningWindow slidingWindow
	cpu           float64
	dead          bool
}

// NewMachine starts a machine, cold or warm.
func NewMachine(clock virtualclock.Clock, spec MachineSpec, cold bool, tenant MachineObserver) *Machine {
	m := &Machine{
		spec:          spec,
		clock:         clock,
		observer:      tenant,
		startedAt:     clock.Now(),
		cold:          cold && spec.WarmUpTime > 0,
		slowdown:      1,
		runs:          map[string]*run{},
		reserved:      map[string]float64{},
		countedAt:     clock.Now(),
		cpuWindow:     newSlidingWindow(cpuSamples),
		runningWindow: newSlidingWindow(max(int(spec.ConcurrencyWindow/sampleInterval), 1)),
	}
	m.cores = sharedProcessor{clock: clock, parallelism: float64(spec.Cores), contentionLoss: spec.Thrash,
		contentionFrom: max(spec.ThrashAt, 0.1) * float64(spec.Cores), advancedTo: virtualclock.Micros(clock.Now())}
	m.cores.speed = m.speed()
	clock.After(sampleInterval, m.sample)
	return m
}

// warmShare is the share of its speed that it has.
func (m *Machine) warmShare() float64 {
	if !m.cold {
		return 1
	}
	past := virtualclock.Micros(m.clock.Now()-m.startedAt) / virtualclock.Micros(m.spec.WarmUpTime)
	return min(m.spec.WarmUpSpeed+(1-m.spec.WarmUpSpeed)*past, 1)
}

func (m *Machine) speed() float64 {
	if m.frozen {
		return 0
	}
	return m.spec.Speed * m.warmShare() / m.slowdown
}

// IsWarmingUp tells whether it is still slow from its start, and so calls more.
func (m *Machine) IsWarmingUp() bool { return m.warmShare() < 1 }

// SetSlowdown makes it so many times slower than usual.
func (m *Machine) SetSlowdown(times float64) {
	m.slowdown = max(times, 1)
	m.cores.setSpeed(m.speed())
}

// SetFrozen lets all stand still, or go on.
func (m *Machine) SetFrozen(on bool) {
	m.frozen = on
	m.cores.setSpeed(m.speed())
}

// Read reads a request that has come to the machine, which takes work: one a core at a time, the
// others wait unread. It reports whether there was room.
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

// ReserveMemory books memory for a request that was written to the runner, a little after that.
func (m *Machine) ReserveMemory(id string, sizeKB float64) {
	m.unbooked = append(m.unbooked, reservation{id, sizeKB, m.clock.Now() + reservationDelay})
	m.reserved[id] = 0
}

// ReleaseMemory gives back what is booked for a held request that is answered or given up. What runs keeps
// its memory.
func (m *Machine) ReleaseMemory(id string) {
	m.memory -= m.reserved[id]
	delete(m.reserved, id)
}

// Run starts the work of a request. One that runs already is left alone.
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

// startPart puts the next part of a run on the cores.
func (m *Machine) startPart(r *run) {
	work := 0.0
	if r.part < len(r.Parts) {
		work = r.Parts[r.part]
	}
	m.countRunning(1)
	r.job = m.cores.add(work, func() {
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
			m.atCalls++
			m.observer.Needs(r.ID)
		}
	})
}

func (m *Machine) endRun(r *run, e RunOutcome) {
	delete(m.runs, r.ID)
	m.memory -= r.SizeKB * m.spec.RunFactor
	m.observer.Ended(r.ID, e)
}

// countRunning keeps the integral of running requests on the cores.
func (m *Machine) countRunning(d int) {
	now := m.clock.Now()
	m.runningTime += float64(m.running) * virtualclock.Micros(now-m.countedAt)
	m.countedAt = now
	m.running += d
}

// Resume lets a run go on that waited for a call.
func (m *Machine) Resume(id string) {
	if r := m.runs[id]; !m.dead && r != nil && r.waitsForCall {
		r.waitsForCall = false
		m.atCalls--
		m.startPart(r)
	}
}

// Stop tells that nobody wants a run. On the cores it goes on; at a call it ends.
func (m *Machine) Stop(id string) {
	r := m.runs[id]
	if m.dead || r == nil || r.stopped {
		return
	}
	if r.stopped = true; r.waitsForCall {
		m.atCalls--
		r.waitsForCall = false
		m.clock.After(0, func() {
			if !m.dead && m.runs[id] == r {
				m.endRun(r, RunInterrupted)
			}
		})
	}
}

// sample looks at the gauges and at what makes a machine fall over.
func (m *Machine) sample() {
	if m.dead {
		return
	}
	m.cores.setSpeed(m.speed())
	m.cores.advance()
	if busy, n := m.cpuWindow.add(m.cores.busyTime); n > 0 {
		m.cpu = busy / virtualclock.Micros(time.Duration(n)*sampleInterval) / float64(m.spec.Cores)
	}
	m.countRunning(0)
	crowd, n := m.runningWindow.add(m.runningTime)
	m.bookMemory()
	limit := m.spec.ConcurrencyLimit * float64(m.spec.Cores)
	if m.cold {
		limit = float64(m.spec.Cores) * (1 + (m.spec.ConcurrencyLimit-1)*m.warmShare())
	}
	switch {
	case time.Duration(n)*sampleInterval >= m.spec.ConcurrencyWindow && crowd/virtualclock.Micros(m.spec.ConcurrencyWindow) > limit:
		m.Kill(
			fmt.Sprintf(
				"crowd: %.1f running requests a core in the mean of %d ms",
				crowd/virtualclock.Micros(m.spec.ConcurrencyWindow)/
					float64(m.spec.Cores),
				m.spec.ConcurrencyWindow.Milliseconds(),
			),
		)
	case m.memory > m.spec.MemoryKB:
		m.Kill(fmt.Sprintf("memory: %.0f of %.0f kB", m.memory, m.spec.MemoryKB))
	default:
		m.clock.After(sampleInterval, m.sample)
	}
}

// bookMemory counts held requests whose time has come.
func (m *Machine) bookMemory() {
	i := 0
	for ; i < len(m.unbooked) && m.unbooked[i].countsFrom <= m.clock.Now(); i++ {
		h := m.unbooked[i]
		if _, still := m.reserved[h.id]; still {
			m.reserved[h.id] = h.sizeKB
			m.memory += h.sizeKB
		}
	}
	m.unbooked = m.unbooked[i:]
}

// Kill ends the machine and all on it. Its tenant is told, once.
func (m *Machine) Kill(why string) {
	if m.dead {
		return
	}
	m.dead = true
	m.cores.clear()
	m.unread, m.runs = nil, map[string]*run{}
	m.observer.Died(why)
}

// Gauges are the machine's own measurements.
type Gauges struct{ CPU, Runnable, Memory float64 }

// Gauges reads them.
func (m *Machine) Gauges() Gauges {
	m.bookMemory()
	return Gauges{
		CPU:      min(m.cpu, 1),
		Runnable: float64(len(m.cores.jobs) + len(m.unread)),
		Memory:   m.memory / m.spec.MemoryKB,
	}
}

// WorkDone is the work that its cores have done, in microseconds at speed 1.
func (m *Machine) WorkDone() float64 {
	m.cores.advance()
	return m.cores.workDone
}
