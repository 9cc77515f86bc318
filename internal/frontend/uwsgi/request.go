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
	// maxStatedDelay is the oldest time that a caller may state for a request.
	maxStatedDelay = time.Minute
	// maxStatedMs bounds a stated time in Unix milliseconds, so that its microseconds fit an int64.
	maxStatedMs = 1 << 50
	// defaultCaller is the number of callers that state none; the platform numbers its balancers
	// from 0.
	defaultCaller = 1 << 16
	// idIncrement is odd, so that no request ID recurs.
	idIncrement = 0x9e3779b97f4a7c15
)

// Variables of a request, by the names of the operators' pages.
const (
	sourceVariable = "HTTP_X_SOURCE" // number of the caller
	// when a proxy received the request, in Unix milliseconds
	arrivalVariable = "HTTP_X_QUEUE_START"
)

// requestError is a request that is rejected with a status.
type requestError struct {
	status int
	reason string
}

// Error implements error.
func (e *requestError) Error() string { return e.reason }

// requestErrorf returns a requestError.
func requestErrorf(status int, format string, args ...any) *requestError {
	return &requestError{status: status, reason: fmt.Sprintf(format, args...)}
}

// parseRequest returns the request as the request lifecycle takes it, without its body, and its
// route.
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
	if request.Tenant, ok = f.manager.Tenant(subject.School); !ok {
		return nil, nil, requestErrorf(http.StatusForbidden, "unknown tenant %q", subject.School)
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
		// A key that was percent-decoded may have characters that a variable cannot have.
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

// arrivedAt returns when the request arrived: the time that a proxy before this one states, or when
// its connection was accepted.
func (f *Frontend) arrivedAt(r *cgi.Request, acceptedAt wallclock.UnixMicro) wallclock.UnixMicro {
	stated, ok := f.parseTime(r.Get(arrivalVariable))
	if !ok {
		return acceptedAt
	}
	return stated
}

// firstSentAt returns when the caller sent the first attempt of the request, as it states, or 0.
// Without it a retry of a rejected request looks like a new one.
func (f *Frontend) firstSentAt(r *cgi.Request) wallclock.UnixMicro {
	if f.options.FirstAttemptVariable == "" {
		return 0
	}
	stated, _ := f.parseTime(r.Get(f.options.FirstAttemptVariable))
	return stated
}

// parseTime parses a stated time in Unix milliseconds. It may not be in the future, nor older than
// maxStatedDelay.
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

// keySource returns where the idempotency keys of a route come from, for errors.
func (f *Frontend) keySource(route *Route) string {
	if route.Key != nil {
		return route.Key.String()
	}
	return f.options.KeyVariable
}
