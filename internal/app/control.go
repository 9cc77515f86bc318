package app

import (
	"maps"
	"slices"
	"strings"

	"ryepaddle/internal/balancer/bulkhead"
	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/telemetry/explain"
	"ryepaddle/internal/telemetry/logging"
	"ryepaddle/internal/telemetry/metrics"
	"ryepaddle/internal/upstream"
	"ryepaddle/internal/usage/metering"
	"ryepaddle/internal/wallclock"
)

// trails has what became of requests counted, remembered and written, as far as the operator's file
// asks for it; nil: nobody does.
func (r *Program) trails() func(*lifecycle.Trace) {
	var all []func(*lifecycle.Trace)
	if r.meter != nil {
		all = append(all, r.note)
	}
	if r.op != nil && r.op.Control.Socket != "" {
		r.recent = explain.New(
			r.op.Control.ExplainKB<<10,
			func(class int) bool { return r.core.IsKeyed(class) },
			r.cfg.Seed,
		)
		r.figures = metrics.New(r.className, kindNames, r.gauges)
		all = append(
			all,
			func(t *lifecycle.Trace) { r.recent.Add(t, r.loop.Unix()) },
			r.figures.Observe,
			r.tellAnswered,
		)
	}
	if r.spans != nil {
		all = append(all, func(t *lifecycle.Trace) { r.spans.Record(t, r.loop.Unix()) })
	}
	if len(all) == 0 {
		return nil
	}
	return func(t *lifecycle.Trace) {
		for _, fn := range all {
			fn(t)
		}
	}
}

func (r *Program) tellAnswered(t *lifecycle.Trace) {
	if !evAnswered.Enabled() {
		return
	}
	server := ""
	if n := min(t.AttemptCount, len(t.Attempts)); n > 0 {
		server = t.Attempts[n-1].Server
	}
	evAnswered.Log(
		t.ID,
		r.cfg.Settings.Classes[t.Class].Name,
		kindNames[t.Status],
		t.Cause,
		float64(int64(t.AnsweredAt)-int64(t.ArrivedAt))/1000,
		t.AttemptCount,
		server,
	)
}

