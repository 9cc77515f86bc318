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
	// maxQueuedBytes is the size of the send queue of one peer above which messages are dropped.
	maxQueuedBytes = 4 << 20
	// minBufferBytes is the buffer size for the unused direction of a connection.
	minBufferBytes = 64
	// redialInterval is the minimum time between two dials of a peer.
	redialInterval = 200 * time.Millisecond
	// helloTimeout is the time after which an inbound connection without a Hello is closed.
	helloTimeout = 2 * time.Second
	// connectTimeout is the time after which a connection that is not established is closed.
	connectTimeout = 2 * time.Second
	// relayInterval is the time after which the transport switches to another relay. The messages of one
	// interval keep their order, and a relay that hangs is not used for longer than that.
	relayInterval = 300 * time.Millisecond
	// maxDirectLinks is the maximum number of links outside the grid, to peers without a usable relay.
	maxDirectLinks = 8
	// idleTimeout is the time without a message after which a link outside the grid is closed.
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
	// FullMeshLimit is the maximum number of runners for a full mesh of links; 0: always a full mesh.
	FullMeshLimit int
}

// Transport manages all links of this runner. Its methods must be called on the event loop, which closes
// the connections when it ends.
type Transport struct {
	loop        *eventloop.Loop
	cfg         Config
	listener    *eventloop.Listener
	outbound    map[string]*outboundLink
	inbound     map[*inboundLink]bool
	grid        *grid.Grid
	unavailable map[string]bool // lost peers, which are not used as relays
	receive     func(from string, f *Frame)

	Sent    int64 // messages that this runner sent to peers, including dropped ones
	Dropped int64 // messages without a usable link, or over maxQueuedBytes
	Relayed int64 // messages relayed between other runners
}

// Open listens for connections of peers. It calls receive with each message from a configured peer.
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
	// Each peer has one connection, but may open the next one before the end of the last one is noticed.
	t.listener, err = loop.Listen(cfg.Listen, eventloop.ListenConfig{
		MaxOpen: 2*len(cfg.Peers) + 4,
		Limits:  eventloop.BufferLimits{In: framing.HeaderSize + maxFrameBytes, Out: minBufferBytes},
		Accept:  t.accept,
	})
	return t, err
}

// Addr returns the address on which the transport listens.
func (t *Transport) Addr() netip.AddrPort { return t.listener.Addr() }

// SetPeers replaces the peers. The links with removed peers are closed in both directions.
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

// linked reports whether the grid has a link between this runner and a peer.
func (t *Transport) linked(name string) bool { return t.grid.Linked(t.cfg.Name, name) }

// SetUnavailable replaces the set of lost peers, which are not used as relays.
func (t *Transport) SetUnavailable(names map[string]bool) { t.unavailable = names }

// Connections returns the number of outbound connections to peers.
func (t *Transport) Connections() (n int) {
	for _, link := range t.outbound {
		if link.conn != nil {
			n++
		}
	}
	return n
}

// directLinks returns the number of outbound connections outside the grid.
func (t *Transport) directLinks() (n int) {
	for name, link := range t.outbound {
		if link.conn != nil && !t.linked(name) {
			n++
		}
	}
	return n
}

// closeIdle closes the links outside the grid that were idle for idleTimeout.
func (t *Transport) closeIdle() {
	for name, link := range t.outbound {
		if link.conn != nil && !t.linked(name) && t.loop.Now()-link.lastUsed > idleTimeout {
			link.conn.Close(errIdle)
		}
	}
}

// route returns the link over which to send to a peer: the peer's own link if the grid has one, otherwise
// that of a relay, or a direct link outside the grid if no relay is usable. It returns nil if a direct
// link would exceed maxDirectLinks.
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

// Send sends a message to a peer, or drops it if there is no usable link. Messages to runners that are
// no peers are ignored.
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

// dispatch handles a message that a peer sent or relayed.
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

// relay forwards a message to another runner. It drops the message if the grid has no link with it.
func (t *Transport) relay(f *Frame) {
	link := t.outbound[f.To]
	if link == nil || !t.linked(f.To) {
		t.Dropped++
		return
	}
	t.Relayed++
	link.send(f)
}
