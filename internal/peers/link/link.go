// Package link carries messages between the runners of an installation, on the loop. What cannot be
// sent is dropped: whoever says something says it again until it is answered.
package link

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"log/slog"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/peers/consensus"
	"ryepaddle/internal/peers/grid"
	"ryepaddle/internal/peers/lease"
	"ryepaddle/internal/peers/replication"
	"ryepaddle/internal/peers/usagereplica"
	"ryepaddle/internal/telemetry/logging"
)

// What is told to operators.
var (
	evUp     = logging.Define("peers.link_up", slog.LevelInfo, "peer")
	evDown   = logging.Define("peers.link_down", slog.LevelWarn, "peer", "error")
	evTurned = logging.Define("peers.turned_away", slog.LevelWarn, "from", "name", "reason")
)

const (
	magic     = 0x52595031 // "RYP1"
	head      = 12
	maxFrame  = 2 << 20 // a chunk of records, with the largest result that is kept
	mostQueue = 4 << 20 // bytes that wait for one peer
	again     = 200_000 // microseconds before a peer that cannot be reached is dialled again
	helloIn   = 2_000_000
	connectIn = 2_000_000 // for a connection to stand
	// microseconds for which a relay is kept to: words keep their order, and one that hangs is not
	// kept to for long
	relayFor  = 300_000
	mostExtra = 8          // links beside those of the grid, to whom no relay leads
	idleFor   = 10_000_000 // after which such a link ends
	format    = 1
)

var (
	errNotInFile error = broken.New("link: it is not in the file any more")
	errIdle      error = broken.New("link: nobody uses it")
	errConnects  error = broken.New("link: it does not stand in time")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Hello is the first word on a connection.
type Hello struct {
	Installation string `cbor:"1,keyasint"`
	Name         string `cbor:"2,keyasint"`
	Format       int    `cbor:"3,keyasint"` // newer ones add fields, which older ones pass over
}

// Frame is one message; one of its parts is there.
type Frame struct {
	Hello       *Hello                `cbor:"1,keyasint,omitempty"`
	Replication *replication.Message  `cbor:"2,keyasint,omitempty"`
	Consensus   *consensus.Message    `cbor:"3,keyasint,omitempty"`
	Account     *usagereplica.Message `cbor:"4,keyasint,omitempty"`
	Health      *lease.HealthReport   `cbor:"7,keyasint,omitempty"`
	// of one that a relay is to pass on: whose it is,
	To   string `cbor:"5,keyasint,omitempty"`
	From string `cbor:"6,keyasint,omitempty"` // and who says it
}

// AppendFrame appends a frame.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return b, broken.New("link: %w", err)
	}
	if len(payload) > maxFrame {
		return b, broken.New("link: a message of %d bytes is over %d", len(payload), maxFrame)
	}
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, table))
	return append(b, payload...), nil
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// ReadFrame reads the frame at the front of b; nil without an error: there is not all of it yet.
func ReadFrame(b []byte) (f *Frame, used int, err error) {
	if len(b) < head {
		return nil, 0, nil
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if binary.LittleEndian.Uint32(b) != magic || n > maxFrame {
		return nil, 0, broken.New("link: no frame")
	}
	if len(b) < head+n {
		return nil, 0, nil
	}
	payload := b[head : head+n]
	if crc32.Checksum(payload, table) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, broken.New("link: a damaged frame")
	}
	f = &Frame{}
	if err := decoder.Unmarshal(payload, f); err != nil {
		return nil, 0, broken.New("link: %w", err)
	}
	return f, head + n, nil
}

// Peer is another runner of the installation.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Config is who this runner is, and whom it knows.
type Config struct {
	Installation  string
	Name          string
	Listen        netip.AddrPort
	Peers         []Peer // the others
	FullMeshLimit int    // up to so many runners all have links with all; 0: any number
}

// Transport is all links of this runner.
type Transport struct {
	loop        *eventloop.Loop
	cfg         Config
	ln          *eventloop.Listener
	peers       map[string]*out
	ins         map[*in]bool
	grid        *grid.Grid
	unavailable map[string]bool // who is held for lost, and passes nothing on
	heard       func(from string, f *Frame)
	Sent        int64 // messages
	Dropped     int64 // of them that found no way
	Relayed     int64 // messages between others
}

