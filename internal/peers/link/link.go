// Package link carries messages between the runners of an installation, on the loop. What cannot be
// sent is dropped: whoever says something says it again until it is answered.
package link

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"log/slog"
	"net/netip"
	"time"

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
	eventLinkUp       = logging.Define("peers.link_up", slog.LevelInfo, "peer")
	eventLinkDown     = logging.Define("peers.link_down", slog.LevelWarn, "peer", "error")
	eventPeerRejected = logging.Define("peers.turned_away", slog.LevelWarn, "from", "name", "reason")
)

const (
	magic          = 0x52595031 // "RYP1"
	headerSize     = 12
	maxFrameBytes  = 2 << 20 // a chunk of records, with the largest result that is kept
	maxQueuedBytes = 4 << 20 // bytes that wait for one peer
	redialInterval = 200_000 // microseconds before a peer that cannot be reached is dialled again
	helloTimeout   = 2_000_000
	connectTimeout = 2_000_000 // for a connection to stand
	// microseconds for which a relay is kept to: words keep their order, and one that hangs is not
	// kept to for long
	relayInterval  = 300_000
	maxDirectLinks = 8          // links beside those of the grid, to whom no relay leads
	idleTimeout    = 10_000_000 // after which such a link ends
	formatVersion  = 1
)

