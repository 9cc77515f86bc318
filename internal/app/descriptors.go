package app

import (
	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/admin"
	"ryepaddle/internal/platform/backend"
)

// descriptorShares is how many descriptors each part may hold that takes them for others. What is
// not shared out is kept back for the links to engine, roster and operators, which have to work
// while callers fill all that they may.
type descriptorShares struct {
	balancers int // connections of the platform's front
	backend   int // connections to the back end
}

const (
	// reservedDescriptors are those that do not grow with the load: standard streams, the loop's and the
	// runtime's epoll and wake-up, the listener, the roster's socket, the claims' files, two links
	// to the engine while it moves, and a file that is read.
	reservedDescriptors   = 16
	minBackendDescriptors = 2
)

// shareDescriptors divides the descriptors of the process. Balancers may open half of them, and
// that many are always taken; five eighths are, where enough is left for the back end.
func shareDescriptors(cfg *config.Platform, op *config.Operator) descriptorShares {
	kept := reservedDescriptors
	if cfg.Admin.IsValid() {
		kept += admin.MaxDescriptors
	}
	if op != nil && op.HasUWSGIFrontend() { // each call on the second front may take one to a server
		kept += 2 * op.Limits.Connections
	}
	half, most := cfg.MaxDescriptors/2, cfg.MaxDescriptors*5/8
	balancers := min(most, max(half, cfg.MaxDescriptors-kept-backend.MaxConnections))
	return descriptorShares{
		balancers: balancers,
		backend:   min(max(cfg.MaxDescriptors-kept-balancers, minBackendDescriptors), backend.MaxConnections),
	}
}
