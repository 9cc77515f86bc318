package app

import (
	"log/slog"
	"strings"

	"ryepaddle/internal/config"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	evListens      = logging.Define("start.listens", slog.LevelInfo, "name", "address")
	evTaken        = logging.Define("reload.taken", slog.LevelInfo, "engine", "backend", "roster", "servers")
	evNotTaken     = logging.Define("reload.refused", slog.LevelError, "error")
	evLater        = logging.Define("reload.later", slog.LevelWarn, "field")
	evRoster       = logging.Define("reload.roster", slog.LevelWarn, "error")
	evDrain        = logging.Define("drain.begins", slog.LevelInfo, "open")
	evRetire       = logging.Define("drain.replaced", slog.LevelInfo, "open", "ms")
	evAlone        = logging.Define("start.alone", slog.LevelError, "error")
	evDrained      = logging.Define("drain.done", slog.LevelInfo, "ms", "unanswered", "requests")
	evStatus       = logging.Define("status.requests", slog.LevelInfo, "open", "connections", "since_start")
	evGroup        = logging.Define("status.group", slog.LevelInfo, "group", "summary").SetRateLimit(100)
	evMore         = logging.Define("status.servers_more", slog.LevelInfo, "group", "servers").SetRateLimit(100)
	evListWaits    = logging.Define("status.inventory", slog.LevelWarn, "error")
	evListTaken    = logging.Define("inventory.taken", slog.LevelInfo, "servers", "change")
	evRecord       = logging.Define("record.began", slog.LevelInfo, "file")
	evRecordFailed = logging.Define("record.failed", slog.LevelError, "error")
	evRecordLost   = logging.Define("record.lost", slog.LevelWarn, "slow_disk", "full_file", "errors")
	evTracesLost   = logging.Define("traces.lost", slog.LevelWarn, "queue", "errors", "error")
	evUsageEnd     = logging.Define("usage.unfinished", slog.LevelError, "error")
	evLevels       = logging.Define("log.levels", slog.LevelInfo, "levels")
	evPeersEnd     = logging.Define("peers.unfinished", slog.LevelWarn, "error")
	evAnswered     = logging.Define(
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
	evServer = logging.Define(
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
		100 * tableMost,
	)
)

// setLog has the log written as the operator's file says, which was checked.
func setLog(out *logging.Writer, l *config.Log) {
	out.SetFormat(l.Format)
	levels, _ := logging.ParseLevels(strings.Fields(l.Levels))
	logging.SetLevels(levels)
}
