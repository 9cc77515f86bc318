package app

import (
	"log/slog"
	"strings"

	"shalesail/internal/config"
	"shalesail/internal/logs"
)

// What is told to operators.
var (
	evListens      = logs.Define("start.listens", slog.LevelInfo, "name", "address")
	evTaken        = logs.Define("reload.taken", slog.LevelInfo, "engine", "backend", "roster", "servers")
	evNotTaken     = logs.Define("reload.refused", slog.LevelError, "error")
	evLater        = logs.Define("reload.later", slog.LevelWarn, "field")
	evRoster       = logs.Define("reload.roster", slog.LevelWarn, "error")
	evDrain        = logs.Define("drain.begins", slog.LevelInfo, "open")
	evRetire       = logs.Define("drain.replaced", slog.LevelInfo, "open", "ms")
	evAlone        = logs.Define("start.alone", slog.LevelError, "error")
	evDrained      = logs.Define("drain.done", slog.LevelInfo, "ms", "unanswered", "requests")
	evStatus       = logs.Define("status.requests", slog.LevelInfo, "open", "connections", "since_start")
	evGroup        = logs.Define("status.group", slog.LevelInfo, "group", "summary").Most(100)
	evMore         = logs.Define("status.servers_more", slog.LevelInfo, "group", "servers").Most(100)
	evListWaits    = logs.Define("status.inventory", slog.LevelWarn, "error")
	evListTaken    = logs.Define("inventory.taken", slog.LevelInfo, "servers", "change")
	evRecord       = logs.Define("record.began", slog.LevelInfo, "file")
	evRecordFailed = logs.Define("record.failed", slog.LevelError, "error")
	evRecordLost   = logs.Define("record.lost", slog.LevelWarn, "slow_disk", "full_file", "errors")
	evTracesLost   = logs.Define("traces.lost", slog.LevelWarn, "queue", "errors", "error")
	evUsageEnd     = logs.Define("usage.unfinished", slog.LevelError, "error")
	evLevels       = logs.Define("log.levels", slog.LevelInfo, "levels")
	evPeersEnd     = logs.Define("peers.unfinished", slog.LevelWarn, "error")
	evAnswered     = logs.Define("request.answered", slog.LevelDebug, "request", "class", "end", "cause", "ms", "tries", "server").Most(1000)
	evServer       = logs.Define("status.server", slog.LevelInfo, "group", "server", "address", "hall", "weight", "state", "for_s", "cause", "part",
		"open", "limit", "ms", "requests", "failed", "changes").Most(100 * tableMost)
)

// setLog has the log written as the operator's file says, which was checked.
func setLog(out *logs.Writer, l *config.Log) {
	out.SetFormat(l.Format)
	levels, _ := logs.ParseLevels(strings.Fields(l.Levels))
	logs.SetLevels(levels)
}
