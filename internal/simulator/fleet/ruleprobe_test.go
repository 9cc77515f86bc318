package fleet

import (
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
)

// ruleProbe is a model with one runner, whose engine is told to run what a faulty core might.
type ruleProbe struct {
	t           testing.TB
	simulation  *Simulation
	incarnation *Incarnation
	runs        int
}

func newRuleProbe(t testing.TB, d *day.Day) *ruleProbe {
	s := NewSimulation(d, Options{}, virtualclock.New(), launchInProcess, false)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return &ruleProbe{t: t, simulation: s, incarnation: s.runners[0].incarnation}
}

// run tells the engine to run a hand-in that came at a time.
func (p *ruleProbe) run(id uint64, came time.Duration) {
	class := -1
	for i, c := range p.simulation.day.Spec.Classes {
		if c.Effect == "keyed" {
			class = i
		}
	}
	p.runs++
	j := &Attempt{
		simulation:  p.simulation,
		arrival:     &day.Arrival{ID: id, Class: class, Work: 1000},
		runner:      p.incarnation.runner,
		incarnation: p.incarnation,
		arrivedAt:   came,
		Name:        strconv.Itoa(p.runs),
	}
	p.incarnation.attempts[j.Name] = j
	p.incarnation.Run(j.Name)
}

func (p *ruleProbe) close() *ledger.Result {
	p.t.Helper()
	res, err := p.simulation.account.Close(0)
	if err != nil {
		p.t.Fatal(err)
	}
	return res
}
