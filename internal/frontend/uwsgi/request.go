package uwsgi

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/cgi"
	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/wallclock"
)

// arrived is when the request came: as a front end before this one stamped it, if that can be, or
// when its connection was taken.
func (f *Frontend) arrived(r *cgi.Request, began int64) int64 {
	ms, err := strconv.ParseInt(r.Get("HTTP_X_QUEUE_START"), 10, 64)
	if err != nil || ms <= 0 || ms > 1<<50 || ms*1000 > int64(f.loop.Unix()) ||
		ms*1000 < int64(f.loop.Unix())-maxQueued {
		return began
	}
	return ms * 1000
}

// first is when the request was asked for first, as its caller says, if that can be: one that was
// turned away and comes back looks like a new one else. Nought: nobody says.
func (f *Frontend) first(r *cgi.Request) int64 {
	if f.opt.FirstAttemptVariable == "" {
		return 0
	}
	ms, err := strconv.ParseInt(r.Get(f.opt.FirstAttemptVariable), 10, 64)
	if err != nil || ms <= 0 || ms > 1<<50 || ms*1000 > int64(f.loop.Unix()) ||
		ms*1000 < int64(f.loop.Unix())-maxQueued {
		return 0
	}
	return ms * 1000
}

// maxQueued is the longest wait before this hop that is believed.
const maxQueued = 60_000_000

// request makes what the core gets of a request, but for its body, and tells which route it takes.
func (f *Frontend) request(r *cgi.Request) (*lifecycle.Request, *Route, int, error) {
	q := &lifecycle.Request{
		AcceptsStream: true,
		SizeKB:        f.opt.SizeKB,
		Key:           r.Get(f.opt.KeyVariable),
		TraceParent:   r.Get(traceparent.Variable),
		Caller:        maxPlatformCaller,
	}
	m := r.MatchRequest()
	n := f.opt.Matcher.Match(m)
	if n < 0 {
		return nil, nil, 404, fmt.Errorf("no class at %q", r.Path)
	}
	route := &f.opt.Routes[n]
	q.Class, q.Timeout = route.Class, time.Duration(route.Deadline)*time.Microsecond
	var ok bool
	if q.Tenant, ok = f.core.Tenant(m.School); !ok {
		return nil, nil, 403, fmt.Errorf("unknown tenant %q", m.School)
	}
	if route.Key != nil {
		// What was written in percent signs may hold what no variable may.
		if q.Key = route.Key.Text(m); strings.ContainsFunc(q.Key, unicode.IsControl) {
			return nil, nil, 400, fmt.Errorf("the key %q holds a control character", q.Key)
		}
	}
	if f.core.IsKeyed(q.Class) && q.Key == "" {
		return nil, nil, 400, fmt.Errorf("no %s in a keyed class", f.keyFrom(route))
	}
	if source, err := strconv.ParseUint(r.Get("HTTP_X_SOURCE"), 10, 32); err == nil {
		q.Caller = uint32(source)
	}
	q.FirstSentAt = wallclock.UnixMicro(f.first(r))
	q.Metadata = make([]lifecycle.Field, 0, len(r.Variables))
	for _, v := range r.Variables {
		q.Metadata = append(q.Metadata, lifecycle.Field(v))
	}
	f.names += 0x9e3779b97f4a7c15 // odd, so that no name comes twice
	q.ID = fmt.Sprintf("%016x", f.names)
	return q, route, 0, nil
}

// keyFrom is where a route has its keys from.
func (f *Frontend) keyFrom(r *Route) string {
	if r.Key != nil {
		return r.Key.String()
	}
	return f.opt.KeyVariable
}

// maxPlatformCaller is the number of callers that give none; the platform numbers its balancers
// from 0.
const maxPlatformCaller = 1 << 16
