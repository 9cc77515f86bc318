package config

import (
	"testing"
	"time"
)

// The number of processes that share the bound of slow start is that of the operator's file, else the number
// of peers, else that of the platform's settings, else the picker's default.
func TestProcessesThatShareAColdServer(t *testing.T) {
	for name, c := range map[string]struct{ configured, members, runners, want int }{
		"named":        {7, 3, 12, 7},
		"peers":        {0, 3, 12, 3},
		"settings":     {0, 0, 12, 12},
		"none of them": {0, 0, 0, 30},
	} {
		t.Run(name, func(t *testing.T) {
			o := &Operator{Routing: defaultRouting()}
			o.Routing.SlowStart.Calls, o.Routing.SlowStart.Processes = 5, c.configured
			o.Peers.Members = make([]Peer, c.members)
			if got := o.PickerConfig(c.runners).SlowStart; got.Processes != c.want || got.InitialRequests != 5 ||
				got.Window != time.Second {
				t.Errorf("SlowStart = %+v, want %d processes and 5 requests in 1 s", got, c.want)
			}
		})
	}
}
