package app

import (
	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/admin"
	"ryepaddle/internal/platform/backend"
)

// descriptorShares holds the most file descriptors that connections of balancers and connections to the
// back end may use. The rest is reserved for the links to the engine, the registry and operators, so that
// these work while callers use all of their share.
type descriptorShares struct {
	balancers int // connections of the platform's frontend
	backend   int // connections to the back end
}

const (
	// reservedDescriptors is the number of descriptors that do not grow with the load: standard
	// streams, epoll and wake-up of the loop and of the Go runtime, the listener, the registry's
	// socket, the files of reservations, two links to the engine while its address changes, and a
	// file that is being read.
	reservedDescriptors   = 16
	minBackendDescriptors = 2
	// descriptorsPerUWSGIConnection counts the connection of a caller and one to a server.
	descriptorsPerUWSGIConnection = 2
)

// shareDescriptors divides the descriptors of the process. Balancers always get half of them, and up to
// five eighths if enough remain for backend.MaxConnections.
func shareDescriptors(c *config.Platform, operator *config.Operator) descriptorShares {
	reserved := reservedDescriptors
	if c.Admin.IsValid() {
		reserved += admin.MaxDescriptors
	}
	if operator != nil && operator.HasUWSGIFrontend() {
		reserved += descriptorsPerUWSGIConnection * operator.Limits.Connections
	}
	minBalancers := c.MaxDescriptors / 2
	maxBalancers := c.MaxDescriptors * 5 / 8
	besideBackend := c.MaxDescriptors - reserved - backend.MaxConnections
	balancers := min(maxBalancers, max(minBalancers, besideBackend))
	remaining := c.MaxDescriptors - reserved - balancers
	return descriptorShares{
		balancers: balancers,
		backend:   min(max(remaining, minBackendDescriptors), backend.MaxConnections),
	}
}
