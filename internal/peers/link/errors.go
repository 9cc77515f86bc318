package link

import "ryepaddle/internal/fault"

// What can go wrong here, and what an operator can do about it.
var (
	kindLink = fault.Define(
		"peers.link",
		"A link between runners was closed, for what came on it or for want of use.",
		"Nothing, if it is dialled again; else see that both ends are of this fleet and of one version.",
	)
)
