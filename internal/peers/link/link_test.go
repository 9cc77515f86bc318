package link

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/idempotency/store"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/framing"
	"ryepaddle/internal/peers/replication"
)

var any4 = netip.MustParseAddrPort("127.0.0.1:0")

func frame() *Frame {
	return &Frame{
		Replication: &replication.Message{
			Type:  replication.MsgAppend,
			From:  "n2",
			To:    "n1",
			Slot:  3,
			Epoch: 7,
			Entries: []replication.Entry{{Seq: 9, Remaining: 5,
				Record: &store.Record{
					Kind:   store.RunEnded,
					Name:   store.KeyName{Class: "hand-in", Key: "a"},
					Result: &store.Result{Status: 200, Body: []byte("fine")},
				}}},
		},
	}
}

// A frame is read as it was written, at whichever byte it is cut; one that was changed at any byte
// is refused, or not all there.
func TestFrame(t *testing.T) {
	b, err := AppendFrame(nil, frame())
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(b) {
		if f, used, err := ReadFrame(b[:cut]); f != nil || used != 0 || err != nil {
			t.Fatalf("of %d bytes %d are read: %v", cut, used, err)
		}
		bad := append([]byte(nil), b...)
		bad[cut] ^= 0x40
		if f, _, err := ReadFrame(bad); f != nil && err == nil {
			t.Fatalf("changed at byte %d it is read", cut)
		}
	}
	f, used, err := ReadFrame(append(b, b...))
	if err != nil || used != len(b) {
		t.Fatal(used, err)
	}
	if diff := cmp.Diff(frame(), f); diff != "" {
		t.Error(diff)
	}
}

func FuzzRead(f *testing.F) {
	b, err := AppendFrame(nil, frame())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if g, used, err := ReadFrame(b); err == nil && g != nil && (used < framing.HeaderSize || used > len(b)) {
			t.Errorf("%d of %d bytes are used", used, len(b))
		}
	})
}

// What peers of the file say is heard, in its order, with who said it; strangers, and those who say
// nothing or what is no frame, are turned away, and cost nobody else anything.
func TestLinks(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.After(20*time.Second, l.Stop)
	var heard []uint64
	one, err := Open(
		l,
		Config{Installation: "x", Name: "n1", Listen: any4, Peers: []Peer{{Name: "n2", Addr: any4}}},
		func(from string, f *Frame) {
			if from != "n2" || f.Consensus == nil {
				t.Errorf("%s says %+v", from, f)
				return
			}
			if heard = append(heard, f.Consensus.Version); len(heard) == 3 {
				l.After(2*helloTimeout, l.Stop)
			}
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	open := func(installation, name string) *Transport {
		n, err := Open(
			l,
			Config{
				Installation: installation,
				Name:         name,
				Listen:       any4,
				Peers:        []Peer{{Name: "n1", Addr: one.Addr()}},
			},
			nil,
		)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	open("y", "n2").Send("n1", &Frame{Consensus: &consensus.Message{Version: 99}})
	open("x", "n9").Send("n1", &Frame{Consensus: &consensus.Message{Version: 98}})
	closed := make(chan int, 2)
	for _, text := range []string{"", "no frame at all, but long enough for a head"} {
		c, err := net.Dial("tcp", one.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte(text))
		go func() {
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			n, _ := c.Read(make([]byte, 1)) // its end is what is waited for
			closed <- n
		}()
	}
	two := open("x", "n2")
	for v := range uint64(3) {
		two.Send("n1", &Frame{Consensus: &consensus.Message{Version: v}})
	}
	two.Send("n7", &Frame{Consensus: &consensus.Message{}}) // nobody
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uint64{0, 1, 2}, heard); diff != "" {
		t.Error(diff)
	}
	for range 2 {
		if n := <-closed; n != 0 {
			t.Error("a stranger is told something")
		}
	}
}

// Of four in a grid one reaches another over the two in between, whichever of them is held for
// lost, and by itself if both are. It is heard in its own name, and what is passed on for a
// stranger is not.
func TestRelays(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.After(20*time.Second, l.Stop)
	names := []string{"n1", "n2", "n3", "n4"}
	nets := map[string]*Transport{}
	heard := map[uint64]string{}
	for _, name := range names {
		nets[name], err = Open(
			l,
			Config{Installation: "x", Name: name, Listen: any4, FullMeshLimit: 1},
			func(from string, f *Frame) { heard[f.Consensus.Version] = name + " from " + from },
		)
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range names {
		var peers []Peer
		for _, o := range names {
			if o != name {
				peers = append(peers, Peer{o, nets[o].Addr()})
			}
		}
		nets[name].SetPeers(peers)
	}
	one := nets["n1"]
	say := func(v uint64) { one.Send("n4", &Frame{Consensus: &consensus.Message{Version: v}}) }
	say(1)
	nets["n2"].Send("n4", &Frame{Consensus: &consensus.Message{Version: 9}, To: "n4", From: "n7"})
	var passed []int64
	step := func(d time.Duration, fn func()) {
		l.After(d, func() { passed = append(passed, nets["n2"].Relayed, nets["n3"].Relayed); fn() })
	}
	step(400*time.Millisecond, func() { one.SetUnavailable(map[string]bool{"n2": true}); say(2) })
	step(800*time.Millisecond, func() { one.SetUnavailable(map[string]bool{"n3": true}); say(3) })
	step(1200*time.Millisecond, func() { one.SetUnavailable(map[string]bool{"n2": true, "n3": true}); say(4) })
	step(1600*time.Millisecond, l.Stop)
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	want := "n4 from n1"
	if diff := cmp.Diff(map[uint64]string{1: want, 2: want, 3: want, 4: want}, heard); diff != "" {
		t.Error(diff)
	}
	if passed[0]+passed[1] != 1 || passed[3]-passed[1] != 0 && passed[2]-passed[0] != 0 ||
		passed[6]+passed[7] != 3 ||
		one.Connections() != 3 {
		t.Errorf("n2 and n3 passed on %v; n1 has %d links", passed, one.Connections())
	}
}
