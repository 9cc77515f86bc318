package link

import (
	"log/slog"
	"net/netip"
	"time"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/peers/framing"
	"ryepaddle/internal/peers/grid"
	"ryepaddle/internal/telemetry/logging"
)

var (
	eventLinkUp       = logging.Define("peers.link_up", slog.LevelInfo, "peer")
	eventLinkDown     = logging.Define("peers.link_down", slog.LevelWarn, "peer", "error")
	eventPeerRejected = logging.Define("peers.connection_rejected", slog.LevelWarn, "from", "name", "reason")
)

const (
	// maxQueuedBytes bounds what waits to be sent to one peer.
	maxQueuedBytes = 4 << 20
	// minBufferBytes is the buffer of the direction of a connection that is not used.
	minBufferBytes = 64
	// redialInterval is the least time between two connections to a peer.
	redialInterval = 200 * time.Millisecond
	// helloTimeout bounds how long a peer's connection may be open without a Hello.
	helloTimeout = 2 * time.Second
	// connectTimeout bounds how long a connection may take to be established.
	connectTimeout = 2 * time.Second
	// relayInterval is for how long one relay is used: messages keep their order for that time, and a
	// relay that hangs is left after it.
	relayInterval = 300 * time.Millisecond
	// maxDirectLinks bounds the links beside those of the grid, to peers without a usable relay.
	maxDirectLinks = 8
	// idleTimeout is the time without a message after which such a link is closed.
	idleTimeout = 10 * time.Second
)

// Peer is another runner of the installation.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Config is the configuration of a transport.
type Config struct {
	Installation string
	Name         string // of this runner
	Listen       netip.AddrPort
	Peers        []Peer // the other runners
	// FullMeshLimit is the number of runners up to which all have links with all; 0: no bound.
	FullMeshLimit int
}

// Transport has all links of this runner. Its methods are called on the loop, which closes its
// connections when it ends.
type Transport struct {
	loop        *eventloop.Loop
	cfg         Config
	listener    *eventloop.Listener
	outbound    map[string]*outboundLink
	inbound     map[*inboundLink]bool
	grid        *grid.Grid
	unavailable map[string]bool // peers that are lost, and relay nothing
	receive     func(from string, f *Frame)

	Sent    int64 // messages of this runner
	Dropped int64 // messages that found no link with room
	Relayed int64 // messages between other runners
}

// Open listens for peers, and calls receive with each message of a peer of the configuration.
func Open(loop *eventloop.Loop, cfg Config, receive func(from string, f *Frame)) (*Transport, error) {
	t := &Transport{
		loop:     loop,
		cfg:      cfg,
		outbound: map[string]*outboundLink{},
		inbound:  map[*inboundLink]bool{},
		receive:  receive,
	}
	for _, p := range cfg.Peers {
		t.outbound[p.Name] = &outboundLink{transport: t, peer: p}
	}
	t.rebuildGrid()
	loop.Every(idleTimeout/2, t.closeIdle)
	var err error
	// Each peer has one connection; a new one may come before the end of the last is seen.
	t.listener, err = loop.Listen(cfg.Listen, eventloop.ListenConfig{
		MaxOpen: 2*len(cfg.Peers) + 4,
		Limits:  eventloop.BufferLimits{In: framing.HeaderSize + maxFrameBytes, Out: minBufferBytes},
		Accept:  t.accept,
	})
	return t, err
}

// Addr returns the address on which the transport listens.
func (t *Transport) Addr() netip.AddrPort { return t.listener.Addr() }

// SetPeers replaces the peers. Links with peers that are not among them are closed, in both
// directions.
func (t *Transport) SetPeers(peers []Peer) {
	added := map[string]Peer{}
	for _, p := range peers {
		added[p.Name] = p
	}
	for name, link := range t.outbound {
		if added[name] == link.peer {
			delete(added, name)
			continue
		}
		delete(t.outbound, name)
		if link.conn != nil {
			link.conn.Close(errNotInFile)
		}
	}
	for name, p := range added {
		t.outbound[name] = &outboundLink{transport: t, peer: p}
	}
	for link := range t.inbound {
		if link.name != "" && t.outbound[link.name] == nil {
			link.conn.Close(nil)
		}
	}
	t.cfg.Peers = peers
	t.rebuildGrid()
}

func (t *Transport) rebuildGrid() {
	names := []string{t.cfg.Name}
	for _, p := range t.cfg.Peers {
		names = append(names, p.Name)
	}
	limit := t.cfg.FullMeshLimit
	if limit == 0 {
		limit = len(names)
	}
	t.grid = grid.New(names, limit)
}

// linked reports whether the grid has a link with a peer.
func (t *Transport) linked(name string) bool { return t.grid.Linked(t.cfg.Name, name) }

// SetUnavailable replaces the set of peers that are lost.
func (t *Transport) SetUnavailable(names map[string]bool) { t.unavailable = names }

// Connections returns the number of connections to peers.
func (t *Transport) Connections() (n int) {
	for _, link := range t.outbound {
		if link.conn != nil {
			n++
		}
	}
	return n
}

// directLinks returns the number of connections beside those of the grid.
func (t *Transport) directLinks() (n int) {
	for name, link := range t.outbound {
		if link.conn != nil && !t.linked(name) {
			n++
		}
	}
	return n
}

// closeIdle closes the links beside those of the grid that are not used.
func (t *Transport) closeIdle() {
	for name, link := range t.outbound {
		if link.conn != nil && !t.linked(name) && t.loop.Now()-link.lastUsed > idleTimeout {
			link.conn.Close(errIdle)
		}
	}
}

// route returns the link by which to reach a peer: its own, that of a relay, or one beside those of
// the grid while no relay is usable. It returns nil if there are too many of those.
func (t *Transport) route(to *outboundLink) *outboundLink {
	if t.linked(to.peer.Name) {
		return to
	}
	relays := t.grid.Relays(t.cfg.Name, to.peer.Name)
	turn := int(t.loop.Now()/relayInterval) % max(len(relays), 1)
	for i := range relays {
		relay := t.outbound[relays[(turn+i)%len(relays)]]
		if relay != nil && !relay.failed && !t.unavailable[relay.peer.Name] {
			return relay
		}
	}
	if to.conn == nil && t.directLinks() >= maxDirectLinks {
		return nil
	}
	return to
}

// Send sends a message to a peer once there is a link. One to a runner that is no peer is ignored.
func (t *Transport) Send(to string, f *Frame) {
	link := t.outbound[to]
	if link == nil {
		return
	}
	t.Sent++
	route := t.route(link)
	switch {
	case route == nil:
		t.Dropped++
	case route == link:
		link.send(f)
	default:
		relayed := *f
		relayed.To = to
		relayed.From = t.cfg.Name
		route.send(&relayed)
	}
}

// dispatch handles a message of a peer: its own, or one that it relays.
func (t *Transport) dispatch(from string, f *Frame) {
	switch {
	case f.To == "":
		t.receive(from, f)
	case f.To != t.cfg.Name:
		t.relay(f)
	case t.outbound[f.From] != nil:
		t.receive(f.From, f)
	}
}

// relay passes a message on between two other runners.
func (t *Transport) relay(f *Frame) {
	link := t.outbound[f.To]
	if link == nil || !t.linked(f.To) {
		t.Dropped++
		return
	}
	t.Relayed++
	link.send(f)
}
