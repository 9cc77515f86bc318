package link

import "ryepaddle/internal/fault"

// kindLink is the kind of errors by which links are closed.
var kindLink = fault.Define(
	"peers.link",
	"A link between runners was closed, for what came on it or for want of use.",
	"Nothing, if it is dialled again; else see that both ends are of this fleet and of one version.",
)

var (
	errNotInFile      error = kindLink.New("link: the peer is not in the operator's file any more")
	errIdle           error = kindLink.New("link: the link is not used")
	errConnectTimeout error = kindLink.New("link: the connection was not established in time")
	errUnexpectedData error = kindLink.New("link: data on a connection that only sends")
)