// gauges are the figures of the moment.
func (r *Program) gauges() []metrics.Sample {
	draining := 0.0
	if r.leaving {
		draining = 1
	}
	out := []metrics.Sample{
		{
			Name:  "ryepaddle_open",
			Help:  "Requests that are owed an answer.",
			Value: float64(r.core.OpenRequests()),
		},
		{Name: "ryepaddle_connections", Help: "Connections of callers.", Value: float64(r.conns())},
		{Name: "ryepaddle_draining", Help: "1: the program leaves.", Value: draining},
	}
	for class, n := range r.core.StatsByClass() {
		for end, v := range map[string]int64{
			"served":    n.Served,
			"refused":   n.Rejected,
			"failed":    n.Failed,
			"late":      n.Expired,
			"misused":   n.Conflicts,
			"gone":      n.Abandoned,
			"withdrawn": n.Withdrawn,
		} {
			out = append(
				out,
				metrics.Sample{
					Name:      "ryepaddle_requests_total",
					Help:      "Requests by their one end.",
					Labels:    map[string]string{"class": class, "end": end},
					Value:     float64(v),
					Monotonic: true,
				},
			)
		}
		out = append(
			out,
			metrics.Sample{
				Name:      "ryepaddle_relayed_total",
				Help:      "Attempts handed to the engine or a server.",
				Labels:    map[string]string{"class": class},
				Value:     float64(n.Attempts),
				Monotonic: true,
			},
		)
	}
	for what, n := range map[string]int64{"taken": r.accepted, "turned down": r.invalid} {
		out = append(
			out,
			metrics.Sample{
				Name:      "ryepaddle_reloads_total",
				Help:      "Files at HUP.",
				Labels:    map[string]string{"what": what},
				Value:     float64(n),
				Monotonic: true,
			},
		)
	}
	for name, g := range r.groups {
		for _, c := range g.Metrics() {
			m := metrics.Sample{
				Labels:    map[string]string{"group": name, c.Kind: c.Name},
				Value:     c.Value,
				Monotonic: true,
			}
			switch c.Kind {
			case upstream.ServersInState:
				m.Name, m.Help, m.Monotonic = "ryepaddle_servers", "Servers in a state.", false
			case upstream.StateTransitions:
				m.Name, m.Help = "ryepaddle_server_changes_total", "Changes of servers into a state."
			case upstream.Picks:
				m.Name, m.Help = "ryepaddle_chosen_total", "How servers were chosen."
			case upstream.RetryDecisions:
				m.Name, m.Help = "ryepaddle_retries_total", "What was said when a request might have "+
					"been tried again."
			}
			out = append(out, m)
		}
	}
	for name, h := range r.holds {
		if h.Scheduler() == nil {
			continue
		}
		out = append(
			out,
			metrics.Sample{
				Name:   "ryepaddle_slots",
				Help:   "Requests that a group of servers is given at once.",
				Labels: map[string]string{"group": name},
				Value:  float64(h.Scheduler().Limit()),
			},
		)
		c := h.Scheduler().Counts
		for what, n := range map[string]int{
			"granted":         c.Granted,
			"lent":            c.Borrowed,
			"reserve in need": c.ReserveGrants,
			"too late":        c.TooLate,
			"line full":       c.QueueFull,
			"gave way":        c.Displaced,
		} {
			out = append(
				out,
				metrics.Sample{
					Name:      "ryepaddle_pool_decisions_total",
					Help:      "What pools decided.",
					Labels:    map[string]string{"group": name, "what": what},
					Value:     float64(n),
					Monotonic: true,
				},
			)
		}
		for _, row := range h.Scheduler().PoolStatuses() {
			labels := map[string]string{"group": name, "pool": row.Name}
			out = append(
				out,
				metrics.Sample{
					Name:   "ryepaddle_pool_running",
					Help:   "Slots that a pool has.",
					Labels: labels,
					Value:  float64(row.Running),
				},
				metrics.Sample{
					Name:   "ryepaddle_pool_waiting",
					Help:   "Requests that wait in a pool.",
					Labels: labels,
					Value:  float64(row.Waiting),
				},
			)
		}
	}
	if r.keep != nil {
		closed := 0.0
		if back, _ := r.keep.Unavailable(); back > 0 {
			closed = 1
		}
		out = append(
			out,
			metrics.Sample{Name: "ryepaddle_keys_closed", Help: "1: no new keys are taken.", Value: closed},
		)
	}
	return append(out, r.peerGauges()...)
}

