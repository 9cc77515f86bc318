package app

import (
	"time"

	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/explain"
	"ryepaddle/internal/wallclock"
)

const (
	maxExplained = 1000 // most requests in one answer
	anyClass     = -1   // in a query of the request log: requests of all classes
)

// explain returns the recent requests that match a command's query.
func (p *Program) explain(request control.Request) (any, error) {
	query, err := p.explainQuery(request)
	if err != nil {
		return nil, err
	}
	answer := ExplainAnswer{Entries: []ExplainedRequest{}}
	for _, entry := range p.telemetry.requestLog.Find(query) {
		answer.Entries = append(answer.Entries, p.explainRequest(entry))
	}
	return answer, nil
}

// explainQuery returns the query of the request log for a command, or an error for an unknown name.
func (p *Program) explainQuery(request control.Request) (explain.Query, error) {
	query := explain.Query{
		ID:        request.ID,
		Key:       request.Key,
		Class:     anyClass,
		NotServed: request.NotServed,
		From:      wallclock.UnixMicro(request.FromMs * 1000),
		To:        wallclock.UnixMicro(request.ToMs * 1000),
		Limit:     request.Limit,
	}
	if request.Limit < 0 || request.Limit > maxExplained {
		return query, unknownKind.New("most: %d is not from 1 to %d", request.Limit, maxExplained)
	}
	if request.Class != "" {
		var ok bool
		if query.Class, ok = p.requests.Class(request.Class); !ok {
			return query, unknownKind.New("unknown class %q", request.Class)
		}
	}
	if request.Kind != "" {
		var ok bool
		if query.Status, ok = statusByName(request.Kind); !ok {
			return query, unknownKind.New("unknown end %q", request.Kind)
		}
	}
	if request.Cause != "" {
		if query.Cause = causeByName(request.Cause); query.Cause == lifecycle.CauseNone {
			return query, unknownKind.New("unknown cause %q", request.Cause)
		}
	}
	return query, nil
}

// statusByName returns the status with a name. The status of requests without an answer is not found.
func statusByName(name string) (lifecycle.Status, bool) {
	for status, statusName := range statusNames {
		if statusName == name && status != 0 {
			return status, true
		}
	}
	return 0, false
}

// causeByName returns the cause with a text, or CauseNone if there is none.
func causeByName(text string) lifecycle.Cause {
	for _, cause := range lifecycle.AllCauses() {
		if cause.String() == text {
			return cause
		}
	}
	return lifecycle.CauseNone
}

// explainRequest converts an entry of the request log to its form in an answer.
func (p *Program) explainRequest(entry *explain.Entry) ExplainedRequest {
	settings := &p.config.Settings
	e := ExplainedRequest{
		ID:           entry.ID,
		Key:          entry.Key,
		OriginalID:   entry.OriginalID,
		Class:        settings.Classes[entry.Class].Name,
		Caller:       entry.Caller,
		ArrivedMs:    int64(entry.ArrivedAt) / 1000,
		TookMs:       milliseconds(entry.AnsweredAt.Sub(entry.ArrivedAt)),
		Status:       statusNames[entry.Status],
		Value:        entry.Value,
		Limit:        entry.Limit,
		RetryAfterMs: entry.RetryAfter.Milliseconds(),
		MoreAttempts: max(entry.AttemptCount-len(entry.Attempts), 0),
		KeyWaitMs:    milliseconds(entry.KeyWait),
	}
	if entry.Tenant >= 0 && entry.Tenant < len(settings.Tenants) {
		e.Tenant = settings.Tenants[entry.Tenant].Name
	}
	e.WaitedMs = e.TookMs // if it never ran
	if entry.StartedAt > 0 {
		e.WaitedMs = milliseconds(entry.StartedAt.Sub(entry.ArrivedAt))
	}
	if entry.KeyWait >= time.Microsecond {
		e.KeyStoredOn = p.keyStoredOn()
	}
	if entry.Cause != lifecycle.CauseNone {
		e.Cause = entry.Cause.String()
	}
	if entry.Represents > 1 {
		e.Represents = entry.Represents
	}
	for _, attempt := range entry.Attempts[:min(entry.AttemptCount, len(entry.Attempts))] {
		e.Attempts = append(e.Attempts, ExplainedAttempt{
			Server:  attempt.Server,
			Ms:      milliseconds(attempt.Duration),
			Outcome: outcomeNames[attempt.Outcome],
		})
	}
	return e
}

// keyStoredOn returns what makes keys durable: replicas on peers, or the disk.
func (p *Program) keyStoredOn() string {
	if p.peers != nil {
		return KeyStoredOnPeers
	}
	return KeyStoredOnDisk
}

// milliseconds returns a duration in milliseconds, cut to whole microseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