var (
	errNotInFile      error = kindLink.New("link: it is not in the file any more")
	errIdle           error = kindLink.New("link: nobody uses it")
	errConnectTimeout error = kindLink.New("link: it does not stand in time")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Hello is the first word on a connection.
type Hello struct {
	Installation string `cbor:"1,keyasint"`
	Name         string `cbor:"2,keyasint"`
	Version      int    `cbor:"3,keyasint"` // newer ones add fields, which older ones pass over
}

// Frame is one message; one of its parts is there.
type Frame struct {
	Hello       *Hello                `cbor:"1,keyasint,omitempty"`
	Replication *replication.Message  `cbor:"2,keyasint,omitempty"`
	Consensus   *consensus.Message    `cbor:"3,keyasint,omitempty"`
	Usage       *usagereplica.Message `cbor:"4,keyasint,omitempty"`
	Health      *lease.HealthReport   `cbor:"7,keyasint,omitempty"`
	// of one that a relay is to pass on: whose it is,
	To   string `cbor:"5,keyasint,omitempty"`
	From string `cbor:"6,keyasint,omitempty"` // and who says it
}

// AppendFrame appends a frame.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	payload, err := cbor.Marshal(f)
	if err != nil {
		return b, kindLink.New("link: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return b, kindLink.New("link: a message of %d bytes is over %d", len(payload), maxFrameBytes)
	}
	b = binary.LittleEndian.AppendUint32(b, magic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
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
	if len(b) < headerSize {
		return nil, 0, nil
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if binary.LittleEndian.Uint32(b) != magic || n > maxFrameBytes {
		return nil, 0, kindLink.New("link: no frame")
	}
	if len(b) < headerSize+n {
		return nil, 0, nil
	}
	payload := b[headerSize : headerSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, kindLink.New("link: a damaged frame")
	}
	f = &Frame{}
	if err := decoder.Unmarshal(payload, f); err != nil {
		return nil, 0, kindLink.New("link: %w", err)
	}
	return f, headerSize + n, nil
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
	listener    *eventloop.Listener
	outbound    map[string]*outboundLink
	inbound     map[*inboundLink]bool
	grid        *grid.Grid
	unavailable map[string]bool // who is held for lost, and passes nothing on
	receive     func(from string, f *Frame)
	Sent        int64 // messages
	Dropped     int64 // of them that found no way
	Relayed     int64 // messages between others
}

// Open listens, and tells what comes of peers that the file names.
func Open(l *eventloop.Loop, cfg Config, heard func(from string, f *Frame)) (*Transport, error) {
	n := &Transport{
		loop:     l,
		cfg:      cfg,
		outbound: map[string]*outboundLink{},
		inbound:  map[*inboundLink]bool{},
		receive:  heard,
	}
	for _, p := range cfg.Peers {
		n.outbound[p.Name] = &outboundLink{transport: n, peer: p}
	}
	n.rebuildGrid()
	l.Every(time.Duration(idleTimeout/2)*time.Microsecond, n.closeIdle)
	var err error
	// Each peer has one connection; another one may come before the end of the last is seen.
	n.listener, err = l.Listen(
		cfg.Listen,
		2*len(cfg.Peers)+4,
		eventloop.BufferLimits{In: headerSize + maxFrameBytes, Out: 64},
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
	for name, p := range n.outbound {
		if want[name] == p.peer {
			delete(want, name)
			continue
		}
		if delete(n.outbound, name); p.conn != nil {
			p.conn.Close(errNotInFile)
		}
	}
	for name, p := range want {
		n.outbound[name] = &outboundLink{transport: n, peer: p}
	}
	for i := range n.inbound {
		if i.name != "" && n.outbound[i.name] == nil {
			i.conn.Close(nil)
		}
	}
	n.cfg.Peers = peers
	n.rebuildGrid()
}

// rebuildGrid stands the runners of the file in their grid.
func (n *Transport) rebuildGrid() {
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

// linked tells whether there is to be a link with a peer.
func (n *Transport) linked(name string) bool { return n.grid.Linked(n.cfg.Name, name) }

// SetUnavailable takes who is held for lost.
func (n *Transport) SetUnavailable(names map[string]bool) { n.unavailable = names }

// Connections is how many connections there are to peers.
func (n *Transport) Connections() (links int) {
	for _, p := range n.outbound {
		if p.conn != nil {
			links++
		}
	}
	return links
}

// closeIdle ends the links beside those of the grid that nobody uses.
func (n *Transport) closeIdle() {
	for name, p := range n.outbound {
		if p.conn != nil && !n.linked(name) && n.loop.Now().Microseconds()-p.lastUsed > idleTimeout {
			p.conn.Close(errIdle)
		}
	}
}

// route is the link that leads to a peer: its own, that of a relay, or one beside those of the grid
// while no relay is to be had; nil: there is none.
func (n *Transport) route(to *outboundLink) *outboundLink {
	if n.linked(to.peer.Name) {
		return to
	}
	relays := n.grid.Relays(n.cfg.Name, to.peer.Name)
	turn := int(n.loop.Now().Microseconds() / relayInterval % int64(max(len(relays), 1)))
	for i := range relays {
		if r := n.outbound[relays[(turn+i)%len(relays)]]; r != nil && !r.failed &&
			!n.unavailable[r.peer.Name] {
			return r
		}
	}
	if to.conn != nil {
		return to
	}
	extra := 0
	for name, p := range n.outbound {
		if p.conn != nil && !n.linked(name) {
			extra++
		}
	}
	if extra >= maxDirectLinks {
		return nil
	}
	return to
}

// Addr is where it listens.
func (n *Transport) Addr() netip.AddrPort { return n.listener.Addr() }

// Send says something to a peer, as soon as there is a link.
func (n *Transport) Send(to string, f *Frame) {
	p := n.outbound[to]
	if p == nil {
		return
	}
	n.Sent++
	way := n.route(p)
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

// relay passes a message on between two others.
func (n *Transport) relay(f *Frame) {
	p := n.outbound[f.To]
	if p == nil || !n.linked(f.To) {
		n.Dropped++
		return
	}
	n.Relayed++
	p.send(f)
}

// dispatch takes a message of a peer: its own, or one of another that it passes on.
func (n *Transport) dispatch(from string, f *Frame) {
	switch {
	case f.To == "":
		n.receive(from, f)
	case f.To != n.cfg.Name:
		n.relay(f)
	case n.outbound[f.From] != nil:
		n.receive(f.From, f)
	}
}

// outboundLink is the link to a peer.
type outboundLink struct {
	transport  *Transport
	peer       Peer
	conn       *eventloop.Conn // nil: there is none
	connected  bool
	nextDial   int64
	lastUsed   int64
	downLogged bool // that it is down
	failed     bool // the last connection failed, and there has been none since
}

func (p *outboundLink) send(f *Frame) {
	l := p.transport.loop
	if p.conn == nil && l.Now().Microseconds() >= p.nextDial {
		p.nextDial = l.Now().Microseconds() + redialInterval
		p.dial()
		p.write(
			&Frame{
				Hello: &Hello{
					Installation: p.transport.cfg.Installation,
					Name:         p.transport.cfg.Name,
					Version:      formatVersion,
				},
			},
		)
	}
	if p.conn == nil || p.conn.QueuedBytes() > maxQueuedBytes {
		p.transport.Dropped++
		return
	}
	p.lastUsed = l.Now().Microseconds()
	p.write(f)
}

// dial opens the connection. One that does not stand in time is given up, and the next message
// opens another: a machine that is back may hear the system's next try much later.
func (p *outboundLink) dial() {
	conn := p.transport.loop.Dial(
		p.peer.Addr,
		eventloop.BufferLimits{In: 64, Out: maxQueuedBytes + headerSize + maxFrameBytes},
		p,
	)
	p.conn = conn
	p.transport.loop.After(time.Duration(connectTimeout)*time.Microsecond, func() {
		if p.conn == conn && !p.connected {
			conn.Close(errConnectTimeout)
		}
	})
}

func (p *outboundLink) write(f *Frame) {
	b, err := AppendFrame(nil, f)
	if err != nil {
		eventLinkDown.Log(p.peer.Name, err)
		return
	}
	p.conn.Write(b)
}

// Connected implements loop.Handler.
func (p *outboundLink) Connected() {
	p.connected, p.downLogged, p.failed = true, false, false
	eventLinkUp.Log(p.peer.Name)
}

// Data implements loop.Handler: a peer says what it says on a connection of its own.
func (p *outboundLink) Data([]byte) (int, error) {
	return 0, kindLink.New("link: an answer on a one-way connection")
}

// End implements loop.Handler.
func (p *outboundLink) End() bool { return false }

// Closed implements loop.Handler.
func (p *outboundLink) Closed(err error) {
	if p.connected || !p.downLogged {
		p.downLogged = true
		eventLinkDown.Log(p.peer.Name, err)
	}
	p.conn, p.connected, p.failed = nil, false, !errors.Is(err, errIdle)
}

// inboundLink is a connection of a peer.
type inboundLink struct {
	transport *Transport
	conn      *eventloop.Conn
	name      string // empty: it has not said who it is
}

func (n *Transport) accept(c *eventloop.Conn) eventloop.Handler {
	i := &inboundLink{transport: n, conn: c}
	n.inbound[i] = true
	n.loop.After(time.Duration(helloTimeout)*time.Microsecond, func() {
		if i.name == "" && !c.IsClosed() {
			i.reject("", "it does not say who it is")
		}
	})
	return i
}

func (i *inboundLink) reject(name, why string) {
	eventPeerRejected.Log(i.conn.RemoteAddr(), name, why)
	i.conn.Close(nil)
}

// Connected implements loop.Handler.
func (i *inboundLink) Connected() {}

// Data implements loop.Handler.
func (i *inboundLink) Data(b []byte) (used int, err error) {
	for {
		f, n, err := ReadFrame(b[used:])
		if err != nil || f == nil {
			return used, err
		}
		used += n
		switch h := f.Hello; {
		case i.name != "":
			i.transport.dispatch(i.name, f)
		case h == nil:
			i.reject("", "it does not say who it is")
			return used, nil
		case h.Installation != i.transport.cfg.Installation:
			i.reject(h.Name, "it is of another installation")
			return used, nil
		case i.transport.outbound[h.Name] == nil:
			i.reject(h.Name, "it is not in the file")
			return used, nil
		default:
			i.name = h.Name
		}
	}
}

// End implements loop.Handler.
func (i *inboundLink) End() bool { return false }

// Closed implements loop.Handler.
func (i *inboundLink) Closed(error) { delete(i.transport.inbound, i) }
