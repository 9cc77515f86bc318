package app

import (
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/balancer/waitqueue"
	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/uwsgi"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/upstream"
)

// route says where each class runs: on the engine, but what the operator's file leads to uwsgi
// servers. Groups that are there already take the file's servers and limits.
func (r *Program) route(op *config.Operator) {
	classes := r.cfg.Settings.Classes
	routes, behind := r.routes, r.behind
	r.routes, r.behind = make([]lifecycle.Runner, len(classes)), make([]*upstream.Group, len(classes))
	for i := range classes {
		if r.routes[i] = r.link; classes[i].Removed { // what is open of it goes on where it was led
			r.routes[i], r.behind[i] = routes[i], behind[i]
		}
	}
	if op == nil {
		return
	}
	opt := upstream.Options{
		ConnectTimeout: time.Duration(op.Limits.ConnectMs) * time.Millisecond,
		FlowControl:    op.Limits.Flow(),
		Preconnect:     op.Limits.PreopenedConnections,
		KeyVariable:    op.KeyVariable,
		TenantVariable: op.Tenant.Variable,
		Picker:         op.PickerConfig(r.cfg.Settings.Servers),
		ClassCount:     len(classes),
		MaxAttempts:    op.Limits.Attempts,
		HealthCheck: upstream.HealthCheck{
			Path:    op.Routing.HealthCheck.Path,
			Timeout: time.Duration(op.Routing.HealthCheck.TimeoutMs) * time.Millisecond,
		},
	}
	if r.spans != nil {
		opt.TraceParent = r.traceOf
	}
	if op.Peers.Enabled() && len(op.Peers.Leases.Checks) > 0 {
		opt.HealthCheckCoordinator, opt.RunnerName = checks{r}, r.cfg.Name
	}
	for _, t := range r.cfg.Settings.Tenants {
		opt.Tenants = append(opt.Tenants, t.Name)
	}
	for i, class := range classes {
		name := op.GroupByClass[class.Name]
		if name == "" || class.Removed {
			continue
		}
		if r.groups[name] == nil {
			h := waitqueue.New(
				waitqueue.Environment{
					Now:      r.loop.Now,
					Post:     r.loop.Post,
					After:    func(d time.Duration, fn func()) { r.loop.After(d, fn) },
					Capacity: func() int { return r.groups[name].Capacity() },
				},
				r,
			)
			r.groups[name] = upstream.New(r.loop, name, r.cfg.Name, r.cfg.Seed, h, opt)
			r.holds[name] = h
			h.SetNext(r.groups[name])
		}
		r.routes[i], r.behind[i] = r.holds[name], r.groups[name]
	}
	for name, h := range r.holds {
		h.Configure(op.BulkheadsOf(name, r.cfg))
	}
	for _, g := range r.groups {
		g.Update(op.Servers, opt)
	}
}

// nameClasses notes what the classes are called.
func (r *Program) nameClasses(set admission.Settings) {
	names := make([]string, len(set.Classes))
	for i, c := range set.Classes {
		names[i] = c.Name
	}
	r.names.Store(&names)
}

// className is what the class at a place is called.
func (r *Program) className(class int) string { return (*r.names.Load())[class] }

// secondOptions sets up the second front as the operator's file says.
func (r *Program) secondOptions(op *config.Operator) uwsgi.Options {
	opt := uwsgi.Options{
		Listen:                   op.ListenAddr,
		MaxConnections:           op.Limits.Connections,
		MaxConnectionsPerAddress: op.Limits.PerAddress,
		MaxVariablesBytes:        op.Limits.VarsKB << 10,
		Flow:                     op.Limits.Flow(),
		ReadTimeout:              time.Duration(op.Limits.ReadMs) * time.Millisecond,
		Matcher:                  op.Matcher,
		HealthPath:               op.HealthPath,
		TenantVariable:           op.Tenant.Variable,
		KeyVariable:              op.KeyVariable,
		FirstAttemptVariable:     op.FirstAttemptVariable,
		SizeKB:                   op.Limits.RequestKB,
		Seed:                     r.cfg.Seed,
	}
	for _, p := range op.Routes {
		class := r.cfg.Settings.ClassIndex(p.Class)
		opt.Routes = append(
			opt.Routes,
			uwsgi.Route{Prefix: p.Path, Class: class, Deadline: time.Duration(p.DeadlineMs) * time.Millisecond, Key: p.KeyExpression,
				Idempotent: class >= 0 &&
					r.cfg.Settings.Classes[class].Idempotency == admission.Idempotent, Proxied: p.Group != ""},
		)
	}
	return opt
}

// ResponseStarted passes the beginnings of results on to the core.
func (r *Program) ResponseStarted(a *lifecycle.Attempt, res *lifecycle.Result) bool {
	return r.core.ResponseStarted(a, res)
}

// AttemptEnded passes the ends of attempts on to the core, for groups that may be there before or after
// it.
func (r *Program) AttemptEnded(a *lifecycle.Attempt, o lifecycle.Outcome, res *lifecycle.Result) {
	r.core.AttemptEnded(a, o, res)
}

// again decides whether a request is tried once more: never on the engine, and on the servers of
// its group as that says.
func (r *Program) again(t lifecycle.RetryCandidate) bool {
	g := r.behind[t.Class]
	return g != nil && g.AllowRetry(t)
}

// backOf is how long a caller stays away whom nobody could serve.
func (r *Program) backOf(class int) time.Duration {
	g := r.behind[class]
	if g == nil {
		return 0
	}
	return max(g.RetryAfter(), r.routes[class].(*waitqueue.Queue).RetryAfter(class))
}
