package app

import (
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/telemetry/logging"
)

const (
	statusInterval = 10 * time.Second // time between two status reports in the log
	maxTableRows   = 400              // most servers of a group that reportServers logs
)

// reportStatus logs the counters of requests, the states of the groups of servers, and lost records and
// spans, each only if it has changed since the last call.
func (p *Program) reportStatus() {
	logging.ReportSuppressed()
	p.reportTrafficLost()
	p.reportTracesLost()
	if stats := p.requests.Stats(); stats != p.telemetry.reportedStats {
		eventStatus.Log(p.requests.OpenRequests(), p.connections(), stats)
		p.telemetry.reportedStats = stats
	}
	for _, name := range slices.Sorted(maps.Keys(p.uwsgi.groups)) {
		if summary, changed := p.uwsgi.groups[name].Summary(); changed {
			eventGroup.Log(name, summary)
		}
	}
}

// reportServers logs the state of all servers. It is called on USR1.
func (p *Program) reportServers() {
	eventStatus.Log(p.requests.OpenRequests(), p.connections(), p.requests.Stats())
	if p.uwsgi.inventory != nil {
		if reason := p.uwsgi.inventory.RejectReason(); reason != "" {
			eventInventoryRejected.Log(reason)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.uwsgi.groups)) {
		p.reportGroup(name)
	}
}

// reportGroup logs the summary of a group and the state of its servers, at most maxTableRows of them.
func (p *Program) reportGroup(name string) {
	summary, _ := p.uwsgi.groups[name].Summary()
	eventGroup.Log(name, summary)
	rows := p.uwsgi.groups[name].ServerStatuses()
	for _, row := range rows[:min(len(rows), maxTableRows)] {
		eventServer.Log(
			row.Group,
			row.Name,
			row.Address,
			row.Zone,
			row.Weight,
			row.State,
			row.StateSeconds,
			row.Cause,
			row.TrafficShare,
			row.ActiveRequests,
			row.Limit,
			row.LatencyMs,
			row.Requests,
			row.Failures,
			row.StateChanges,
		)
	}
	if len(rows) > maxTableRows {
		eventServersOmitted.Log(name, len(rows)-maxTableRows)
	}
}
