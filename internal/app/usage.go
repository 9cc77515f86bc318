package app

import (
	"encoding/json"
	"time"

	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/usage/ledger"
	"ryepaddle/internal/usage/metering"
	"ryepaddle/internal/wallclock"
)

// usageClose is how long the end of the program waits for the account.
const usageClose = time.Second

// NoSchool is the school of requests that name none.
const NoSchool = "(none)"

// startMeter begins to keep the account if the operator's file says so.
func (r *Program) startMeter() (err error) {
	if r.op == nil || r.op.Usage.Dir == "" {
		return nil
	}
	opt := r.op.Usage.Options(r.cfg.Name)
	opt.Replicated = r.op.Peers.Enabled()
	r.meter, err = metering.Start(opt)
	return err
}

var usageEnds = map[lifecycle.Status]ledger.Outcome{
	0:                    ledger.OutcomeAbandoned,
	lifecycle.Served:     ledger.OutcomeServed,
	lifecycle.Rejected:   ledger.OutcomeRejected,
	lifecycle.Failed:     ledger.OutcomeFailed,
	lifecycle.Expired:    ledger.OutcomeTimedOut,
	lifecycle.Conflict:   ledger.OutcomeFailed,
	lifecycle.NotFound:   ledger.OutcomeFailed,
	lifecycle.ResultLost: ledger.OutcomeDuplicate,
}

// note counts a request that has been answered. Its answer goes out after that.
func (r *Program) note(t *lifecycle.Trace) {
	class := &r.cfg.Settings.Classes[t.Class]
	u := ledger.Record{
		AnsweredAt:     t.AnsweredAt,
		School:         NoSchool,
		Class:          class.Name,
		Outcome:        usageEnds[t.Status],
		KnownDuplicate: t.Cause == lifecycle.CauseDuplicate,
	}
	if t.Tenant >= 0 && t.Tenant < len(r.cfg.Settings.Tenants) {
		u.School = r.cfg.Settings.Tenants[t.Tenant].Name
	}
	if t.Key != "" && r.core.IsKeyed(t.Class) {
		r.key(&u, t.Class, t.Key)
		// it was counted with the end of its run
		if k := (usedKey{u.Class, u.School, t.Key}); !u.KnownDuplicate && r.promised[k] {
			delete(r.promised, k)
			return
		}
	}
	for _, h := range t.Attempts[:min(t.AttemptCount, len(t.Attempts))] {
		u.Work += wallclock.MicrosOf(h.Duration)
	}
	r.meter.Record(u)
}

// key has a use known by its key.
func (r *Program) key(u *ledger.Record, class int, key string) {
	c := &r.cfg.Settings.Classes[class]
	u.Key = ledger.HashKey(u.School, u.Class, key)
	// A repeat that came at the end of the window is answered within its deadline, or not at all.
	u.KeyExpiresAt = u.AnsweredAt.Add(c.IdempotencyWindow).Add(c.Timeout)
}

// Corrected is the answer to a correction.
type Corrected struct {
	Known bool `json:"known"` // it had been taken before
}

var errNoAccount error = noAccount.New("no account of usage is kept: see usage of the operator's file")

// usageNow tells where the account stands, beside the loop.
func (r *Program) usageNow(reply func(any, error)) {
	if r.meter == nil {
		reply(nil, errNoAccount)
		return
	}
	if err := r.meter.Inspect(func(l *ledger.Ledger) {
		s := l.Summary()
		r.loop.Deliver(func() { reply(s, nil) })
	}); err != nil {
		reply(nil, err)
	}
}

// correct takes a correction of the account. It is answered once it is on the disk.
func (r *Program) correct(q control.Request, reply func(any, error)) {
	if r.meter == nil {
		reply(nil, errNoAccount)
		return
	}
	var c ledger.Correction
	if err := json.Unmarshal(q.Correction, &c); err != nil {
		reply(nil, err)
		return
	}
	if err := r.meter.Correct(c, func(known bool, err error) {
		r.loop.Deliver(func() { reply(Corrected{known}, err) })
	}); err != nil {
		reply(nil, err)
	}
}

// endMeter has the account on the disk.
func (r *Program) endMeter() {
	if r.meter != nil {
		if err := r.meter.Close(usageClose); err != nil {
			evUsageEnd.Log(err)
		}
	}
}
