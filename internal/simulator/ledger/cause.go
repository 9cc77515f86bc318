package ledger

import "fmt"

// Cause says how a request ended.
type Cause uint8

// The causes. A request is Open until it ends with one of the others.
const (
	Open            Cause = iota // the request has not ended
	WithinObjective              // served within its latency objective
	Late                         // served after its latency objective, before its client gave up
	Rejected                     // a runner rejected the last attempt
	Failed                       // an error, or a broken connection
	TimedOut                     // the client gave up
	Unsent                       // no attempt was sent: the balancer throttled the request, or no server was eligible
	causeCount
)

// String returns the name of the cause in reports.
func (c Cause) String() string {
	switch c {
	case Open:
		return "open"
	case WithinObjective:
		return "in_aim"
	case Late:
		return "late"
	case Rejected:
		return "refused"
	case Failed:
		return "failed"
	case TimedOut:
		return "timed_out"
	case Unsent:
		return "unsent"
	default:
		return fmt.Sprintf("Cause(%d)", uint8(c))
	}
}

// CauseNames returns the names of the causes that an ended request can have.
func CauseNames() []string {
	var names []string
	for c := WithinObjective; c < causeCount; c++ {
		names = append(names, c.String())
	}
	return names
}

// Rule is an invariant that must hold on every day. A violation makes the day's score 0.
type Rule uint8

// The rules.
const (
	Lost         Rule = iota // each request that was read gets its final answer by its deadline
	Duplicate                // no request with an effect runs twice, and no request is answered twice
	Drain                    // a draining runner answers all requests, and runs none that came too late
	RunnerCrash              // no runner exceeds its limits on concurrency and memory
	BackendCrash             // the runners' calls do not crash the back end
	ruleCount
)

// String returns the name of the rule in reports.
func (r Rule) String() string {
	switch r {
	case Lost:
		return "lost"
	case Duplicate:
		return "duplicate"
	case Drain:
		return "drain"
	case RunnerCrash:
		return "fall-over"
	case BackendCrash:
		return "backend"
	default:
		return fmt.Sprintf("Rule(%d)", uint8(r))
	}
}