// peerGauges are how copies on other runners stand.
func (r *Program) peerGauges() []metrics.Sample {
	if r.peers == nil {
		return nil
	}
	p, closed := r.peers.Status(), 0.0
	if p.Unavailable != "" {
		closed = 1
	}
	out := []metrics.Sample{
		{
			Name:  "ryepaddle_peers_closed",
			Help:  "1: no new keys are taken, as peers do not keep them.",
			Value: closed,
		},
		{
			Name:  "ryepaddle_peers_members",
			Help:  "Runners that are in the table.",
			Value: float64(len(p.Members)),
		},
		{Name: "ryepaddle_peers_slots", Help: "Parts of the keys.", Value: float64(p.Slots)},
		{
			Name:  "ryepaddle_peers_slots_whole",
			Help:  "Parts of the keys that have all their copies.",
			Value: float64(p.FullyReplicated),
		},
		{
			Name:  "ryepaddle_peers_held_bytes",
			Help:  "What is held of keys for others and itself, about.",
			Value: float64(p.HeldBytes),
		},
		{
			Name:      "ryepaddle_peers_copied_bytes_total",
			Help:      "What was sent to bring others up.",
			Value:     float64(p.CatchUpBytes),
			Monotonic: true,
		},
		{Name: "ryepaddle_peers_links", Help: "Connections to peers.", Value: float64(p.Links)},
		{
			Name:      "ryepaddle_peers_messages_total",
			Help:      "Messages to peers.",
			Labels:    map[string]string{"what": "passed on"},
			Value:     float64(p.Relayed),
			Monotonic: true,
		},
		{
			Name:      "ryepaddle_peers_messages_total",
			Help:      "Messages to peers.",
			Labels:    map[string]string{"what": "sent"},
			Value:     float64(p.Messages),
			Monotonic: true,
		},
		{
			Name:      "ryepaddle_peers_messages_total",
			Help:      "Messages to peers.",
			Labels:    map[string]string{"what": "dropped"},
			Value:     float64(p.Dropped),
			Monotonic: true,
		},
	}
	for _, d := range p.Leases {
		here := 0.0
		if d.HeldHere {
			here = 1
		}
		out = append(
			out,
			metrics.Sample{
				Name:   "ryepaddle_peers_duty_here",
				Help:   "1: this runner may do what only one does at a time.",
				Labels: map[string]string{"duty": d.Name},
				Value:  here,
			},
		)
	}
	if x := p.HealthChecks; x != nil {
		out = append(
			out,
			metrics.Sample{
				Name:      "ryepaddle_peers_checks_total",
				Help:      "Checks of servers.",
				Labels:    map[string]string{"what": "made"},
				Value:     float64(x.Performed),
				Monotonic: true,
			},
			metrics.Sample{
				Name:      "ryepaddle_peers_checks_total",
				Help:      "Checks of servers.",
				Labels:    map[string]string{"what": "spared"},
				Value:     float64(x.Skipped),
				Monotonic: true,
			},
		)
	}
	if r.meter == nil {
		return out
	}
	c, behind := r.meter.ReplicationStatus(), uint64(0)
	for _, n := range c.Replicas {
		behind = max(behind, n)
	}
	return append(
		out,
		metrics.Sample{
			Name:  "ryepaddle_accounts_heirs",
			Help:  "Runners that are told this one's account of usage.",
			Value: float64(len(c.Replicas)),
		},
		metrics.Sample{
			Name:  "ryepaddle_accounts_behind",
			Help:  "Steps that the one furthest behind does not know.",
			Value: float64(behind),
		},
		metrics.Sample{
			Name:  "ryepaddle_accounts_known",
			Help:  "Accounts of other runners that are known here.",
			Value: float64(c.RemoteAccounts),
		},
		metrics.Sample{
			Name:  "ryepaddle_accounts_statements_short",
			Help:  "Statements that are to be passed on to peers.",
			Value: float64(c.UndeliveredStatements),
		},
	)
}

func (r *Program) listenControl() (err error) {
	if r.recent == nil {
		return nil
	}
	if r.control, err = control.Listen(r.loop, r.op.Control.Socket, r.asked); err != nil {
		return address.New("control: %w", err)
	}
	return nil
}

// Status is what is told of the program as a whole.
type Status struct {
	Name        string                      `json:"name"`
	Version     string                      `json:"version"`
	Draining    bool                        `json:"draining,omitempty"`
	Open        int                         `json:"open"`
	Connections int                         `json:"connections"`
	Stats       lifecycle.Stats             `json:"since_start"`
	Groups      []string                    `json:"groups,omitempty"`
	Servers     []upstream.ServerStatus     `json:"servers,omitempty"`
	Pools       []PoolRow                   `json:"pools,omitempty"`
	Inventory   string                      `json:"inventory_refused,omitempty"` // why its files are not taken
	Keys        string                      `json:"keys_refused,omitempty"`      // why no new ones are
	KeysHeld    int                         `json:"keys_held"`
	Peers       *node.Status                `json:"peers,omitempty"`
	Accounts    *metering.ReplicationStatus `json:"accounts,omitempty"` // where peers know what schools used
	Remembered  []Remembered                `json:"remembered,omitempty"`
}

// PoolRow is how a pool stands.
type PoolRow struct {
	Group string `json:"group"`
	Limit int    `json:"limit"` // of the group
	bulkhead.PoolStatus
}

// Remembered is how many requests of a class and an end are remembered of those that there were.
type Remembered struct {
	Class string `json:"class"`
	Kind  string `json:"kind"`
	Seen  uint64 `json:"seen"`
	Kept  int    `json:"kept"`
}

