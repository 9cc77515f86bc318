package app

import (
	"time"

	"ryepaddle/internal/admission"
	"ryepaddle/internal/balancer/waitqueue"
	"ryepaddle/internal/config"
	"ryepaddle/internal/discovery"
	"ryepaddle/internal/frontend/uwsgi"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/upstream"
)

// uwsgiGroups holds the uwsgi frontend, the groups of servers of the inventory, and the runner of each
// class.
type uwsgiGroups struct {
	frontend  *uwsgi.Frontend // nil if the operator's file does not configure it
	groups    map[string]*upstream.Group
	queues    map[string]*waitqueue.Queue // each in front of the group of the same name
	inventory *discovery.Watcher          // nil if no inventory is watched

	runnerByClass []lifecycle.Runner
	groupByClass  []*upstream.Group // nil if the engine runs the class
}

// startUWSGI creates the groups of servers, and the uwsgi frontend if the operator's file configures
// it.
func (p *Program) startUWSGI() {
	p.uwsgi.groups = map[string]*upstream.Group{}
	p.uwsgi.queues = map[string]*waitqueue.Queue{}
	p.applyRoutes(p.operator)
	if p.operator != nil && p.operator.HasUWSGIFrontend() {
		p.uwsgi.frontend = uwsgi.New(p.loop, p.uwsgiOptions(p.operator))
	}
}

// UWSGIFrontend returns the uwsgi frontend, or nil if there is none.
func (p *Program) UWSGIFrontend() *uwsgi.Frontend { return p.uwsgi.frontend }

// applyRoutes sets where each class runs: on the group of servers that the operator's file names, or
// on the engine. It creates groups that are new, and applies the file's servers and limits to all
// groups.
func (p *Program) applyRoutes(operator *config.Operator) {
	p.routeToEngine()
	if operator == nil {
		return
	}
	options := p.upstreamOptions(operator)
	for i, class := range p.config.Settings.Classes {
		name := operator.GroupByClass[class.Name]
		if name == "" || class.Removed {
			continue
		}
		if p.uwsgi.groups[name] == nil {
			p.addGroup(name, options)
		}
		p.uwsgi.runnerByClass[i] = p.uwsgi.queues[name]
		p.uwsgi.groupByClass[i] = p.uwsgi.groups[name]
	}
	for name, queue := range p.uwsgi.queues {
		queue.Configure(operator.BulkheadsOf(name, p.config))
	}
	for _, group := range p.uwsgi.groups {
		group.Update(operator.Servers, options)
	}
}

// routeToEngine routes all classes to the engine. A removed class keeps its runner and group, since its
// open requests run there.
func (p *Program) routeToEngine() {
	classes := p.config.Settings.Classes
	previousRunners := p.uwsgi.runnerByClass
	previousGroups := p.uwsgi.groupByClass
	p.uwsgi.runnerByClass = make([]lifecycle.Runner, len(classes))
	p.uwsgi.groupByClass = make([]*upstream.Group, len(classes))
	for i := range classes {
		p.uwsgi.runnerByClass[i] = p.platform.engine
		if classes[i].Removed {
			p.uwsgi.runnerByClass[i] = previousRunners[i]
			p.uwsgi.groupByClass[i] = previousGroups[i]
		}
	}
}

// addGroup creates a group of servers and the queue in front of it.
func (p *Program) addGroup(name string, options upstream.Options) {
	environment := waitqueue.Environment{
		Now:      p.loop.Now,
		Post:     p.loop.Post,
		After:    func(d time.Duration, fn func()) { p.loop.After(d, fn) },
		Capacity: func() int { return p.uwsgi.groups[name].Capacity() },
	}
	queue := waitqueue.New(environment, p)
	group := upstream.New(p.loop, name, p.config.Name, p.config.Seed, queue, options)
	queue.SetNext(group)
	p.uwsgi.groups[name] = group
	p.uwsgi.queues[name] = queue
}

