package fleet

import (
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
)

// ruleProbe starts runs in a simulation directly, as a faulty runner could, to test the checks of the
// rules.
type ruleProbe struct {
	t           testing.TB
	simulation  *Simulation
	incarnation *Incarnation
	runs        int
}

func newRuleProbe(t testing.TB, d *day.Day) *ruleProbe {
	s := NewSimulation(d, Options{}, virtualclock.New(), launchInProcess, RegisteredBySimulation)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return &ruleProbe{t: t, simulation: s, incarnation: s.runners[0].incarnation}
}

// run makes the engine run a request of a keyed class that arrived at the given time.
func (p *ruleProbe) run(id uint64, arrivedAt time.Duration) {
	class := -1
	for i, c := range p.simulation.day.Spec.Classes {
		if c.Effect == day.EffectKeyed {
			class = i
		}
	}
	p.runs++
	a := &Attempt{
		simulation:  p.simulation,
		arrival:     &day.Arrival{ID: id, Class: class, Work: 1000},
		runner:      p.incarnation.runner,
		incarnation: p.incarnation,
		arrivedAt:   arrivedAt,
		Name:        strconv.Itoa(p.runs),
	}
	p.incarnation.attempts[a.Name] = a
	p.incarnation.Run(a.Name)
}

func (p *ruleProbe) close() *ledger.Result {
	p.t.Helper()
	res, err := p.simulation.account.Close(0)
	if err != nil {
		p.t.Fatal(err)
	}
	return res
}
