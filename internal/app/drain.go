package app

import "time"

// Times of a drain, in microseconds.
const (
	drainLook  = 20_000
	drainSpare = 150_000 // the program is gone so long before it is stopped
)

// drain leaves service: late arrivals are refused, all that was read is answered, then the program
// ends.
func (r *Program) drain() {
	if r.leaving {
		return
	}
	if r.replaced() {
		r.retire()
		return
	}
	r.leaving = true
	// a HUP that comes now does not move the time at which the process is stopped
	began, stop := r.loop.Now().Microseconds(), r.cfg.StopTimeout
	evDrain.Log(r.core.OpenRequests())
	r.core.Drain(time.Duration(stop) * time.Microsecond)
	if r.peers != nil {
		r.peers.Leases().ReleaseAll()
	}
	if r.roster != nil {
		r.roster.SetAvailable(false)
	}
	grace := min(r.cfg.Settings.DrainGrace.Microseconds()+100_000, stop/2)
	r.loop.After(time.Duration(grace)*time.Microsecond, func() {
		if r.listens {
			r.front.Drain()
		}
		if r.second != nil {
			r.second.Drain()
		}
	})
	var look func()
	look = func() {
		past := r.loop.Now().Microseconds() - began
		if r.conns() == 0 && past > grace && !r.front.IsListening() || past > stop-drainSpare {
			r.finish(past)
			return
		}
		r.loop.After(time.Duration(drainLook)*time.Microsecond, look)
	}
	look()
}

// finish ends the program, so long after the notice: connections that are open are shut in order,
// and what was not answered is told.
func (r *Program) finish(past int64) {
	r.front.Close()
	evDrained.Log(past/1000, r.core.OpenRequests(), r.core.Stats())
	r.loop.Stop()
}
