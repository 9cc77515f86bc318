package link

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/peers/consensus"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// newLoop returns an event loop that stops after 20 seconds at the latest.
func newLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { loop.Close() })
	loop.After(20*time.Second, loop.Stop)
	return loop
}

// open opens a transport that listens on a free port.
func open(t *testing.T, loop *eventloop.Loop, cfg Config, receive func(string, *Frame)) *Transport {
	t.Helper()
	cfg.Listen = anyPort
	transport, err := Open(loop, cfg, receive)
	if err != nil {
		t.Fatal(err)
	}
	return transport
}

// versionFrame returns a message that is identified by its version.
func versionFrame(version uint64) *Frame {
	return &Frame{Consensus: &consensus.Message{Version: version}}
}

// dialWith opens a connection and writes text. The channel receives 1 if a byte came back before the end
// of the connection, otherwise 0.
func dialWith(t *testing.T, addr netip.AddrPort, text string) <-chan int {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.Write([]byte(text))
	received := make(chan int, 1)
	go func() {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _ := conn.Read(make([]byte, 1)) // wait for the end of the connection
		received <- n
	}()
	return received
}

// Messages of a peer are received in order and with the sender's name. Runners of other installations,
// runners that are no peers, and connections without a Hello or a valid frame are rejected, and do not
// affect other connections.
func TestOnlyPeersAreHeardInTheirOrder(t *testing.T) {
	loop := newLoop(t)
	var received []uint64
	peers := []Peer{{Name: "n2", Addr: anyPort}}
	n1 := open(t, loop, Config{Installation: "x", Name: "n1", Peers: peers}, func(from string, f *Frame) {
		if from != "n2" || f.Consensus == nil {
			t.Errorf("received a message from %s: %+v, want consensus messages from n2 only", from, f)
			return
		}
		if received = append(received, f.Consensus.Version); len(received) == 3 {
			loop.After(2*helloTimeout, loop.Stop)
		}
	})
	openPeer := func(installation, name string) *Transport {
		peers := []Peer{{Name: "n1", Addr: n1.Addr()}}
		return open(t, loop, Config{Installation: installation, Name: name, Peers: peers}, nil)
	}
	openPeer("y", "n2").Send("n1", versionFrame(99))
	openPeer("x", "n9").Send("n1", versionFrame(98))
	rejectedConns := []<-chan int{
		dialWith(t, n1.Addr(), ""),
		dialWith(t, n1.Addr(), "no frame at all, but long enough for a head"),
	}
	n2 := openPeer("x", "n2")
	for version := range uint64(3) {
		n2.Send("n1", versionFrame(version))
	}
	n2.Send("n7", versionFrame(0)) // not a peer
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uint64{0, 1, 2}, received); diff != "" {
		t.Error(diff)
	}
	for _, bytesRead := range rejectedConns {
		if n := <-bytesRead; n != 0 {
			t.Error("a rejected connection received data")
		}
	}
}

// openGrid opens four transports in a grid of two rows, each with the others as peers.
func openGrid(
	t *testing.T,
	loop *eventloop.Loop,
	receive func(at, from string, f *Frame),
) map[string]*Transport {
	t.Helper()
	names := []string{"n1", "n2", "n3", "n4"}
	transports := map[string]*Transport{}
	for _, name := range names {
		cfg := Config{Installation: "x", Name: name, FullMeshLimit: 1}
		transports[name] = open(t, loop, cfg, func(from string, f *Frame) { receive(name, from, f) })
	}
	for _, name := range names {
		var peers []Peer
		for _, other := range names {
			if other != name {
				peers = append(peers, Peer{other, transports[other].Addr()})
			}
		}
		transports[name].SetPeers(peers)
	}
	return transports
}

// In a grid of four, n1 reaches n4 through either of the relays n2 and n3 while the other one is lost,
// and over a direct link while both are. n4 receives the messages under the name of n1, and ignores
// messages relayed for a runner that is no peer.
func TestPeersWithoutALinkAreReachedByRelays(t *testing.T) {
	loop := newLoop(t)
	received := map[uint64]string{}
	transports := openGrid(t, loop, func(at, from string, f *Frame) {
		received[f.Consensus.Version] = at + " from " + from
	})
	n1, n2, n3 := transports["n1"], transports["n2"], transports["n3"]
	n1.Send("n4", versionFrame(1))
	n2.Send("n4", &Frame{Consensus: &consensus.Message{Version: 9}, To: "n4", From: "n7"})
	var relayed []int64 // Relayed of n2 and n3 before each step
	step := func(at time.Duration, fn func()) {
		loop.After(at, func() {
			relayed = append(relayed, n2.Relayed, n3.Relayed)
			fn()
		})
	}
	sendWithout := func(version uint64, lost ...string) func() {
		return func() {
			unavailable := map[string]bool{}
			for _, name := range lost {
				unavailable[name] = true
			}
			n1.SetUnavailable(unavailable)
			n1.Send("n4", versionFrame(version))
		}
	}
	step(400*time.Millisecond, sendWithout(2, "n2"))
	step(800*time.Millisecond, sendWithout(3, "n3"))
	step(1200*time.Millisecond, sendWithout(4, "n2", "n3"))
	step(1600*time.Millisecond, loop.Stop)
	if err := loop.Run(); err != nil {
		t.Fatal(err)
	}
	const want = "n4 from n1"
	if diff := cmp.Diff(map[uint64]string{1: want, 2: want, 3: want, 4: want}, received); diff != "" {
		t.Error(diff)
	}
	if relayed[0]+relayed[1] != 1 || relayed[3]-relayed[1] != 0 && relayed[2]-relayed[0] != 0 ||
		relayed[6]+relayed[7] != 3 || n1.Connections() != 3 {
		t.Errorf(
			"relayed by n2 and n3 before each step = %v, want sums 1 first and 3 last; n1 has %d connections, want 3",
			relayed, n1.Connections(),
		)
	}
}
