package app

// Statistics are what the operators' door tells. Their names are the platform's.
type Figures struct {
	Fulfilled   map[string]int64 `json:"fulfilled"` // by class: served,
	Throttled   map[string]int64 `json:"throttled"` // refused,
	Faulted     map[string]int64 `json:"faulted"`   // and failed
	Relayed     int64            `json:"relayed"`   // attempts handed to the engine or a server
	Open        int              `json:"open_requests"`
	CfgAccepted int64            `json:"cfg_accepted"`
	CfgInvalid  int64            `json:"cfg_invalid"`
}

// Statistics implements ops.Program.
func (r *Program) Statistics() any {
	f := Figures{
		Fulfilled:   map[string]int64{},
		Throttled:   map[string]int64{},
		Faulted:     map[string]int64{},
		Open:        r.core.OpenRequests(),
		CfgAccepted: r.accepted,
		CfgInvalid:  r.invalid,
	}
	for name, n := range r.core.StatsByClass() {
		f.Fulfilled[name], f.Throttled[name], f.Faulted[name] = n.Served, n.Rejected, n.Faulted()
		f.Relayed += n.Attempts
	}
	return f
}

// Ready implements ops.Program.
func (r *Program) Ready() (why string, ok bool) {
	switch {
	case r.leaving:
		return "it leaves", false
	case r.cfg.Engine.IsValid() && !r.link.IsConnected():
		return "the engine is not there", false
	case !r.listens:
		return "it does not listen yet", false
	case r.unclaimed:
		return "another process holds the lock of the claims", false
	case r.keep != nil && !r.keep.IsRestored():
		return "keys are being read from the disk", false
	}
	return "", true
}
