package platform

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/fastcgi"
)

// statusField is the first header field of each answer, and statusBeginning how its line begins.
const (
	statusField     = "Status"
	statusBeginning = statusField + ": "
)

// Names of the header fields of answers, as the operators' pages give them.
const (
	headerAdvertisedValue = "X-Pressure"
	headerRetryAfterMs    = "X-Come-Back-Ms"
	headerNoRetry         = "X-No-Failover"
)

// Errors of requests that are rejected. Their texts are sent to callers.
var (
	errUnknownRequest = errors.New("nobody here knows this request")
	errNoKey          = errors.New("no X-Dedupe-Key in a keyed class")
	errRemovedClass   = errors.New("the class is not served any more")
)

// exchange is one request on a connection, from its BeginRequest to its EndRequest. It implements
// lifecycle.Responder.
type exchange struct {
	conn           *connection
	id             uint16
	keepConnection bool
	params         []byte
	body           []byte
	paramsComplete bool
	submitted      bool          // it is complete, or rejected
	statusBegun    bool          // the beginning of its answer was sent; see probePeer
	beganAt        time.Duration // monotonic time of its BeginRequest
	ticket         lifecycle.Ticket
}

// release releases the buffers of the request.
func (x *exchange) release() {
	released := len(x.params) + len(x.body)
	x.params = nil
	x.body = nil
	x.conn.incompleteBytes -= released
	x.conn.frontend.incompleteBytes -= released
}

// appendPart appends a part of the request to one of its buffers.
func (x *exchange) appendPart(buffer *[]byte, part []byte) {
	*buffer = append(*buffer, part...)
	x.conn.incompleteBytes += len(part)
	x.conn.frontend.countIncomplete(len(part))
}

// addParams appends a part to the parameters. An empty part completes them.
func (x *exchange) addParams(part []byte) {
	x.paramsComplete = len(part) == 0
	if len(x.params)+len(part) > maxParamsBytes {
		x.rejectIncomplete(http.StatusRequestHeaderFieldsTooLarge, errParamsTooLong)
		return
	}
	x.appendPart(&x.params, part)
}

// addBody appends a part to the body. An empty part completes the request.
func (x *exchange) addBody(part []byte) {
	switch {
	case len(part) == 0:
		x.complete()
	case len(x.body)+len(part) > maxBodyBytes:
		x.rejectIncomplete(http.StatusRequestEntityTooLarge, errBodyTooLong)
	default:
		x.appendPart(&x.body, part)
	}
}

// rejectIncomplete rejects a malformed request of which a part is missing, and may never arrive.
func (x *exchange) rejectIncomplete(status int, err error) {
	x.submitted = true
	x.reject(status, err)
}

// expire rejects a request that is incomplete for too long. It never ran.
func (x *exchange) expire() {
	eventRequestTimeout.Log()
	x.submitted = true
	x.finish(nil, fastcgi.Overloaded)
}

// abort ends a request that the caller aborted. If it runs, the run goes on and its key is kept.
func (x *exchange) abort() {
	if x.submitted {
		x.conn.frontend.manager.Withdraw(x.ticket)
	}
	x.finish(nil, fastcgi.RequestComplete)
}

// finish writes the given records and an EndRequest record, and forgets the request.
func (x *exchange) finish(records []byte, protocolStatus uint8) {
	c := x.conn
	if c.open[x.id] != x {
		return
	}
	x.release()
	delete(c.open, x.id)
	c.usedAt = c.frontend.loop.Now()
	c.Write(fastcgi.AppendEnd(records, x.id, 0, protocolStatus))
	if !x.keepConnection {
		c.advanceTo(stateFinishing)
	}
	c.closeIfDone()
}

// Initial capacities of the buffers for an answer, in bytes. The buffers grow where needed.
const (
	typicalHeadBytes = 256
	recordsOverhead  = 64 // headers and padding of the records around a head and a body
)

// respond writes a complete answer.
func (x *exchange) respond(status int, body []byte, fields ...lifecycle.Field) {
	response := make([]byte, 0, typicalHeadBytes+len(body))
	response = appendHeaderField(response, statusField, strconv.Itoa(status))
	if x.statusBegun {
		response = response[len(statusBeginning):]
	}
	for _, field := range fields {
		response = appendHeaderField(response, field.Name, field.Value)
	}
	if value := x.conn.frontend.advertisedValue; value != "" {
		response = appendHeaderField(response, headerAdvertisedValue, value)
	}
	response = append(response, "\r\n"...)
	response = append(response, body...)

	records := make([]byte, 0, len(response)+recordsOverhead)
	records = fastcgi.Append(records, fastcgi.Stdout, x.id, response)
	records = fastcgi.Append(records, fastcgi.Stdout, x.id, nil) // ends the stream
	x.finish(records, fastcgi.RequestComplete)
}

