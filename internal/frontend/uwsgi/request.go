package uwsgi

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/match"
	"ryepaddle/internal/protocol/cgi"
	"ryepaddle/internal/protocol/traceparent"
	"ryepaddle/internal/wallclock"
)

const (
	// maxStatedDelay is how far in the past a time that a caller states may be.
	maxStatedDelay = time.Minute
	// maxStatedMs bounds a stated time in Unix milliseconds, so that it fits an int64 in microseconds.
	maxStatedMs = 1 << 50
	// defaultCaller is the caller of requests that state no caller number. The platform numbers its
	// balancers from 0, so this number is higher than theirs.
	defaultCaller = 1 << 16
	// idIncrement is added for each request ID. It is odd, so IDs repeat only after 2^64 requests.
	idIncrement = 0x9e3779b97f4a7c15
)

// Names of the variables of a request, as the operators' pages give them.
const (
	sourceVariable = "HTTP_X_SOURCE" // number of the caller
	// when a proxy received the request, in Unix milliseconds
	arrivalVariable = "HTTP_X_QUEUE_START"
)

// requestError is the error of a request that is rejected. The reason is sent to the caller.
type requestError struct {
	status int
	reason string
}

// Error implements error.
func (e *requestError) Error() string { return e.reason }

// requestErrorf returns a requestError with a formatted reason.
func requestErrorf(status int, format string, args ...any) *requestError {
	return &requestError{status: status, reason: fmt.Sprintf(format, args...)}
}

// parseRequest returns the request for the request lifecycle, without its body, and its route.
func (f *Frontend) parseRequest(r *cgi.Request) (*lifecycle.Request, *Route, *requestError) {
	request := &lifecycle.Request{
		AcceptsStream: true,
		SizeKB:        f.options.SizeKB,
		Key:           r.Get(f.options.KeyVariable),
		TraceParent:   r.Get(traceparent.Variable),
		Caller:        defaultCaller,
	}
	subject := r.MatchRequest()
	index := f.options.Matcher.Match(subject)
	if index < 0 {
		return nil, nil, requestErrorf(http.StatusNotFound, "no class at %q", r.Path)
	}
	route := &f.options.Routes[index]
	request.Class = route.Class
	request.Timeout = route.Deadline
	var ok bool
	if request.Tenant, ok = f.manager.Tenant(subject.Tenant); !ok {
		return nil, nil, requestErrorf(http.StatusForbidden, "unknown tenant %q", subject.Tenant)
	}
	if err := f.setKey(request, route, subject); err != nil {
		return nil, nil, err
	}
	if source, err := strconv.ParseUint(r.Get(sourceVariable), 10, 32); err == nil {
		request.Caller = uint32(source)
	}
	request.FirstSentAt = f.firstSentAt(r)
	request.Metadata = make([]lifecycle.Field, 0, len(r.Variables))
	for _, v := range r.Variables {
		request.Metadata = append(request.Metadata, lifecycle.Field(v))
	}
	f.lastID += idIncrement
	request.ID = fmt.Sprintf("%016x", f.lastID)
	return request, route, nil
}

// setKey sets the idempotency key from the route's expression, if it has one, and checks that a
// class that requires a key gets one.
func (f *Frontend) setKey(request *lifecycle.Request, route *Route, subject *match.Request) *requestError {
	if route.Key != nil {
		// A key from a percent-decoded text may have characters that a variable cannot have.
		request.Key = route.Key.Text(subject)
		if strings.ContainsFunc(request.Key, unicode.IsControl) {
			return requestErrorf(http.StatusBadRequest, "the key %q holds a control character", request.Key)
		}
	}
	if f.manager.RequiresKey(request.Class) && request.Key == "" {
		return requestErrorf(http.StatusBadRequest, "no %s in a keyed class", f.keySource(route))
	}
	return nil
}

// arrivedAt returns when the request arrived: the time that a proxy in front of this one states, or the
// time at which its connection was accepted.
func (f *Frontend) arrivedAt(r *cgi.Request, acceptedAt wallclock.UnixMicro) wallclock.UnixMicro {
	stated, ok := f.parseTime(r.Get(arrivalVariable))
	if !ok {
		return acceptedAt
	}
	return stated
}

// firstSentAt returns when the caller, by its own statement, sent the first attempt of the request,
// or 0. Without this time a retry of a rejected request looks like a new request.
func (f *Frontend) firstSentAt(r *cgi.Request) wallclock.UnixMicro {
	if f.options.FirstAttemptVariable == "" {
		return 0
	}
	stated, _ := f.parseTime(r.Get(f.options.FirstAttemptVariable))
	return stated
}

// parseTime parses a time in Unix milliseconds that a caller states. ok is false if the time is in
// the future or older than maxStatedDelay.
func (f *Frontend) parseTime(text string) (at wallclock.UnixMicro, ok bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxStatedMs {
		return 0, false
	}
	now := f.loop.Unix()
	at = wallclock.UnixMicro(ms * 1000)
	if at > now || at < now.Add(-maxStatedDelay) {
		return 0, false
	}
	return at, true
}

// keySource returns the expression or variable that holds a route's idempotency keys, for errors.
func (f *Frontend) keySource(route *Route) string {
	if route.Key != nil {
		return route.Key.String()
	}
	return f.options.KeyVariable
}
