package config

import (
	"testing"
	"time"
)

// The number of processes that share what a cold server bears is that of the file, of the peers, of
// the platform's settings, or a cautious one.
func TestProcessesThatShareAColdServer(t *testing.T) {
	for name, c := range map[string]struct{ named, members, servers, want int }{
		"named":        {7, 3, 12, 7},
		"peers":        {0, 3, 12, 3},
		"settings":     {0, 0, 12, 12},
		"nobody tells": {0, 0, 0, 30},
	} {
		t.Run(name, func(t *testing.T) {
			o := &Operator{Routing: defaultRouting()}
			o.Routing.SlowStart.Calls, o.Routing.SlowStart.Processes = 5, c.named
			o.Peers.Members = make([]Peer, c.members)
			if got := o.PickerConfig(c.servers).SlowStart; got.Processes != c.want || got.InitialRequests != 5 ||
				got.Window != time.Second {
				t.Errorf("%+v, want %d processes", got, c.want)
			}
		})
	}
}
