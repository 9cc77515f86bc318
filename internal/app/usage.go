package app

import (
	"cmp"
	"encoding/json"
	"time"

	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/peers/placement"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/usage/metering"
	"ryepaddle/internal/wallclock"
)

// usageCloseTimeout is how long Close waits for the usage ledger to be written.
const usageCloseTimeout = time.Second

// UnnamedTenant is the tenant in the usage ledger of requests without a tenant.
const UnnamedTenant = "(none)"

// usageAccount meters the usage of the tenants.
type usageAccount struct {
	meter *metering.Meter // nil if usage is not metered
	// counted holds the keys whose usage was handed to replication before their answers were sent, so
	// that recordUsage does not count it again; nil without peers.
	counted map[usedKey]bool
}

// usedKey names an idempotency key whose run has ended.
type usedKey struct{ class, tenant, key string }

// startMeter starts to meter usage if the operator's file says so.
func (p *Program) startMeter() error {
	if p.operator == nil || p.operator.Usage.Dir == "" {
		return nil
	}
	options := p.operator.Usage.Options(p.config.Name)
	options.Replicated = p.operator.Peers.Enabled()
	var err error
	p.usage.meter, err = metering.Start(options)
	return err
}

// usageOutcomes maps the status of a request to its outcome in the usage ledger.
var usageOutcomes = map[lifecycle.Status]ledger.Outcome{
	0:                    ledger.OutcomeAbandoned,
	lifecycle.Served:     ledger.OutcomeServed,
	lifecycle.Rejected:   ledger.OutcomeRejected,
	lifecycle.Failed:     ledger.OutcomeFailed,
	lifecycle.Expired:    ledger.OutcomeTimedOut,
	lifecycle.Conflict:   ledger.OutcomeFailed,
	lifecycle.NotFound:   ledger.OutcomeFailed,
	lifecycle.ResultLost: ledger.OutcomeDuplicate,
}

// recordUsage counts the usage of an answered request. It is called before the answer is sent.
func (p *Program) recordUsage(trace *lifecycle.Trace) {
	settings := &p.config.Settings
	record := ledger.Record{
		AnsweredAt:     trace.AnsweredAt,
		Tenant:         UnnamedTenant,
		Class:          settings.Classes[trace.Class].Name,
		Outcome:        usageOutcomes[trace.Status],
		KnownDuplicate: trace.Cause == lifecycle.CauseDuplicate,
	}
	if trace.Tenant >= 0 && trace.Tenant < len(settings.Tenants) {
		record.Tenant = settings.Tenants[trace.Tenant].Name
	}
	if trace.Key != "" && p.requests.RequiresKey(trace.Class) {
		p.setUsageKey(&record, trace.Class, trace.Key)
		key := usedKey{record.Class, record.Tenant, trace.Key}
		// Replicate has counted this request when its run ended.
		if !record.KnownDuplicate && p.usage.counted[key] {
			delete(p.usage.counted, key)
			return
		}
	}
	for _, attempt := range trace.Attempts[:min(trace.AttemptCount, len(trace.Attempts))] {
		record.Work += wallclock.MicrosOf(attempt.Duration)
	}
	p.usage.meter.Record(record)
}

// setUsageKey sets the hash of a record's idempotency key, and until when duplicates are
// recognized.
func (p *Program) setUsageKey(record *ledger.Record, classIndex int, key string) {
	class := &p.config.Settings.Classes[classIndex]
	record.Key = ledger.HashKey(record.Tenant, record.Class, key)
	// A duplicate may arrive as late as the end of the window, and is answered within the timeout of its
	// class or not at all.
	record.KeyExpiresAt = record.AnsweredAt.Add(class.IdempotencyWindow).Add(class.Timeout)
}

// usageReplicas replicates the usage of runs with an idempotency key to peers before they are answered.
type usageReplicas struct{ program *Program }

// Receive implements node.UsageReplicas.
func (u usageReplicas) Receive(m *usagereplica.Message) { u.program.usage.meter.Receive(m) }

// SetTable implements node.UsageReplicas.
func (u usageReplicas) SetTable(t *placement.Table, incarnation uint64) {
	u.program.usage.meter.SetTable(t, incarnation)
}

// Replicate implements node.UsageReplicas.
func (u usageReplicas) Replicate(key lifecycle.KeyRecord, done func(error)) {
	p := u.program
	class, ok := p.requests.Class(key.Class)
	if !ok {
		done(nil)
		return
	}
	record := ledger.Record{
		AnsweredAt: p.loop.Unix(),
		Tenant:     cmp.Or(key.Tenant, UnnamedTenant),
		Class:      key.Class,
		Outcome:    ledger.OutcomeServed,
		Work:       wallclock.MicrosOf(key.ServerTime),
	}
	p.setUsageKey(&record, class, key.Key)
	p.usage.counted[usedKey{record.Class, record.Tenant, key.Key}] = true
	p.usage.meter.RecordReplicated(record, done)
}

// CorrectionAnswer is the answer to a correction of the usage ledger.
type CorrectionAnswer struct {
	Known bool `json:"known"` // the correction had been accepted before
}

var errNoUsage error = noUsageKind.New("usage is not metered: see section usage of the operator's file")

// answerUsage replies with a summary of the usage ledger, once the goroutine that owns the ledger has
// made it.
func (p *Program) answerUsage(reply func(any, error)) {
	if p.usage.meter == nil {
		reply(nil, errNoUsage)
		return
	}
	err := p.usage.meter.Inspect(func(l *ledger.Ledger) {
		summary := l.Summary()
		p.loop.Deliver(func() { reply(summary, nil) })
	})
	if err != nil {
		reply(nil, err)
	}
}

// answerCorrection corrects the usage ledger, and replies once the correction is on the disk.
func (p *Program) answerCorrection(request control.Request, reply func(any, error)) {
	if p.usage.meter == nil {
		reply(nil, errNoUsage)
		return
	}
	var correction ledger.Correction
	if err := json.Unmarshal(request.Correction, &correction); err != nil {
		reply(nil, err)
		return
	}
	err := p.usage.meter.Correct(correction, func(known bool, err error) {
		p.loop.Deliver(func() { reply(CorrectionAnswer{known}, err) })
	})
	if err != nil {
		reply(nil, err)
	}
}

// closeMeter closes the meter, and waits up to usageCloseTimeout until the usage ledger is on the disk.
func (p *Program) closeMeter() {
	if p.usage.meter == nil {
		return
	}
	if err := p.usage.meter.Close(usageCloseTimeout); err != nil {
		eventUsageCloseFailed.Log(err)
	}
}
