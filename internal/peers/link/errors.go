package link

import "ryepaddle/internal/fault"

// kindLink is the kind of errors by which links are closed.
var kindLink = fault.Define(
	"peers.link",
	"A link between runners was closed: an invalid message came on it, or it was idle.",
	"Nothing, if it is up again soon; else check that both runners are of this installation and version.",
)

var (
	errNotInFile      error = kindLink.New("link: the peer is not in the operator's file any more")
	errIdle           error = kindLink.New("link: the link is not used")
	errConnectTimeout error = kindLink.New("link: the connection was not established in time")
	errUnexpectedData error = kindLink.New("link: data on a connection that only sends")
)
