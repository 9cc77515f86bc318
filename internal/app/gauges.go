package app

import (
	runtimemetrics "runtime/metrics"
	"slices"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/metrics"
	"ryepaddle/internal/upstream"
)

// labels are the labels of a metric.
type labels = map[string]string

// gauge returns a sample of a value that may rise and fall.
func gauge(name, help string, value float64, attributes labels) metrics.Sample {
	return metrics.Sample{Name: name, Help: help, Labels: attributes, Value: value}
}

// counter returns a sample of a value that only increases.
func counter(name, help string, value float64, attributes labels) metrics.Sample {
	return metrics.Sample{Name: name, Help: help, Labels: attributes, Value: value, Monotonic: true}
}

// boolValue returns the value of a gauge for a condition: 1 if it holds, else 0.
func boolValue(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// gauges samples the state of the program for its metrics.
func (p *Program) gauges() []metrics.Sample {
	return slices.Concat(
		p.processSamples(),
		p.requestSamples(),
		p.admissionSamples(),
		p.groupSamples(),
		p.queueSamples(),
		p.keyStoreSamples(),
		p.peerSamples(),
	)
}

// bufferBytes returns the memory of the buffers of the connections of all frontends.
func (p *Program) bufferBytes() float64 {
	n := p.platform.frontend.BufferBytes()
	if p.uwsgi.frontend != nil {
		n += p.uwsgi.frontend.BufferBytes()
	}
	return float64(n)
}

// heapBytes returns the size of the objects on the heap.
func heapBytes() float64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

func (p *Program) processSamples() []metrics.Sample {
	const reloads, reloadsHelp = "ryepaddle_reloads_total", "Files at HUP."
	return []metrics.Sample{
		gauge("ryepaddle_open", "Requests that are owed an answer.", float64(p.requests.OpenRequests()), nil),
		gauge("ryepaddle_waiting_for_process", "Requests that wait for a run in another process of this runner.",
			float64(p.requests.RemoteWaits()), nil),
		gauge("ryepaddle_request_bytes", "Memory that requests take which were read and are not over, estimated.",
			float64(p.requests.HeldBytes()), nil),
		gauge("ryepaddle_incomplete_bytes", "Bytes of requests on the platform's frontend that are not read whole.",
			float64(p.platform.frontend.IncompleteBytes()), nil),
		gauge("ryepaddle_result_bytes", "Size of the results that are remembered for retries.",
			float64(p.requests.ResultBytes()), nil),
		gauge("ryepaddle_keys", "Idempotency keys that are remembered.", float64(p.requests.KeyCount()), nil),
		gauge("ryepaddle_buffer_bytes", "Memory of the buffers of callers' connections.", p.bufferBytes(), nil),
		gauge("ryepaddle_heap_bytes", "Memory of objects on the heap, in use or not yet collected.", heapBytes(), nil),
		gauge("ryepaddle_connections", "Connections of callers.", float64(p.connections()), nil),
		gauge("ryepaddle_draining", "1: the program leaves.", boolValue(p.state.draining), nil),
		counter(reloads, reloadsHelp, float64(p.state.reloadsAccepted), labels{"what": "taken"}),
		counter(reloads, reloadsHelp, float64(p.state.reloadsRejected), labels{"what": "turned down"}),
	}
}

// admissionSamples returns what the admission controller accounts for.
func (p *Program) admissionSamples() []metrics.Sample {
	const kb, kbHelp = "ryepaddle_admission_kb", "Memory by the sizes that requests state, and the limit of runs."
	const requests, requestsHelp = "ryepaddle_admitted", "Requests that wait to be started, and those that run."
	use := p.requests.AdmissionMemory()
	return []metrics.Sample{
		gauge(kb, kbHelp, use.RequestsKB, labels{"of": "requests"}),
		gauge(kb, kbHelp, use.KeysKB, labels{"of": "keys"}),
		gauge(kb, kbHelp, use.LimitKB, labels{"of": "limit"}),
		gauge(requests, requestsHelp, float64(use.Queued), labels{"state": "queued"}),
		gauge(requests, requestsHelp, float64(use.Executing), labels{"state": "running"}),
	}
}

// requestSamples returns the counts of requests and attempts by class.
func (p *Program) requestSamples() []metrics.Sample {
	var samples []metrics.Sample
	for class, stats := range p.requests.StatsByClass() {
		for end, n := range requestsByEnd(stats) {
			samples = append(samples, counter("ryepaddle_requests_total", "Requests by their one end.",
				float64(n), labels{"class": class, "end": end}))
		}
		samples = append(
			samples,
			counter("ryepaddle_relayed_total", "Attempts handed to the engine or a server.",
				float64(stats.Attempts), labels{"class": class}),
		)
	}
	return samples
}

// requestsByEnd returns the counts of requests by the values of the metric's label "end".
func requestsByEnd(stats lifecycle.Stats) map[string]int64 {
	return map[string]int64{
		"served":    stats.Served,
		"refused":   stats.Rejected,
		"failed":    stats.Failed,
		"late":      stats.Expired,
		"misused":   stats.Conflicts,
		"gone":      stats.Abandoned,
		"withdrawn": stats.Withdrawn,
	}
}

// groupSamples returns the metrics of the groups of servers.
func (p *Program) groupSamples() []metrics.Sample {
	var samples []metrics.Sample
	for name, group := range p.uwsgi.groups {
		for _, metric := range group.Metrics() {
			samples = append(samples, groupSample(name, metric))
		}
	}
	return samples
}

func groupSample(group string, metric upstream.Metric) metrics.Sample {
	sample := metrics.Sample{
		Labels:    labels{"group": group, metric.Kind: metric.Name},
		Value:     metric.Value,
		Monotonic: true,
	}
	switch metric.Kind {
	case upstream.ServersInState:
		sample.Name = "ryepaddle_servers"
		sample.Help = "Servers in a state."
		sample.Monotonic = false
	case upstream.StateTransitions:
		sample.Name = "ryepaddle_server_changes_total"
		sample.Help = "Changes of servers into a state."
	case upstream.Picks:
		sample.Name = "ryepaddle_chosen_total"
		sample.Help = "How servers were chosen."
	case upstream.RetryDecisions:
		sample.Name = "ryepaddle_retries_total"
		sample.Help = "What was said when a request might have been tried again."
	}
	return sample
}

// queueSamples returns the metrics of the queues and pools in front of the groups of servers.
func (p *Program) queueSamples() []metrics.Sample {
	var samples []metrics.Sample
	for group, queue := range p.uwsgi.queues {
		scheduler := queue.Scheduler()
		if scheduler == nil {
			continue
		}
		samples = append(samples, gauge("ryepaddle_slots", "Requests that a group of servers is given at once.",
			float64(scheduler.Limit()), labels{"group": group}))
		decisions := scheduler.Counts
		for what, n := range map[string]int{
			"granted":         decisions.Granted,
			"lent":            decisions.Borrowed,
			"reserve in need": decisions.ReserveGrants,
			"too late":        decisions.TooLate,
			"line full":       decisions.QueueFull,
			"gave way":        decisions.Displaced,
		} {
			samples = append(samples, counter("ryepaddle_pool_decisions_total", "What pools decided.",
				float64(n), labels{"group": group, "what": what}))
		}
		for _, pool := range scheduler.PoolStatuses() {
			ofPool := labels{"group": group, "pool": pool.Name}
			samples = append(samples,
				gauge("ryepaddle_pool_running", "Slots that a pool has.", float64(pool.Running), ofPool),
				gauge("ryepaddle_pool_waiting", "Requests that wait in a pool.", float64(pool.Waiting), ofPool))
		}
	}
	return samples
}

func (p *Program) keyStoreSamples() []metrics.Sample {
	if p.keys.store == nil {
		return nil
	}
	retryAfter, _ := p.keys.store.Unavailable()
	return []metrics.Sample{
		gauge("ryepaddle_keys_closed", "1: no new keys are taken.", boolValue(retryAfter > 0), nil),
	}
}
