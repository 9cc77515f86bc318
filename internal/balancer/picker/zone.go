package picker

import (
	"cmp"
	"math/rand/v2"

	"ryepaddle/internal/balancer/endpointhealth"
)

// relay is how long the drawing of servers may lag behind what becomes of them, in microseconds.
// Whoever is drawn is looked at before it is chosen, so that this costs a second draw, not a
// request.
const relay = 20_000

// hall is the servers at one place, in one network.
type hall struct {
	name     string
	servers  []*Server
	weights  []float64 // as drawn by: weight times part
	dice     alias
	any      bool      // there is somebody to draw
	laid     int64     // when it was laid out
	stale    bool      // something has changed since
	warming  []*Server // whose parts change by themselves
	warm     float64   // the weight of those that are not new to their work
	open     int       // requests at its servers
	room     int       // the sum of the limits of those who get a part
	standing float64   // share of its weight that is there
}

// look lays the hall out anew where that is due.
func (h *hall) look(t *endpointhealth.Monitor, now int64) {
	if h.laid != 0 && (!h.stale && len(h.warming) == 0 || now-h.laid < relay) {
		return
	}
	h.laid, h.stale, h.warming, h.warm, h.room = now, false, h.warming[:0], 0, 0
	all, part := 0.0, 0.0
	h.weights = h.weights[:0]
	for _, s := range h.servers {
		p := t.TrafficShare(s.Endpoint, now)
		h.weights = append(h.weights, float64(s.Weight)*p)
		all += float64(s.Weight)
		if part += float64(s.Weight) * p; s.State == endpointhealth.Suspected { // it is there
			part += float64(s.Weight) * (1 - p)
		}
		if s.State == endpointhealth.WarmingUp {
			h.warming = append(h.warming, s)
		}
		if s.warm() {
			h.warm += float64(s.Weight)
		}
		if p > 0 {
			h.room += s.limit.Current()
		}
	}
	h.standing = part / max(all, 1)
	h.any = h.dice.lay(h.weights)
}

// isFull tells whether its servers have all that they are good for.
func (h *hall) isFull() bool { return !h.any || h.open >= h.room }

const (
	// whole is up to how many servers of a hall all are looked at. The best of all is worth the
	// nanoseconds: near the limit of what the servers can carry, the better of two lost 6% of the
	// worth in the model, and the best of three 3%.
	whole    = 32
	finalist = 3  // candidates in a larger hall
	draws    = 12 // for them
)

// draw gives the best of the servers, or of some that are drawn by their parts; nil: there is none
// that may be chosen. Where several are as good the one that was drawn first stays, so that a light
// load too is parted by weights.
func (h *hall) draw(r *rand.Rand, q *Query, may func(*Server, *Query) bool) *Server {
	if !h.any {
		return nil
	}
	var best *Server
	least := 0.0
	found := 0
	look := func(s *Server) {
		if s == best || !may(s, q) {
			return
		}
		found++
		if c := s.cost(q); best == nil || c < least {
			best, least = s, c
		}
	}
	if len(h.servers) <= whole {
		at := h.dice.draw(r)
		look(h.servers[at])
		// where what was drawn is beaten, the first in order would get it all
		if at = r.IntN(len(h.servers)); at > 0 {
			for _, s := range h.servers[at:] {
				look(s)
			}
		}
		for _, s := range h.servers[:cmp.Or(at, len(h.servers))] {
			look(s)
		}
		return best
	}
	for range draws {
		if look(h.servers[h.dice.draw(r)]); found == finalist {
			return best
		}
	}
	if best != nil {
		return best
	}
	from := r.IntN(len(h.servers))
	for i := range h.servers {
		if look(h.servers[(from+i)%len(h.servers)]); best != nil {
			return best
		}
	}
	return nil
}
