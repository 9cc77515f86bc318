package admission_test

import (
	"fmt"
	"strings"
	"time"

	"ryepaddle/internal/admission"
)

// Example shows a request that runs, a rejected request and a drain.
func Example() {
	ctl, err := admission.New(admission.Settings{
		Classes: []admission.Class{
			{Name: "read", LatencyObjective: time.Second, Timeout: 2 * time.Second, PriorityWeight: 1},
		},
		Cores:               2,
		MemoryKB:            1 << 20,
		RunningMemoryFactor: 8,
		MaxRunningPerCore:   5,
		DrainGrace:          time.Second,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	names := map[admission.ActionKind]string{
		admission.ActionStart:     "start",
		admission.ActionReject:    "reject",
		admission.ActionSetHealth: "health",
		admission.ActionLog:       "log",
	}
	now := time.Duration(0)
	handle := func(events ...admission.Event) {
		for _, a := range ctl.Handle(now, events, nil) {
			if name := names[a.Kind]; name != "" {
				fmt.Println(strings.TrimSpace(fmt.Sprintln(now, name, a.Request, a.Healthy, a.Text)))
			}
		}
	}
	handle(admission.Event{Kind: admission.EventRequest, Request: 7, Deadline: now + 2*time.Second, SizeKB: 4})
	now += 30 * time.Millisecond // the host ran request 7 and answered its caller
	handle(admission.Event{Kind: admission.EventCompleted, Request: 7, Outcome: admission.OutcomeOK})
	// its caller is about to give up
	handle(admission.Event{Kind: admission.EventRequest, Request: 8, Deadline: now})
	handle(admission.Event{Kind: admission.EventDrain, Deadline: now + 5*time.Second})
	now += 2 * time.Second
	handle(admission.Event{Kind: admission.EventRequest, Request: 9, Deadline: now + 2*time.Second, SizeKB: 4})
	// Output:
	// 0s health 0 true
	// 0s start 7 false
	// 30ms reject 8 false
	// 30ms log 0 false admission: drain: started, requests that arrive after the grace period are rejected
	// 30ms health 0 false
	// 2.03s reject 9 false
}
