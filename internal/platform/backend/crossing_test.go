package backend

import (
	"net/netip"
	"testing"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/testing/scenario"
)

// ended is a sink that keeps the ends of calls.
type ended struct{ outcomes []lifecycle.Outcome }

func (e *ended) CallEnded(_ *lifecycle.Attempt, o lifecycle.Outcome, _ []byte, _ time.Duration) {
	e.outcomes = append(e.outcomes, o)
}

// Nothing was sent on a connection that was never established, so that a call that may not be made twice
// may be placed again.
func TestCallOnAnUnestablishedConnectionIsUnreachable(t *testing.T) {
	for name, cross := range map[string]func(*scenario.SteppedLoop, *Pool){
		"the back end moves": func(_ *scenario.SteppedLoop, p *Pool) {
			p.SetAddress(
				netip.MustParseAddrPort("127.0.0.1:9"),
			)
		},
		"its time is up": func(s *scenario.SteppedLoop, _ *Pool) { s.Advance(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s, sink := scenario.NewSteppedLoop(t), &ended{}
			p := New(s.Loop, scenario.UnresponsiveServer(t))
			p.Start(sink)
			p.Call(
				&lifecycle.Attempt{Request: &lifecycle.Request{ID: scenario.CallID("1")}},
				nil,
				time.Second,
			)
			s.Advance(0)
			cross(s, p)
			if len(sink.outcomes) != 1 || sink.outcomes[0] != lifecycle.Unreachable {
				t.Fatalf("outcomes %v", sink.outcomes)
			}
			s.Advance(time.Second)
			if len(sink.outcomes) != 1 || p.open != 0 {
				t.Fatalf("outcomes %v, %d connections", sink.outcomes, p.open)
			}
		})
	}
}
