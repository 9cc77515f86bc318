package config

import (
	"ryepaddle/internal/flowcontrol"
)

// Limits bound the resources of the uwsgi frontend and of the servers behind it.
type Limits struct {
	// Connections is the most connections of callers; default 128.
	Connections int `yaml:"connections"`
	// PerAddress is the most connections of one caller's IP address; default 0: no bound of its
	// own.
	PerAddress int `yaml:"per_address"`
	// ServerConnections is the most connections, and so requests, at one server; default 64.
	ServerConnections int `yaml:"server_connections"`
	// PreopenedConnections is how many connections to each server are opened before requests need
	// them; default 0.
	PreopenedConnections int `yaml:"server_ahead"`
	// VarsKB is the most kB of variables of one request; default 16.
	VarsKB int `yaml:"vars_kb"`
	// BodyKB is the most kB of a request body that is buffered; default 64.
	BodyKB int `yaml:"body_kb"`
	// ResponseKB is the most kB of a response that is buffered before it is sent; a larger one
	// streams. Default 64.
	ResponseKB int `yaml:"response_kb"`
	// CachedResultKB is the most kB of a result that is cached for retries with its idempotency
	// key; default 128.
	CachedResultKB int `yaml:"keep_kb"`
	// UploadMB is the most MB of a request body that may stream to a server. Only the bodies of
	// idempotent requests stream. Default 64; 0: no body streams.
	UploadMB int `yaml:"upload_mb"`
	// StreamKB is the most kB of a streamed response that is queued for one slow reader; default
	// 128.
	StreamKB int `yaml:"stream_kb"`
	// StreamMB is the most MB of streamed responses that are queued for all readers together; default
	// 4.
	StreamMB int `yaml:"stream_mb"`
	// RequestKB is the memory in kB that a request is assumed to take; default 32.
	RequestKB float64 `yaml:"request_kb"`
	// ReadMs is the time in ms within which a request, or the next part of a body that streams, must be
	// received; default 2500.
	ReadMs int64 `yaml:"read_ms"`
	// ConnectMs is the time in ms to connect to a server; default 1000.
	ConnectMs int64 `yaml:"connect_ms"`
	// Attempts is the most attempts of one request, the first one included; default 2.
	Attempts int `yaml:"tries"`
}

// defaultLimits returns the default limits.
func defaultLimits() Limits {
	return Limits{
		Connections:       128,
		ServerConnections: 64,
		VarsKB:            16,
		BodyKB:            64,
		ResponseKB:        64,
		CachedResultKB:    128,
		UploadMB:          64,
		StreamKB:          128,
		StreamMB:          4,
		RequestKB:         32,
		ReadMs:            2500,
		ConnectMs:         1000,
		Attempts:          2,
	}
}

// Flow returns the limits of flow control, in bytes.
func (l *Limits) Flow() flowcontrol.Limits {
	return flowcontrol.Limits{
		MaxBuffered:     l.ResponseKB << 10,
		MaxCached:       max(l.CachedResultKB, l.ResponseKB) << 10,
		MaxQueued:       l.StreamKB << 10,
		MaxQueuedTotal:  l.StreamMB << 20,
		MaxBufferedBody: l.BodyKB << 10,
		MaxStreamedBody: l.UploadMB << 20,
	}
}

// checkLimits compares the limits with the memory and the file descriptors that the platform allows.
func (o *Operator) checkLimits(p *Platform) error {
	l := &o.Limits
	// The variables of a request are held once, its body and its response both as received and as
	// sent.
	connectionKB := l.VarsKB + 2*l.BodyKB + 2*max(l.ResponseKB, l.CachedResultKB/2)
	needMB := l.Connections * connectionKB / 1024
	if needMB > p.MemoryMB/4 {
		return o.document.Errorf(
			"limits",
			"connections of that size may need %d MB, over a quarter of memory_mb",
			needMB,
		)
	}
	if l.StreamMB > p.MemoryMB/8 {
		return o.document.Errorf("limits.stream_mb", "%d is over an eighth of memory_mb", l.StreamMB)
	}
	// Half of the descriptors are left to connections of the platform's balancers. A quarter is shared
	// by this frontend and the connections to its servers.
	if l.Connections > p.MaxDescriptors/8 {
		return o.document.Errorf(
			"limits.connections",
			"%d is over an eighth of the %d sockets",
			l.Connections,
			p.MaxDescriptors,
		)
	}
	return nil
}