// Explained is one request, in words.
type Explained struct {
	ID         string  `json:"id"`
	Key        string  `json:"key,omitempty"`
	Repeats    string  `json:"repeats,omitempty"` // the id of the try that it repeats
	Class      string  `json:"class"`
	Tenant     string  `json:"tenant,omitempty"`
	Caller     uint32  `json:"caller"`
	ArrivedMs  int64   `json:"arrived_ms"` // Unix time
	WaitedMs   float64 `json:"waited_ms"`  // from then until it ran, or was answered
	TookMs     float64 `json:"took_ms"`    // until it was answered
	End        string  `json:"end"`
	Cause      string  `json:"cause,omitempty"`
	Value      float64 `json:"value,omitempty"`
	Limit      float64 `json:"limit,omitempty"`
	ComeBackMs int64   `json:"come_back_ms,omitempty"`
	Tries      []Tried `json:"tries,omitempty"`
	MoreTries  int     `json:"more_tries,omitempty"`
	KeptMs     float64 `json:"kept_ms,omitempty"`    // it waited for so long until its key was kept
	KeptBy     string  `json:"kept_by,omitempty"`    // copies or disk: on what
	Stands     int     `json:"stands_for,omitempty"` // it is one of so many that went like it
}

// Tried is one try on a server.
type Tried struct {
	Server  string  `json:"server"`
	Ms      float64 `json:"ms"`
	Outcome string  `json:"outcome"`
}

// Text is the answer to metrics.
type Text struct {
	Text string `json:"text"`
}

// Entries is the answer to explain.
type Entries struct {
	Entries []Explained `json:"entries"`
}

var kindNames = map[lifecycle.Status]string{
	0:                    "gone",
	lifecycle.Served:     "served",
	lifecycle.Rejected:   "refused",
	lifecycle.Failed:     "failed",
	lifecycle.Expired:    "late",
	lifecycle.Conflict:   "misused",
	lifecycle.NotFound:   "foreign",
	lifecycle.ResultLost: "ran",
}

var outcomeNames = map[lifecycle.Outcome]string{
	0:                        "not over",
	lifecycle.Succeeded:      "fine",
	lifecycle.Faulted:        "fault",
	lifecycle.Interrupted:    "broken off",
	lifecycle.TimedOut:       "out of time",
	lifecycle.Canceled:       "stopped",
	lifecycle.NotStarted:     "not run",
	lifecycle.CallRejected:   "turned away",
	lifecycle.Unreachable:    "unreachable",
	lifecycle.UnknownRequest: "unknown",
}

// asked answers whoever asks on the control socket.
func (r *Program) asked(q control.Request, reply func(any, error)) {
	switch q.Command {
	case "usage":
		r.usageNow(reply)
	case "correct":
		r.correct(q, reply)
	default:
		reply(r.askedNow(q))
	}
}

func (r *Program) askedNow(q control.Request) (any, error) {
	switch q.Command {
	case "status":
		return r.statusNow(), nil
	case "explain":
		return r.explained(q)
	case "metrics":
		text, err := r.figures.Text()
		return Text{text}, err
	case "drain":
		r.drain()
		return struct{}{}, nil
	case "reload":
		r.reload()
		return struct{}{}, nil
	case "levels":
		return setLevels(q.Levels)
	case "peers-key", "peers-leave", "peers-stay", "peers-replace":
		return r.peersAsked(q)
	case "version":
		return struct {
			Version string `json:"version"`
		}{buildinfo.Version()}, nil
	}
	return nil, asked.New(
		"unknown question %q: want status, explain, metrics, levels, usage, correct, peers-key, "+
			"peers-leave, peers-stay, peers-replace, drain, reload or version",
		q.Command,
	)
}

// Levels is the answer to levels.
type Levels struct {
	Levels map[string]string `json:"levels"`
}

// setLevels sets levels of logging, if any are given, and tells all of them. They hold until the
// next start, or until a HUP finds others in the operator's file.
func setLevels(words []string) (any, error) {
	levels, err := logging.ParseLevels(words)
	if err != nil {
		return nil, err
	}
	if logging.SetLevels(levels); len(words) > 0 {
		evLevels.Log(strings.Join(words, " "))
	}
	out := Levels{map[string]string{}}
	for area, l := range logging.Levels() {
		out.Levels[area] = strings.ToLower(l.String())
	}
	return out, nil
}

