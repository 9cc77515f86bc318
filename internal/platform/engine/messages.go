package engine

import "ryepaddle/internal/lifecycle"

// Types of messages to the engine.
const (
	typeAttach = "ATTACH"
	typeRun    = "RUN"
	typeFeed   = "FEED" // the reply to a call
	typeStat   = "STAT"
	typeTest   = "TEST"
)

// Types of messages of the engine.
const (
	typeHello  = "HELLO"
	typeDone   = "DONE"
	typeNeed   = "NEED" // a run waits for a call
	typeStats  = "STATS"
	typeTested = "TESTED"
	typeNo     = "NO" // a command was rejected
)

// Statuses of a run. statusFine is also the status of a health check that succeeded.
const (
	statusFine      = "fine"
	statusBrokenOff = "broken_off" // the run was cancelled
	statusLate      = "late"       // the run was not started
)

// notice is a message of the engine. Its JSON keys are those of the protocol page.
type notice struct {
	Type      string    `json:"t"`
	Number    int64     `json:"no"`
	RequestID string    `json:"rid"`
	Status    string    `json:"status"`
	Mark      string    `json:"mark"`
	Gauges    []float64 `json:"v"`
	Body      []byte    `json:"b64"`
}

// attachCommand attaches a connection after the last notice that was handled.
type attachCommand struct {
	Type       string `json:"t"`
	LastNotice int64  `json:"no"`
}

// runCommand starts a run (RUN) or passes it the reply to its call (FEED).
type runCommand struct {
	Type      string `json:"t"`
	RequestID string `json:"rid"`
	Route     string `json:"route,omitempty"`
	Body      []byte `json:"b64"`
}

// probe asks for gauges (STAT) or a deep health check (TEST). The response repeats its mark.
type probe struct {
	Type string `json:"t"`
	Mark string `json:"mark"`
}

// outcomeOf returns the outcome for the status of a run on the wire.
func outcomeOf(status string) lifecycle.Outcome {
	switch status {
	case statusFine:
		return lifecycle.Succeeded
	case statusBrokenOff:
		return lifecycle.Cancelled
	case statusLate:
		return lifecycle.NotStarted
	}
	return lifecycle.Faulted
}

// notNil returns b, or an empty slice if b is nil, which JSON would encode as null.
func notNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}
