package app

import (
	"maps"
	"slices"
	"strings"

	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/telemetry/logging"
)

// Commands of the control socket.
const (
	CommandStatus  = "status"
	CommandExplain = "explain"
	CommandMetrics = "metrics"
	CommandLevels  = "levels" // sets log levels, if any are given, and returns those of all areas
	CommandUsage   = "usage"
	CommandCorrect = "correct" // corrects the usage ledger
	CommandDrain   = "drain"
	CommandReload  = "reload"
	CommandVersion = "version"

	CommandPeersKey     = "peers-key"     // returns where the replicas of a key are
	CommandPeersLeave   = "peers-leave"   // makes a member leave
	CommandPeersStay    = "peers-stay"    // lets a member that was told to leave stay
	CommandPeersReplace = "peers-replace" // replaces a member by another one
)

// listenControl opens the control socket, if the operator's file names one.
func (p *Program) listenControl() error {
	if p.telemetry.requestLog == nil {
		return nil
	}
	var err error
	p.telemetry.control, err = control.Listen(p.loop, p.operator.Control.Socket, p.answerControl)
	if err != nil {
		return addressKind.New("control: %w", err)
	}
	return nil
}

// answerControl carries out a command of the control socket. Commands about usage are answered once
// the goroutine that owns the usage ledger has handled them.
func (p *Program) answerControl(request control.Request, reply func(any, error)) {
	switch request.Command {
	case CommandUsage:
		p.answerUsage(reply)
	case CommandCorrect:
		p.answerCorrection(request, reply)
	default:
		reply(p.answerNow(request))
	}
}

// answerNow carries out a command that is answered at once.
func (p *Program) answerNow(request control.Request) (any, error) {
	switch request.Command {
	case CommandStatus:
		return p.statusAnswer(), nil
	case CommandExplain:
		return p.explain(request)
	case CommandMetrics:
		text, err := p.telemetry.metrics.Text()
		return MetricsAnswer{text}, err
	case CommandDrain:
		p.drain()
		return struct{}{}, nil
	case CommandReload:
		p.reload()
		return struct{}{}, nil
	case CommandLevels:
		return setLevels(request.Levels)
	case CommandPeersKey, CommandPeersLeave, CommandPeersStay, CommandPeersReplace:
		return p.answerPeers(request)
	case CommandVersion:
		return VersionAnswer{buildinfo.Version()}, nil
	}
	return nil, unknownKind.New(
		"unknown command %q: want status, explain, metrics, levels, usage, correct, peers-key, "+
			"peers-leave, peers-stay, peers-replace, drain, reload or version",
		request.Command,
	)
}

// setLevels sets log levels, given as AREA=LEVEL, and returns the levels of all areas. They are in force
// until the next start, or until a HUP finds a changed log section in the operator's file.
func setLevels(settings []string) (any, error) {
	levels, err := logging.ParseLevels(settings)
	if err != nil {
		return nil, err
	}
	logging.SetLevels(levels)
	if len(settings) > 0 {
		eventLevels.Log(strings.Join(settings, " "))
	}
	answer := LevelsAnswer{map[string]string{}}
	for area, level := range logging.Levels() {
		answer.Levels[area] = strings.ToLower(level.String())
	}
	return answer, nil
}

// statusAnswer returns the state of the whole program.
func (p *Program) statusAnswer() *Status {
	s := &Status{
		Name:        p.config.Name,
		Version:     buildinfo.Version(),
		Draining:    p.state.draining,
		Open:        p.requests.OpenRequests(),
		Connections: p.connections(),
		Stats:       p.requests.Stats(),
		KeyCount:    p.requests.KeyCount(),
		Pools:       p.poolStatuses(),
		Retained:    p.retainedRequests(),
	}
	for _, name := range slices.Sorted(maps.Keys(p.uwsgi.groups)) {
		summary, _ := p.uwsgi.groups[name].Summary()
		s.Groups = append(s.Groups, summary)
		s.Servers = append(s.Servers, p.uwsgi.groups[name].ServerStatuses()...)
	}
	if p.uwsgi.inventory != nil {
		s.InventoryRejected = p.uwsgi.inventory.RejectReason()
	}
	if p.keys.store != nil {
		_, s.KeysRejected = p.keys.store.Unavailable()
	}
	p.addPeersStatus(s)
	return s
}

func (p *Program) poolStatuses() []PoolStatus {
	var pools []PoolStatus
	for _, name := range slices.Sorted(maps.Keys(p.uwsgi.queues)) {
		scheduler := p.uwsgi.queues[name].Scheduler()
		if scheduler == nil {
			continue
		}
		for _, pool := range scheduler.PoolStatuses() {
			pools = append(pools, PoolStatus{name, scheduler.Limit(), pool})
		}
	}
	return pools
}

func (p *Program) addPeersStatus(s *Status) {
	if p.peers == nil {
		return
	}
	s.Peers = p.peers.Status()
	if p.usage.meter != nil {
		replication := p.usage.meter.ReplicationStatus()
		s.UsageReplication = &replication
	}
}

func (p *Program) retainedRequests() []RetainedRequests {
	var retained []RetainedRequests
	for _, stratum := range p.telemetry.requestLog.Strata() {
		retained = append(retained, RetainedRequests{
			Class:    p.config.Settings.Classes[stratum.Class].Name,
			Status:   statusNames[stratum.Status],
			Total:    stratum.Added,
			Retained: stratum.Retained,
		})
	}
	return retained
}