// Open listens, and tells what comes of peers that the file names.
func Open(l *eventloop.Loop, cfg Config, heard func(from string, f *Frame)) (*Transport, error) {
	n := &Transport{loop: l, cfg: cfg, peers: map[string]*out{}, ins: map[*in]bool{}, heard: heard}
	for _, p := range cfg.Peers {
		n.peers[p.Name] = &out{net: n, peer: p}
	}
	n.place()
	l.Every(idleFor/2, n.sweep)
	var err error
	// Each peer has one connection; another one may come before the end of the last is seen.
	n.ln, err = l.Listen(
		cfg.Listen,
		2*len(cfg.Peers)+4,
		eventloop.Limits{In: head + maxFrame, Out: 64},
		n.accept,
		nil,
	)
	return n, err
}

// SetPeers takes other peers, at a HUP. Links to those that are in it no more end, in both
// directions.
func (n *Transport) SetPeers(peers []Peer) {
	want := map[string]Peer{}
	for _, p := range peers {
		want[p.Name] = p
	}
	for name, p := range n.peers {
		if want[name] == p.peer {
			delete(want, name)
			continue
		}
		if delete(n.peers, name); p.conn != nil {
			p.conn.Close(errNotInFile)
		}
	}
	for name, p := range want {
		n.peers[name] = &out{net: n, peer: p}
	}
	for i := range n.ins {
		if i.name != "" && n.peers[i.name] == nil {
			i.conn.Close(nil)
		}
	}
	n.cfg.Peers = peers
	n.place()
}

// place stands the runners of the file in their grid.
func (n *Transport) place() {
	names := []string{n.cfg.Name}
	for _, p := range n.cfg.Peers {
		names = append(names, p.Name)
	}
	mesh := n.cfg.FullMeshLimit
	if mesh == 0 {
		mesh = len(names)
	}
	n.grid = grid.New(names, mesh)
}

// near tells whether there is to be a link with a peer.
func (n *Transport) near(name string) bool { return n.grid.Linked(n.cfg.Name, name) }

// SetUnavailable takes who is held for lost.
func (n *Transport) SetUnavailable(names map[string]bool) { n.unavailable = names }

// Connections is how many connections there are to peers.
func (n *Transport) Connections() (links int) {
	for _, p := range n.peers {
		if p.conn != nil {
			links++
		}
	}
	return links
}

// sweep ends the links beside those of the grid that nobody uses.
func (n *Transport) sweep() {
	for name, p := range n.peers {
		if p.conn != nil && !n.near(name) && n.loop.Now()-p.used > idleFor {
			p.conn.Close(errIdle)
		}
	}
}

// way is the link that leads to a peer: its own, that of a relay, or one beside those of the grid
// while no relay is to be had; nil: there is none.
func (n *Transport) way(to *out) *out {
	if n.near(to.peer.Name) {
		return to
	}
	relays := n.grid.Relays(n.cfg.Name, to.peer.Name)
	turn := int(n.loop.Now() / relayFor % int64(max(len(relays), 1)))
	for i := range relays {
		if r := n.peers[relays[(turn+i)%len(relays)]]; r != nil && !r.down && !n.unavailable[r.peer.Name] {
			return r
		}
	}
	if to.conn != nil {
		return to
	}
	extra := 0
	for name, p := range n.peers {
		if p.conn != nil && !n.near(name) {
			extra++
		}
	}
	if extra >= mostExtra {
		return nil
	}
	return to
}

// Addr is where it listens.
func (n *Transport) Addr() netip.AddrPort { return n.ln.Addr() }

// Send says something to a peer, as soon as there is a link.
func (n *Transport) Send(to string, f *Frame) {
	p := n.peers[to]
	if p == nil {
		return
	}
	n.Sent++
	way := n.way(p)
	switch {
	case way == nil:
		n.Dropped++
	case way == p:
		p.send(f)
	default:
		over := *f
		over.To, over.From = to, n.cfg.Name
		way.send(&over)
	}
}

