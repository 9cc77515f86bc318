package backend

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// outcomeSink is a Sink that keeps the outcomes of calls.
type outcomeSink struct{ outcomes []lifecycle.Outcome }

func (e *outcomeSink) CallEnded(_ *lifecycle.Attempt, o lifecycle.Outcome, _ []byte, _ time.Duration) {
	e.outcomes = append(e.outcomes, o)
}

// Nothing was sent on a connection that was never established. A call on it must end as unreachable, so
// that it may be made again even if it is not idempotent.
func TestCallOnAnUnestablishedConnectionIsUnreachable(t *testing.T) {
	for name, interrupt := range map[string]func(*scenario.SteppedLoop, *Pool){
		"the address changes": func(_ *scenario.SteppedLoop, p *Pool) {
			p.SetAddress(
				netip.MustParseAddrPort("127.0.0.1:9"),
			)
		},
		"the call times out": func(s *scenario.SteppedLoop, _ *Pool) { s.Advance(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s, sink := scenario.NewSteppedLoop(t), &outcomeSink{}
			p := New(s.Loop, scenario.UnresponsiveServer(t))
			p.Start(sink)
			p.Call(
				&lifecycle.Attempt{Request: &lifecycle.Request{ID: scenario.CallID("1")}},
				nil,
				time.Second,
			)
			s.Advance(0)
			interrupt(s, p)
			if len(sink.outcomes) != 1 || sink.outcomes[0] != lifecycle.Unreachable {
				t.Fatalf("outcomes = %v, want one Unreachable", sink.outcomes)
			}
			s.Advance(time.Second)
			if len(sink.outcomes) != 1 || p.open != 0 {
				t.Fatalf("outcomes = %v, open connections = %d; want one outcome, 0 open", sink.outcomes, p.open)
			}
		})
	}
}
