package fleet

import (
	"strconv"
	"time"

	"ryepaddle/internal/simulator/balance"
	"ryepaddle/internal/simulator/day"
	"ryepaddle/internal/simulator/ledger"
)

// balancer puts one of package balance into the model.
type balancer struct {
	s     *Simulation
	no    int
	hall  int
	told  bool
	b     *balance.Balancer
	open  map[uint64]*day.Arrival
	tries map[*balance.Attempt]*Attempt // what is out
	late  uint64
}

func (s *Simulation) newBalancer(i int) *balancer {
	at := s.day.Balancers[i]
	kind := s.day.Spec.Balancers[at.Kind]
	if s.opt.BalancerKinds != nil {
		kind = s.opt.BalancerKinds[at.Kind]
	}
	b := &balancer{
		s:     s,
		no:    i,
		hall:  at.Hall,
		told:  kind.Choose == string(balance.LeastReportedLoad),
		open:  map[uint64]*day.Arrival{},
		tries: map[*balance.Attempt]*Attempt{},
	}
	seed := s.day.Seed ^ s.opt.BalancerSeed
	heeds := at.Heeds
	if s.opt.BalancerKinds != nil { // the draw is the day's, the share may be another
		heeds = day.Unit(s.day.Seed, "heeds", uint64(i)) < kind.Heeds
	}
	draw := func(request uint64, no, what int) float64 {
		return day.Unit(seed, "choice", request<<24^uint64(no)<<14^uint64(what))
	}
	b.b = balance.New(uint64(i)+1, len(s.runners), kind.Habit(heeds), s.clock, b, draw)
	notice := s.day.Spec.Roster.NoticeS
	s.roster.Watch(func() time.Duration {
		b.late++
		u := day.Unit(s.day.Seed, "notice"+strconv.Itoa(i), b.late)
		return seconds(notice.Lo + (notice.Hi-notice.Lo)*u)
	}, func(name string, listed bool) {
		for _, r := range s.runners {
			if r.spec.Name == name {
				b.b.SetListed(r.no, listed)
			}
		}
	})
	return b
}

func (b *balancer) ask(a *day.Arrival) {
	class := &b.s.day.Spec.Classes[a.Class]
	b.open[a.ID] = a
	b.b.Submit(
		&balance.Request{ID: a.ID, Key: a.ID, Idempotent: class.Effect == "safe", Keyed: class.Effect == "keyed",
			Deadline: millis(class.DeadlineMs)},
	)
}

// Send puts a try on the network.
func (b *balancer) Send(t *balance.Attempt) {
	s := b.s
	s.book.CountAttempt()
	r := s.runners[t.Server]
	j := &Attempt{s: s, b: b, t: t, a: b.open[t.Request.ID], r: r}
	b.tries[t] = j
	d, arrives := s.delay(b.hall, r.spec.Hall)
	if !arrives {
		s.clock.After(connectTime, func() { j.back(balance.Answer{Kind: balance.Unreachable, AdvertisedValue: -1}) })
		return
	}
	s.clock.After(d, j.arrive)
}

// Abort takes a try back. The runner hears of it late, or never.
func (b *balancer) Abort(t *balance.Attempt) {
	j := b.tries[t]
	delete(b.tries, t)
	if j == nil {
		return
	}
	f, u := &b.s.day.Spec.Fleet, day.Unit(b.s.day.Seed^b.s.opt.BalancerSeed, "gone", t.Request.ID<<8^uint64(t.Number))
	if u < f.GoneLost {
		return
	}
	late := f.TellsGoneMs.Lo + (f.TellsGoneMs.Hi-f.TellsGoneMs.Lo)*u
	b.s.clock.After(millis(late), j.gone)
}

// Check asks a runner how it is.
func (b *balancer) Check(i int) {
	r := b.s.runners[i]
	done := false
	tell := func(good bool) {
		if !done {
			done = true
			b.b.Checked(i, good)
		}
	}
	b.s.clock.After(checkTime, func() { tell(false) })
	d, arrives := b.s.delay(b.hall, r.spec.Hall)
	if !arrives {
		return
	}
	b.s.clock.After(d, func() {
		l := r.life
		if l == nil || l.left || !l.proc.IsReady() {
			b.s.clock.After(d, func() { tell(false) })
			return
		}
		l.machine.Read(func() { // a check is read like a request
			l.proc.Check(b.no+1, func(good bool) { b.s.clock.After(d, func() { tell(good && !l.dead) }) })
		})
	})
}

var ends = map[balance.Outcome]ledger.Cause{balance.EndServed: ledger.WithinObjective, balance.EndRejected: ledger.Rejected,
	balance.EndFailed: ledger.Failed, balance.EndTimedOut: ledger.TimedOut, balance.EndUnsent: ledger.Unsent}

// Finish ends a first try.
func (b *balancer) Finish(r *balance.Request, e balance.Outcome, by *balance.Attempt) {
	a := b.open[r.ID]
	delete(b.open, r.ID)
	b.s.book.EndRequest(r.ID, ends[e], b.s.now()-a.At)
	if e == balance.EndServed {
		b.s.book.AddUsefulWork(a.Work + b.s.readWork())
	}
}
