// Package upstream implements a lifecycle.Runner that sends attempts to a group of uwsgi servers,
// as a reverse proxy does: one request a connection, with connections opened in advance, active
// health checks, streaming in both directions and backpressure. Package picker decides which server
// gets an attempt. A request is cancelled by closing its connection. The application (internal/app)
// makes the groups, each behind a queue of package waitqueue.
//
// A group and all that belongs to it is used on the goroutine of its event loop alone.
package upstream

import (
	"log/slog"
	"time"

	"ryepaddle/internal/balancer/picker"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/telemetry/logging"
)

// maxStateEvents bounds the log lines about states of endpoints, per second.
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
	Preconnect     int // connections that are opened in advance to each server; 0: none
	Picker         picker.Config
	ClassCount     int
	MaxAttempts    int // servers that one request may be sent to
	HealthCheck    HealthCheck
	// HealthCheckCoordinator says which runner checks a server; nil: each runner checks all.
	HealthCheckCoordinator HealthCheckCoordinator
	RunnerName             string // sent to servers that are checked under a lease
	// Names of the variables by which a server gets the idempotency key and the tenant; empty: it
	// gets none. What the caller sent under these names is replaced.
	KeyVariable, TenantVariable string
	Tenants                     []string // names, by number
	// TraceParent returns the trace context of an attempt; nil: servers get what the caller sent.
	TraceParent func(*lifecycle.Attempt) string
}

// Sink gets the results of attempts, as the request lifecycle does.
type Sink interface {
	// ResponseStarted reports a result that is still coming. It returns whether anyone reads the
	// rest.
	ResponseStarted(*lifecycle.Attempt, *lifecycle.Result) bool
	// AttemptEnded reports the end of an attempt, once.
	AttemptEnded(*lifecycle.Attempt, lifecycle.Outcome, *lifecycle.Result)
}
