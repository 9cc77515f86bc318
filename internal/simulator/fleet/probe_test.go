package fleet

import (
	"strconv"
	"testing"
	"time"

	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
	"ryepaddle/internal/simulator/virtualclock"
)

// probe is a model with one runner, whose engine is told to run what a faulty core might.
type probe struct {
	t    testing.TB
	s    *Simulation
	life *Incarnation
	n    int
}

func newProbe(t testing.TB, d *day.Day) *probe {
	s := NewSimulation(d, Options{}, virtualclock.New(), launchInside, false)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return &probe{t: t, s: s, life: s.runners[0].life}
}

// run tells the engine to run a hand-in that came at a time.
func (p *probe) run(id uint64, came time.Duration) {
	class := -1
	for i, c := range p.s.day.Spec.Classes {
		if c.Effect == "keyed" {
			class = i
		}
	}
	p.n++
	j := &Attempt{
		s:    p.s,
		a:    &day.Arrival{ID: id, Class: class, Work: 1000},
		r:    p.life.r,
		l:    p.life,
		came: came,
		Name: strconv.Itoa(p.n),
	}
	p.life.jobs[j.Name] = j
	p.life.Run(j.Name)
}

func (p *probe) close() *ledger.Result {
	p.t.Helper()
	res, err := p.s.book.Close(0)
	if err != nil {
		p.t.Fatal(err)
	}
	return res
}
