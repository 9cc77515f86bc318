package metering

import (
	"log/slog"

	"ryepaddle/internal/telemetry/logging"
)

// Log events of this package; docs/on-call.md lists them.
var (
	eventOpened = logging.Define(
		"usage.opened",
		slog.LevelInfo,
		"folder",
		"account",
		"statements",
		"through",
		"left",
		"missing",
	)
	eventExported      = logging.Define("usage.exported", slog.LevelInfo, "file")
	eventDiskFailed    = logging.Define("usage.disk_failed", slog.LevelError, "error")
	eventDiskRecovered = logging.Define("usage.disk_recovered", slog.LevelInfo, "ms")
	eventLost          = logging.Define("usage.lost", slog.LevelError, "uses", "why")

	eventReplicaStatementWritten = logging.Define("usage.replica_statement_written", slog.LevelInfo, "file", "of")
	eventReplicaFailed           = logging.Define("usage.replica_failed", slog.LevelWarn, "error")
)