// pass passes a message on between two others.
func (n *Transport) pass(f *Frame) {
	p := n.peers[f.To]
	if p == nil || !n.near(f.To) {
		n.Dropped++
		return
	}
	n.Relayed++
	p.send(f)
}

// take takes a message of a peer: its own, or one of another that it passes on.
func (n *Transport) take(from string, f *Frame) {
	switch {
	case f.To == "":
		n.heard(from, f)
	case f.To != n.cfg.Name:
		n.pass(f)
	case n.peers[f.From] != nil:
		n.heard(f.From, f)
	}
}

// out is the link to a peer.
type out struct {
	net  *Transport
	peer Peer
	conn *eventloop.Conn // nil: there is none
	up   bool
	next int64
	used int64
	told bool // that it is down
	down bool // the last connection failed, and there has been none since
}

func (p *out) send(f *Frame) {
	l := p.net.loop
	if p.conn == nil && l.Now() >= p.next {
		p.next = l.Now() + again
		p.dial()
		p.write(
			&Frame{Hello: &Hello{Installation: p.net.cfg.Installation, Name: p.net.cfg.Name, Format: format}},
		)
	}
	if p.conn == nil || p.conn.Queued() > mostQueue {
		p.net.Dropped++
		return
	}
	p.used = l.Now()
	p.write(f)
}

// dial opens the connection. One that does not stand in time is given up, and the next message
// opens another: a machine that is back may hear the system's next try much later.
func (p *out) dial() {
	conn := p.net.loop.Dial(p.peer.Addr, eventloop.Limits{In: 64, Out: mostQueue + head + maxFrame}, p)
	p.conn = conn
	p.net.loop.After(connectIn, func() {
		if p.conn == conn && !p.up {
			conn.Close(errConnects)
		}
	})
}

func (p *out) write(f *Frame) {
	b, err := AppendFrame(nil, f)
	if err != nil {
		evDown.Log(p.peer.Name, err)
		return
	}
	p.conn.Write(b)
}

// Connected implements loop.Handler.
func (p *out) Connected() {
	p.up, p.told, p.down = true, false, false
	evUp.Log(p.peer.Name)
}

// Data implements loop.Handler: a peer says what it says on a connection of its own.
func (p *out) Data([]byte) (int, error) {
	return 0, broken.New("link: an answer on a one-way connection")
}

// End implements loop.Handler.
func (p *out) End() bool { return false }

// Closed implements loop.Handler.
func (p *out) Closed(err error) {
	if p.up || !p.told {
		p.told = true
		evDown.Log(p.peer.Name, err)
	}
	p.conn, p.up, p.down = nil, false, !errors.Is(err, errIdle)
}

// in is a connection of a peer.
type in struct {
	net  *Transport
	conn *eventloop.Conn
	name string // empty: it has not said who it is
}

func (n *Transport) accept(c *eventloop.Conn) eventloop.Handler {
	i := &in{net: n, conn: c}
	n.ins[i] = true
	n.loop.After(helloIn, func() {
		if i.name == "" && !c.IsClosed() {
			i.turn("", "it does not say who it is")
		}
	})
	return i
}

func (i *in) turn(name, why string) {
	evTurned.Log(i.conn.Peer(), name, why)
	i.conn.Close(nil)
}

// Connected implements loop.Handler.
func (i *in) Connected() {}

// Data implements loop.Handler.
func (i *in) Data(b []byte) (used int, err error) {
	for {
		f, n, err := ReadFrame(b[used:])
		if err != nil || f == nil {
			return used, err
		}
		used += n
		switch h := f.Hello; {
		case i.name != "":
			i.net.take(i.name, f)
		case h == nil:
			i.turn("", "it does not say who it is")
			return used, nil
		case h.Installation != i.net.cfg.Installation:
			i.turn(h.Name, "it is of another installation")
			return used, nil
		case i.net.peers[h.Name] == nil:
			i.turn(h.Name, "it is not in the file")
			return used, nil
		default:
			i.name = h.Name
		}
	}
}

// End implements loop.Handler.
func (i *in) End() bool { return false }

// Closed implements loop.Handler.
func (i *in) Closed(error) { delete(i.net.ins, i) }
