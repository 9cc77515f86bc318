// Package upstream implements a lifecycle.Runner that sends attempts to a group of uwsgi servers,
// as a reverse proxy does: one request per connection, with connections opened in advance, active
// health checks, streaming in both directions and backpressure. Package picker decides which server
// gets an attempt. A request is cancelled by closing its connection. The application (internal/app)
// creates the groups, each behind a queue of package waitqueue.
//
// A group and everything that belongs to it is used only on the goroutine of its event loop.
package upstream

import (
	"log/slog"
	"time"

	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
)

// maxStateEvents is the most log lines per second about state changes of endpoints.
const maxStateEvents = 100

// Events of the log.
var (
	evEndpointState = logging.Define("upstream.endpoint_state", slog.LevelInfo,
		"group", "server", "address", "state", "was", "cause").SetRateLimit(maxStateEvents)
	evZoneEmpty    = logging.Define("upstream.zone_empty", slog.LevelWarn, "group", "hall")
	evEndpointList = logging.Define("upstream.endpoint_list", slog.LevelInfo,
		"group", "list", "servers", "leaving")
	evNoEndpoint = logging.Define("upstream.no_endpoint", slog.LevelWarn,
		"group", "request", "free", "error")
	evRequestInterrupted = logging.Define("upstream.request_interrupted", slog.LevelWarn,
		"group", "server", "request", "error")
	evErrorResponse = logging.Define("upstream.error_response", slog.LevelWarn,
		"group", "server", "request", "status")
)

// Options holds the parameters of a group.
type Options struct {
	ConnectTimeout time.Duration
	FlowControl    flowcontrol.Limits
	Preconnect     int // connections that are opened to each server in advance; 0: none
	Picker         picker.Config
	ClassCount     int
	MaxAttempts    int // most attempts of one request, the first one included
	HealthCheck    HealthCheck
	// HealthCheckCoordinator decides which runner checks a server; nil: each runner checks all servers.
	HealthCheckCoordinator HealthCheckCoordinator
	RunnerName             string // sent with checks that are made under a lease
	// KeyVariable and TenantVariable name the variables in which a server gets the idempotency key and
	// the tenant; empty: it is not sent. A caller's variables of these names are replaced.
	KeyVariable, TenantVariable string
	Tenants                     []string // names, by the index of the tenant
	// TraceParent returns the trace context of an attempt; nil: the caller's is forwarded unchanged.
	TraceParent func(*lifecycle.Attempt) string
}

// Sink receives the results of attempts. The request lifecycle is one.
type Sink interface {
	// ResponseStarted reports a result whose body is still being received. It returns whether anyone
	// reads the rest of the body.
	ResponseStarted(*lifecycle.Attempt, *lifecycle.Result) bool
	// AttemptEnded reports the end of an attempt. It is called once for each attempt.
	AttemptEnded(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
}