func (r *Program) statusNow() *Status {
	s := &Status{
		Name:        r.cfg.Name,
		Version:     buildinfo.Version(),
		Draining:    r.leaving,
		Open:        r.core.OpenRequests(),
		Connections: r.conns(),
		Stats:       r.core.Stats(),
		KeysHeld:    r.core.KeyCount(),
	}
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		line, _ := r.groups[name].Summary()
		s.Groups = append(s.Groups, line)
		s.Servers = append(s.Servers, r.groups[name].ServerStatuses()...)
	}
	for _, name := range slices.Sorted(maps.Keys(r.holds)) {
		if set := r.holds[name].Scheduler(); set != nil {
			for _, row := range set.PoolStatuses() {
				s.Pools = append(s.Pools, PoolRow{name, set.Limit(), row})
			}
		}
	}
	if r.watch != nil {
		s.Inventory = r.watch.RejectReason()
	}
	if r.keep != nil {
		_, s.Keys = r.keep.Unavailable()
	}
	if r.peers != nil {
		s.Peers = r.peers.Status()
		if r.meter != nil {
			c := r.meter.ReplicationStatus()
			s.Accounts = &c
		}
	}
	for _, x := range r.recent.Strata() {
		s.Remembered = append(
			s.Remembered,
			Remembered{r.cfg.Settings.Classes[x.Class].Name, kindNames[x.Status], x.Added, x.Retained},
		)
	}
	return s
}

// explained looks for requests.
func (r *Program) explained(q control.Request) (any, error) {
	e := explain.Query{
		ID:        q.ID,
		Key:       q.Key,
		Class:     -1,
		NotServed: q.NotServed,
		From:      wallclock.UnixMicro(q.FromMs * 1000),
		To:        wallclock.UnixMicro(q.ToMs * 1000),
		Limit:     q.Limit,
	}
	if q.Limit < 0 || q.Limit > 1000 {
		return nil, asked.New("most: %d is not from 1 to 1000", q.Limit)
	}
	if q.Class != "" {
		var ok bool
		if e.Class, ok = r.core.Class(q.Class); !ok {
			return nil, asked.New("unknown class %q", q.Class)
		}
	}
	if q.Kind != "" {
		found := false
		for kind, name := range kindNames {
			if name == q.Kind && kind != 0 {
				e.Status, found = kind, true
			}
		}
		if !found {
			return nil, asked.New("unknown end %q", q.Kind)
		}
	}
	if q.Cause != "" {
		for _, c := range lifecycle.AllCauses() {
			if c.String() == q.Cause {
				e.Cause = c
			}
		}
		if e.Cause == 0 {
			return nil, asked.New("unknown cause %q", q.Cause)
		}
	}
	out := Entries{Entries: []Explained{}}
	for _, x := range r.recent.Find(e) {
		out.Entries = append(out.Entries, r.inWords(x))
	}
	return out, nil
}

func (r *Program) inWords(x *explain.Entry) Explained {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	e := Explained{
		ID:        x.ID,
		Key:       x.Key,
		Repeats:   x.OriginalID,
		Class:     r.cfg.Settings.Classes[x.Class].Name,
		Caller:    x.Caller,
		ArrivedMs: int64(x.ArrivedAt) / 1000,
		TookMs: ms(
			int64(x.AnsweredAt) - int64(x.ArrivedAt),
		),
		End:        kindNames[x.Status],
		Value:      x.Value,
		Limit:      x.Limit,
		ComeBackMs: x.RetryAfter.Microseconds() / 1000,
		MoreTries:  max(x.AttemptCount-len(x.Attempts), 0),
	}
	if x.Tenant >= 0 && x.Tenant < len(r.cfg.Settings.Tenants) {
		e.Tenant = r.cfg.Settings.Tenants[x.Tenant].Name
	}
	if e.WaitedMs = e.TookMs; int64(x.StartedAt) > 0 {
		e.WaitedMs = ms(int64(x.StartedAt) - int64(x.ArrivedAt))
	}
	if e.KeptMs = ms(x.KeyWait.Microseconds()); x.KeyWait.Microseconds() > 0 {
		if e.KeptBy = "disk"; r.peers != nil {
			e.KeptBy = "copies"
		}
	}
	if x.Cause != lifecycle.CauseNone {
		e.Cause = x.Cause.String()
	}
	if x.Represents > 1 {
		e.Stands = x.Represents
	}
	for _, h := range x.Attempts[:min(x.AttemptCount, len(x.Attempts))] {
		e.Tries = append(e.Tries, Tried{h.Server, ms(h.Duration.Microseconds()), outcomeNames[h.Outcome]})
	}
	return e
}