// appendHeaderField appends a line of a response's head.
func appendHeaderField(head []byte, name, value string) []byte {
	return append(head, name+": "+value+"\r\n"...)
}

// Answer implements lifecycle.Responder.
func (x *exchange) Answer(a lifecycle.Answer) {
	switch a.Status {
	case lifecycle.Served:
		x.respond(a.Result.Status, a.Result.Body, a.Result.Fields...)
	case lifecycle.Rejected:
		x.respond(http.StatusServiceUnavailable, nil, rejectionFields(a)...)
	case lifecycle.Expired:
		x.respond(http.StatusGatewayTimeout, nil)
	case lifecycle.Conflict:
		x.reject(http.StatusUnprocessableEntity, errors.New(a.Reason.String()))
	case lifecycle.ResultLost:
		x.respondText(http.StatusConflict, "it ran, and its result was not kept")
	case lifecycle.NotFound:
		x.reject(http.StatusNotFound, errUnknownRequest)
	default:
		x.respond(http.StatusInternalServerError, nil)
	}
}

// rejectionFields returns the header fields of a rejection.
func rejectionFields(a lifecycle.Answer) (fields []lifecycle.Field) {
	if ms := a.RetryAfterMs(); ms > 0 {
		fields = append(fields, lifecycle.Field{Name: headerRetryAfterMs, Value: strconv.FormatInt(ms, 10)})
	}
	if a.DoNotRetry {
		fields = append(fields, lifecycle.Field{Name: headerNoRetry, Value: "1"})
	}
	return fields
}

// complete submits a request that has been read. If its balancer has closed its side by then, perhaps long before the
// request is read, the request is submitted only once a probe has shown whether the balancer still reads.
func (x *exchange) complete() {
	c := x.conn
	x.submitted = true
	c.hasRequested = true
	if !c.IsPeerEnding() {
		x.submit()
		return
	}
	c.probePeer()
	c.frontend.loop.After(peerProbeTime, func() {
		if c.open[x.id] == x {
			x.submit()
		}
	})
}

// submit hands a complete request to the request lifecycle, or answers it at once.
func (x *exchange) submit() {
	f := x.conn.frontend
	params, metadata, err := readParams(x.params)
	if err != nil {
		x.reject(http.StatusBadRequest, err)
		return
	}
	body := x.body
	x.release()
	path := params[paramPath]
	if path == healthPath {
		x.answerHealthCheck(params[paramQuery])
		return
	}
	request, err := f.parseRequest(params, path)
	length := params[paramLength]
	switch {
	case errors.Is(err, errRemovedClass):
		// The balancer does not know of the removal yet; other requests on its connection are valid.
		x.respondText(http.StatusNotFound, err.Error())
	case err != nil:
		x.reject(http.StatusBadRequest, err)
	case length != "" && length != strconv.Itoa(len(body)):
		x.reject(
			http.StatusBadRequest,
			fmt.Errorf("CONTENT_LENGTH %q, and a body of %d bytes", length, len(body)),
		)
	default:
		request.Body = body
		request.Metadata = metadata
		request.Responder = x
		x.ticket = f.manager.Submit(request)
	}
}

// readParams decodes the parameters, both as a map and as a list in their order. Two different
// values of one name are an error, since a server might not use the same one as this package.
func readParams(content []byte) (params map[string]string, metadata []lifecycle.Field, err error) {
	params = map[string]string{}
	var conflict error
	err = fastcgi.ReadPairs(content, func(name, value string) {
		old, known := params[name]
		if !known {
			params[name] = value
			metadata = append(metadata, lifecycle.Field{Name: name, Value: value})
			return
		}
		if old != value {
			conflict = fmt.Errorf("%s is given twice, as %q and %q", name, old, value)
		}
	})
	return params, metadata, cmp.Or(err, conflict)
}

// reject answers a malformed request. Its connection accepts no further requests: a peer that
// repeats the request as soon as it is answered would keep the event loop busy.
func (x *exchange) reject(status int, err error) {
	x.conn.advanceTo(stateFinishing)
	eventBadRequest.Log(status, err)
	x.respondText(status, err.Error())
}

// respondText writes an answer with a line of text.
func (x *exchange) respondText(status int, text string) {
	x.respond(status, []byte(text+"\n"), lifecycle.Field{Name: "Content-Type", Value: "text/plain"})
}

// answerHealthCheck answers a health check. thorough=1 in the query asks for a deep check, which
// the health checker performs.
func (x *exchange) answerHealthCheck(query string) {
	f := x.conn.frontend
	answer := func(healthy bool) {
		status := http.StatusServiceUnavailable
		if healthy {
			status = http.StatusOK
		}
		x.respond(status, nil)
	}
	values, _ := url.ParseQuery(query) // malformed parts of the query are ignored
	if f.healthStored || f.healthChecker == nil || values.Get("thorough") != "1" {
		answer(f.healthy)
		return
	}
	f.healthChecker.Check(answer)
}
