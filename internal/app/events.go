package app

import (
	"log/slog"
	"strings"

	"ryepaddle/internal/config"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	eventListening          = logging.Define("start.listens", slog.LevelInfo, "name", "address")
	eventReloaded           = logging.Define("reload.applied", slog.LevelInfo, "engine", "backend", "roster", "servers")
	eventReloadRejected     = logging.Define("reload.rejected", slog.LevelError, "error")
	eventRestartNeeded      = logging.Define("reload.restart_needed", slog.LevelWarn, "field")
	eventRegistryFailed     = logging.Define("reload.registry_failed", slog.LevelWarn, "error")
	eventDrainStarted       = logging.Define("drain.started", slog.LevelInfo, "open")
	eventReplaced           = logging.Define("drain.replaced", slog.LevelInfo, "open", "ms")
	eventReservationsFailed = logging.Define("start.reservations_failed", slog.LevelError, "error")
	eventDrained            = logging.Define("drain.done", slog.LevelInfo, "ms", "unanswered", "requests")
	eventStatus             = logging.Define("status.requests", slog.LevelInfo, "open", "connections", "since_start")
	eventGroup              = logging.Define("status.group", slog.LevelInfo, "group", "summary").SetRateLimit(100)
	eventServersOmitted     = logging.Define("status.servers_omitted", slog.LevelInfo, "group", "servers").SetRateLimit(100)
	eventInventoryPending   = logging.Define("status.inventory_rejected", slog.LevelWarn, "error")
	eventInventoryApplied   = logging.Define("inventory.applied", slog.LevelInfo, "servers", "change")
	eventRecordingStarted   = logging.Define("record.started", slog.LevelInfo, "file")
	eventRecordingFailed    = logging.Define("record.failed", slog.LevelError, "error")
	eventRecordsLost        = logging.Define("record.lost", slog.LevelWarn, "slow_disk", "full_file", "errors")
	eventTracesLost         = logging.Define("traces.lost", slog.LevelWarn, "queue", "errors", "error")
	eventUsageUnfinished    = logging.Define("usage.close_failed", slog.LevelError, "error")
	eventLevels             = logging.Define("log.levels", slog.LevelInfo, "levels")
	eventPeersUnfinished    = logging.Define("peers.close_failed", slog.LevelWarn, "error")
	eventAnswered           = logging.Define(
		"request.answered",
		slog.LevelDebug,
		"request",
		"class",
		"end",
		"cause",
		"ms",
		"tries",
		"server",
	).SetRateLimit(
		1000,
	)
	eventServer = logging.Define(
		"status.server",
		slog.LevelInfo,
		"group",
		"server",
		"address",
		"hall",
		"weight",
		"state",
		"for_s",
		"cause",
		"part",
		"open",
		"limit",
		"ms",
		"requests",
		"failed",
		"changes",
	).SetRateLimit(
		100 * maxTableRows,
	)
)

// configureLog has the log written as the operator's file says, which was checked.
func configureLog(out *logging.Writer, l *config.Log) {
	out.SetFormat(l.Format)
	levels, _ := logging.ParseLevels(strings.Fields(l.Levels))
	logging.SetLevels(levels)
}
