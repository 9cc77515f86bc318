package endpointhealth

import "fmt"

// Outcome is how a request ended, as far as it is about its server.
type Outcome uint8

// The outcomes.
const (
	Good   Outcome = iota + 1
	Fault          // it answered that it failed, which may be the request's fault
	Bad            // it broke off
	Late           // it did not come back in time; that tells of it where its peers do
	Absent         // it took nothing
	Unsaid         // it tells nothing of the server
)

// Forget is after how long what was measured of a server that nothing was sent to says nothing any
// more.
const Forget = 5_000_000

const smooth = 16 // requests over which the mean latency goes

// Done notes the end of a request at a server, which took so long.
func (t *Table) Done(m *Member, o Outcome, took, now int64) {
	m.Open--
	if o != Unsaid {
		if m.Ended++; now-m.Heard > Forget {
			m.Latency, m.Success = 0, 1
		}
		m.Heard = now
	}
	switch o {
	case Good:
		m.Success += (1 - m.Success) / smooth
		if m.Latency == 0 {
			m.Latency = float64(max(took, 1))
		}
		m.Latency += (float64(max(took, 1)) - m.Latency) / smooth
		m.window.add(now, false)
	case Fault, Bad, Late, Absent:
		m.Failed++
		m.Success -= m.Success / smooth
		m.window.add(now, true)
	}
	if m.left {
		t.drop(m, now)
		return
	}
	if m.State == Probing {
		t.probeEnded(m, o, now)
		return
	}
	switch o {
	case Good:
		m.fails = 0
	case Late: // once is chance or a crowd; again and again where others are in time is not
		if m.fails++; m.fails >= t.cfg.Fails && t.late <= t.cfg.RateMost/t.cfg.RateFactor {
			t.failed(m, now)
		}
	case Bad, Absent:
		m.fails++
		t.failed(m, now)
	}
}

func (t *Table) probeEnded(m *Member, o Outcome, now int64) {
	switch o {
	case Good:
		t.comeBack(m, now, "its probe went well")
	case Unsaid:
		m.probed = false // another may probe it
	default:
		m.misses++
		t.eject(m, now, "its probe failed")
	}
}

// comeBack has a server that was out warm up.
func (t *Table) comeBack(m *Member, now int64, cause string) {
	m.fails, m.misses, m.back = 0, 0, true
	t.set(m, Warming, now, "%s", cause)
}

// failed judges a server by its failures in a row.
func (t *Table) failed(m *Member, now int64) {
	switch {
	case m.State != InService && m.State != Suspected && m.State != Warming:
	case m.fails >= t.cfg.Fails && t.mayEject():
		t.eject(m, now, fmt.Sprintf("%d failures in a row", m.fails))
	case m.State == InService:
		t.set(m, Suspected, now, "it failed")
	}
}

func (t *Table) eject(m *Member, now int64, cause string) {
	// One that stays away is asked for now and then, which costs one request. One that comes back
	// and fails again costs many.
	if m.back {
		m.times++
	}
	m.until = now + min(t.cfg.EjectFor<<min(m.times+m.misses/4, 20), t.cfg.EjectMost)
	m.fails, m.probed, m.back = 0, false, false
	t.set(m, Ejected, now, "%s, for %d ms", cause, (m.until-now)/1000)
}

// mayEject tells whether one more may be out: with too many out the rest would fall in turn.
func (t *Table) mayEject() bool {
	return float64(t.out+1) <= t.cfg.MostShare*float64(len(t.roster.Members))
}

// judgeLatency ejects a server that has been much slower than its peers for a while. One that warms
// up may be.
func (t *Table) judgeLatency(m *Member, now int64) {
	if t.cfg.SlowFactor == 0 || len(t.sorted) < 3 || m.State == Warming {
		return
	}
	median := t.sorted[len(t.sorted)/2]
	if m.Latency <= t.cfg.SlowFactor*median || m.Latency-median < float64(t.cfg.SlowFloor) {
		m.slow = 0
		return
	}
	if m.slow++; m.slow >= t.cfg.SlowFor && t.mayEject() {
		slow := m.Latency
		m.Latency = 0 // it is measured anew when it is back
		t.eject(m, now, fmt.Sprintf("%.0f ms are too slow beside %.0f of its peers", slow/1000, median/1000))
	}
}
