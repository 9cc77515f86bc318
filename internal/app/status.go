package app

import (
	"maps"
	"slices"

	"ryepaddle/internal/telemetry/logging"
)

// statusEvery is between two status lines, in microseconds.
const statusEvery = 10_000_000

// tableMost bounds the lines of a table, which go through the log.
const tableMost = 400

// status tells now and then what became of requests, if any came, and how servers stand, if that
// changed.
func (r *Program) status() {
	logging.ReportSuppressed()
	r.tellLost()
	r.tellSpans()
	if s := r.core.Stats(); s != r.told {
		evStatus.Log(r.core.OpenRequests(), r.conns(), s)
		r.told = s
	}
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		if line, changed := r.groups[name].Summary(); changed {
			evGroup.Log(name, line)
		}
	}
}

// table tells all that is known of the servers: USR1 asks for it.
func (r *Program) table() {
	evStatus.Log(r.core.OpenRequests(), r.conns(), r.core.Stats())
	if r.watch != nil {
		if why := r.watch.RejectReason(); why != "" {
			evListWaits.Log(why)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.groups)) {
		line, _ := r.groups[name].Summary()
		evGroup.Log(name, line)
		rows := r.groups[name].ServerStatuses()
		for _, row := range rows[:min(len(rows), tableMost)] {
			evServer.Log(
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
		if len(rows) > tableMost {
			evMore.Log(name, len(rows)-tableMost)
		}
	}
}
