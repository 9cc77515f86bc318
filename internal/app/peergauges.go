package app

import (
	"ryepaddle/internal/peers/node"
	"ryepaddle/internal/telemetry/metrics"
)

// peerSamples returns the metrics of the peers, and of the replicas of the usage ledger on them.
func (p *Program) peerSamples() []metrics.Sample {
	if p.peers == nil {
		return nil
	}
	status := p.peers.Status()
	samples := append(replicationSamples(status), peerMessageSamples(status)...)
	for _, lease := range status.Leases {
		samples = append(samples, gauge(
			"ryepaddle_peers_duty_here",
			"1: this runner may do what only one does at a time.",
			boolValue(lease.HeldHere),
			labels{"duty": lease.Name},
		))
	}
	if checks := status.HealthChecks; checks != nil {
		const name, help = "ryepaddle_peers_checks_total", "Checks of servers."
		samples = append(samples,
			counter(name, help, float64(checks.Performed), labels{"what": "made"}),
			counter(name, help, float64(checks.Skipped), labels{"what": "spared"}))
	}
	return append(samples, p.usageReplicationSamples()...)
}

// replicationSamples returns the metrics of the replicas of keys.
func replicationSamples(status *node.Status) []metrics.Sample {
	return []metrics.Sample{
		gauge("ryepaddle_peers_closed", "1: no new keys are taken, as peers do not keep them.",
			boolValue(status.Unavailable != ""), nil),
		gauge("ryepaddle_peers_members", "Runners that are in the table.", float64(len(status.Members)), nil),
		gauge("ryepaddle_peers_slots", "Parts of the keys.", float64(status.Slots), nil),
		gauge("ryepaddle_peers_slots_whole", "Parts of the keys that have all their copies.",
			float64(status.FullyReplicated), nil),
		gauge("ryepaddle_peers_held_bytes", "What is held of keys for others and itself, about.",
			float64(status.HeldBytes), nil),
		counter("ryepaddle_peers_copied_bytes_total", "What was sent to bring others up.",
			float64(status.CatchUpBytes), nil),
	}
}

// peerMessageSamples returns the metrics of the links to peers.
func peerMessageSamples(status *node.Status) []metrics.Sample {
	const name, help = "ryepaddle_peers_messages_total", "Messages to peers."
	return []metrics.Sample{
		gauge("ryepaddle_peers_links", "Connections to peers.", float64(status.Links), nil),
		counter(name, help, float64(status.Relayed), labels{"what": "passed on"}),
		counter(name, help, float64(status.Messages), labels{"what": "sent"}),
		counter(name, help, float64(status.Dropped), labels{"what": "dropped"}),
	}
}

// usageReplicationSamples returns the metrics of the replicas of the usage ledger.
func (p *Program) usageReplicationSamples() []metrics.Sample {
	if p.usage.meter == nil {
		return nil
	}
	status := p.usage.meter.ReplicationStatus()
	var maxLag uint64
	for _, lag := range status.Replicas {
		maxLag = max(maxLag, lag)
	}
	return []metrics.Sample{
		gauge("ryepaddle_accounts_heirs", "Runners that are told this one's account of usage.",
			float64(len(status.Replicas)), nil),
		gauge("ryepaddle_accounts_behind", "Steps that the one furthest behind does not know.",
			float64(maxLag), nil),
		gauge("ryepaddle_accounts_known", "Accounts of other runners that are known here.",
			float64(status.RemoteAccounts), nil),
		gauge("ryepaddle_accounts_statements_short", "Statements that are to be passed on to peers.",
			float64(status.UndeliveredStatements), nil),
	}
}