// upstreamOptions returns the options that all groups of servers share.
func (p *Program) upstreamOptions(operator *config.Operator) upstream.Options {
	options := upstream.Options{
		ConnectTimeout: time.Duration(operator.Limits.ConnectMs) * time.Millisecond,
		FlowControl:    operator.Limits.Flow(),
		Preconnect:     operator.Limits.PreopenedConnections,
		KeyVariable:    operator.KeyVariable,
		TenantVariable: operator.Tenant.Variable,
		Picker:         operator.PickerConfig(p.config.Settings.Servers),
		ClassCount:     len(p.config.Settings.Classes),
		MaxAttempts:    operator.Limits.Attempts,
		HealthCheck: upstream.HealthCheck{
			Path:    operator.Routing.HealthCheck.Path,
			Timeout: time.Duration(operator.Routing.HealthCheck.TimeoutMs) * time.Millisecond,
		},
		Tenants: tenantNames(p.config.Settings),
	}
	if p.telemetry.traces != nil {
		options.TraceParent = p.traceParent
	}
	if operator.Peers.Enabled() && len(operator.Peers.Leases.Checks) > 0 {
		options.HealthCheckCoordinator = checkCoordinator{p}
		options.RunnerName = p.config.Name
	}
	return options
}

// uwsgiOptions returns the options of the uwsgi frontend.
func (p *Program) uwsgiOptions(operator *config.Operator) uwsgi.Options {
	options := uwsgi.Options{
		Listen:                   operator.ListenAddr,
		MaxConnections:           operator.Limits.Connections,
		MaxConnectionsPerAddress: operator.Limits.PerAddress,
		MaxVariablesBytes:        operator.Limits.VarsKB << 10,
		Flow:                     operator.Limits.Flow(),
		ReadTimeout:              time.Duration(operator.Limits.ReadMs) * time.Millisecond,
		Matcher:                  operator.Matcher,
		HealthPath:               operator.HealthPath,
		TenantVariable:           operator.Tenant.Variable,
		KeyVariable:              operator.KeyVariable,
		FirstAttemptVariable:     operator.FirstAttemptVariable,
		SizeKB:                   operator.Limits.RequestKB,
		Seed:                     p.config.Seed,
	}
	for _, route := range operator.Routes {
		class := p.config.Settings.ClassIndex(route.Class)
		options.Routes = append(options.Routes, uwsgi.Route{
			Prefix:     route.Path,
			Class:      class,
			Deadline:   time.Duration(route.DeadlineMs) * time.Millisecond,
			Key:        route.KeyExpression,
			Idempotent: class >= 0 && p.config.Settings.Classes[class].Idempotency == admission.Idempotent,
			Proxied:    route.Group != "",
		})
	}
	return options
}

// setClassNames stores the names of the classes for className.
func (p *Program) setClassNames(settings admission.Settings) {
	names := classNames(settings)
	p.classNames.Store(&names)
}

// className returns the name of a class by its index. It may be called on any goroutine.
func (p *Program) className(class int) string { return (*p.classNames.Load())[class] }

func classNames(settings admission.Settings) []string {
	names := make([]string, len(settings.Classes))
	for i, class := range settings.Classes {
		names[i] = class.Name
	}
	return names
}

func tenantNames(settings admission.Settings) []string {
	var names []string
	for _, tenant := range settings.Tenants {
		names = append(names, tenant.Name)
	}
	return names
}

// ResponseStarted passes the start of a response on to the request lifecycle. The program is the sink
// of the groups of servers because they are created before the lifecycle.
func (p *Program) ResponseStarted(attempt *lifecycle.Attempt, result *lifecycle.Result) bool {
	return p.requests.ResponseStarted(attempt, result)
}

// AttemptEnded passes the end of an attempt on to the request lifecycle.
func (p *Program) AttemptEnded(
	attempt *lifecycle.Attempt,
	outcome lifecycle.Outcome,
	result *lifecycle.Result,
) {
	p.requests.AttemptEnded(attempt, outcome, result)
}

// shouldRetry decides whether a request is retried: never on the engine; on the servers of a group, if
// the group allows it.
func (p *Program) shouldRetry(candidate lifecycle.RetryCandidate) bool {
	group := p.uwsgi.groupByClass[candidate.Class]
	return group != nil && group.AllowRetry(candidate)
}

// retryAfter returns the Retry-After of a request of a class that no server could take; 0 if the engine
// runs the class.
func (p *Program) retryAfter(class int) time.Duration {
	group := p.uwsgi.groupByClass[class]
	if group == nil {
		return 0
	}
	queue := p.uwsgi.runnerByClass[class].(*waitqueue.Queue)
	return max(group.RetryAfter(), queue.RetryAfter(class))
}
