package app

import (
	"log/slog"
	"strings"

	"ryepaddle/internal/config"
	"ryepaddle/internal/telemetry/logging"
)

// Events of the start, the shutdown and reloads.
var (
	eventListening          = logging.Define("start.listens", slog.LevelInfo, "name", "address")
	eventReservationsFailed = logging.Define("start.reservations_failed", slog.LevelError, "error")
	eventReloaded           = logging.Define("reload.applied", slog.LevelInfo,
		"engine", "backend", "roster", "servers")
	eventReloadRejected   = logging.Define("reload.rejected", slog.LevelError, "error")
	eventRestartNeeded    = logging.Define("reload.restart_needed", slog.LevelWarn, "field")
	eventRegistryFailed   = logging.Define("reload.registry_failed", slog.LevelWarn, "error")
	eventInventoryApplied = logging.Define("inventory.applied", slog.LevelInfo, "servers", "change")
	eventDrainStarted     = logging.Define("drain.started", slog.LevelInfo, "open")
	eventReplaced         = logging.Define("drain.replaced", slog.LevelInfo, "open", "ms", "process")
	eventSuccessorDrains  = logging.Define("drain.successor_drains", slog.LevelInfo, "ms")
	eventDrained          = logging.Define("drain.done", slog.LevelInfo,
		"ms", "unanswered", "waiting_for_process", "requests")
	eventUsageCloseFailed = logging.Define("usage.close_failed", slog.LevelError, "error")
	eventPeersCloseFailed = logging.Define("peers.close_failed", slog.LevelWarn, "error")
)

// Events of recorders, log levels and answered requests.
var (
	eventRecordingStarted = logging.Define("record.started", slog.LevelInfo, "file")
	eventRecordingFailed  = logging.Define("record.failed", slog.LevelError, "error")
	eventRecordsLost      = logging.Define("record.lost", slog.LevelWarn, "slow_disk", "full_file", "errors")
	eventTracesLost       = logging.Define("traces.lost", slog.LevelWarn, "queue", "errors", "error")
	eventLevels           = logging.Define("log.levels", slog.LevelInfo, "levels")
	eventAnswered         = logging.Define("request.answered", slog.LevelDebug,
		"request", "class", "end", "cause", "ms", "tries", "server").SetRateLimit(maxAnsweredPerSecond)
)

// Events of the status lines and the table of servers.
var (
	eventStatus = logging.Define("status.requests", slog.LevelInfo, "open", "connections", "since_start")
	eventGroup  = logging.Define("status.group", slog.LevelInfo, "group", "summary").
			SetRateLimit(maxGroupsPerSecond)
	eventServer = logging.Define("status.server", slog.LevelInfo,
		"group", "server", "address", "hall", "weight", "state", "for_s", "cause", "part", "open", "limit", "ms",
		"requests", "failed", "changes").SetRateLimit(maxGroupsPerSecond * maxTableRows)
	eventServersOmitted = logging.Define("status.servers_omitted", slog.LevelInfo, "group", "servers").
				SetRateLimit(maxGroupsPerSecond)
	eventInventoryRejected = logging.Define("status.inventory_rejected", slog.LevelWarn, "error")
)

// Limits of the log lines of an event, per second.
const (
	maxAnsweredPerSecond = 1000
	maxGroupsPerSecond   = 100
)

// configureLog sets the log's format and levels as the operator's file says. The levels parse without
// an error, as the file has been checked.
func configureLog(log *logging.Writer, settings *config.Log) {
	log.SetFormat(settings.Format)
	levels, _ := logging.ParseLevels(strings.Fields(settings.Levels))
	logging.SetLevels(levels)
}
