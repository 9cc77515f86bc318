package app

// Statistics is the answer of the admin listener. The JSON keys are the platform's; the maps are by
// class.
type Statistics struct {
	Served          map[string]int64 `json:"fulfilled"`
	Rejected        map[string]int64 `json:"throttled"`
	Faulted         map[string]int64 `json:"faulted"` // all other answers
	Attempts        int64            `json:"relayed"` // attempts sent to the engine or a server
	OpenRequests    int              `json:"open_requests"`
	ReloadsAccepted int64            `json:"cfg_accepted"`
	ReloadsRejected int64            `json:"cfg_invalid"`
}

// Statistics implements admin.StatusSource.
func (p *Program) Statistics() any {
	s := Statistics{
		Served:          map[string]int64{},
		Rejected:        map[string]int64{},
		Faulted:         map[string]int64{},
		OpenRequests:    p.requests.OpenRequests(),
		ReloadsAccepted: p.state.reloadsAccepted,
		ReloadsRejected: p.state.reloadsRejected,
	}
	for class, stats := range p.requests.StatsByClass() {
		s.Served[class] = stats.Served
		s.Rejected[class] = stats.Rejected
		s.Faulted[class] = stats.Faulted()
		s.Attempts += stats.Attempts
	}
	return s
}

// Ready implements admin.StatusSource.
func (p *Program) Ready() (reason string, ok bool) {
	switch {
	case p.state.draining:
		return "it leaves", false
	case p.config.Engine.IsValid() && !p.platform.engine.IsConnected():
		return "the engine is not there", false
	case !p.state.listening:
		return "it does not listen yet", false
	case p.keys.lockPending:
		return "another process holds the lock of the claims", false
	case p.keys.reservations != nil && !p.keys.reservations.HasServed():
		return "other processes are not told yet that it serves", false
	case p.keys.store != nil && !p.keys.store.IsRestored():
		return "keys are being read from the disk", false
	}
	return "", true
}
