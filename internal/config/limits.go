package config

import (
	"ryepaddle/internal/flowcontrol"
)

// Limits bound what the second front and its servers may take.
type Limits struct {
	Connections int `yaml:"connections"`
	// connections of one caller's address; 0: no bound of its own
	PerAddress           int `yaml:"per_address"`
	ServerConnections    int `yaml:"server_connections"`
	PreopenedConnections int `yaml:"server_ahead"` // of them are opened before requests come
	VarsKB               int `yaml:"vars_kb"`
	BodyKB               int `yaml:"body_kb"`
	ResponseKB           int `yaml:"response_kb"` // gathered whole; what is larger streams
	CachedResultKB       int `yaml:"keep_kb"`     // of the result of a keyed one, for its repeats
	// a body up to this may stream to a server, where that is safe; 0: none
	UploadMB  int     `yaml:"upload_mb"`
	StreamKB  int     `yaml:"stream_kb"` // of a response that streams, for one slow reader
	StreamMB  int     `yaml:"stream_mb"` // and for all of them
	RequestKB float64 `yaml:"request_kb"`
	ReadMs    int64   `yaml:"read_ms"`
	ConnectMs int64   `yaml:"connect_ms"`
	Attempts  int     `yaml:"tries"`
}

// Flow is how responses pass.
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

func (o *Operator) checkLimits(p *Platform) error {
	l := &o.Limits
	// Each caller may have a request, its body, and a response on the way in and out.
	need := l.Connections * (l.VarsKB + 2*l.BodyKB + 2*max(l.ResponseKB, l.CachedResultKB/2)) / 1024
	if need > p.MemoryMB/4 {
		return o.document.Errorf(
			"limits",
			"connections of that size may need %d MB, over a quarter of memory_mb",
			need,
		)
	}
	if l.StreamMB > p.MemoryMB/8 {
		return o.document.Errorf("limits.stream_mb", "%d is over an eighth of memory_mb", l.StreamMB)
	}
	// The platform's balancers may open half; a quarter is for this front and as many connections
	// to servers.
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
