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

// Header fields of answers, by the names of the operators' pages.
const (
	headerAdvertisedValue = "X-Pressure"
	headerRetryAfterMs    = "X-Come-Back-Ms"
	headerNoRetry         = "X-No-Failover"
)

// Errors of requests that are rejected.
var (
	errParamsTooLong  = errors.New("parameters over their limit")
	errBodyTooLong    = errors.New("body over its limit")
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
	submitted      bool // it was handed to the request lifecycle, or rejected
	beganAt        time.Duration
	ticket         lifecycle.Ticket
}

// release releases the buffers of the request.
func (x *exchange) release() {
	n := len(x.params) + len(x.body)
	x.params, x.body = nil, nil
	x.conn.incompleteBytes -= n
	x.conn.frontend.incompleteBytes -= n
}

// appendPart appends a part of the request to one of its buffers.
func (x *exchange) appendPart(buffer *[]byte, part []byte) {
	*buffer = append(*buffer, part...)
	x.conn.incompleteBytes += len(part)
	x.conn.frontend.countIncomplete(len(part))
}

// addParams appends to the parameters. An empty part completes them.
func (x *exchange) addParams(part []byte) error {
	x.paramsComplete = len(part) == 0
	if len(x.params)+len(part) > maxParamsBytes {
		return errParamsTooLong
	}
	x.appendPart(&x.params, part)
	return nil
}

// addBody appends to the body. An empty part completes the request.
func (x *exchange) addBody(part []byte) {
	switch {
	case len(part) == 0:
		x.submit()
	case len(x.body)+len(part) > maxBodyBytes: // its end may never arrive
		x.submitted = true
		x.reject(http.StatusRequestEntityTooLarge, errBodyTooLong)
	default:
		x.appendPart(&x.body, part)
	}
}

// abort ends a request whose caller aborted it. A run goes on, and its key is kept.
func (x *exchange) abort() {
	if x.submitted {
		x.conn.frontend.manager.Withdraw(x.ticket)
	}
	x.finish(nil, fastcgi.RequestComplete)
}

// finish writes the given records and an EndRequest, and drops the request.
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

// respond writes a complete answer. fields are pairs of name and value.
func (x *exchange) respond(status int, body []byte, fields ...string) {
	out := make([]byte, 0, 256+len(body))
	out = append(out, "Status: "+strconv.Itoa(status)+"\r\n"...)
	if value := x.conn.frontend.advertisedValue; value != "" {
		fields = append(fields, headerAdvertisedValue, value)
	}
	for i := 0; i < len(fields); i += 2 {
		out = append(out, fields[i]+": "+fields[i+1]+"\r\n"...)
	}
	out = append(append(out, "\r\n"...), body...)
	records := fastcgi.Append(make([]byte, 0, len(out)+64), fastcgi.Stdout, x.id, out)
	x.finish(fastcgi.Append(records, fastcgi.Stdout, x.id, nil), fastcgi.RequestComplete)
}

// Answer implements lifecycle.Responder.
func (x *exchange) Answer(a lifecycle.Answer) {
	switch a.Status {
	case lifecycle.Served:
		fields := make([]string, 0, 2*len(a.Result.Fields)+2)
		for _, f := range a.Result.Fields {
			fields = append(fields, f.Name, f.Value)
		}
		x.respond(a.Result.Status, a.Result.Body, fields...)
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

// rejectionFields returns the header fields of a rejection. The time to stay away is rounded up to whole
// milliseconds.
func rejectionFields(a lifecycle.Answer) (fields []string) {
	if a.RetryAfter.Microseconds() > 0 {
		ms := (a.RetryAfter.Microseconds() + 999) / 1000
		fields = append(fields, headerRetryAfterMs, strconv.FormatInt(ms, 10))
	}
	if a.DoNotRetry {
		fields = append(fields, headerNoRetry, "1")
	}
	return fields
}

// submit hands a complete request to the request lifecycle, or answers it at once.
func (x *exchange) submit() {
	x.submitted, x.conn.hasRequested = true, true
	f := x.conn.frontend
	params, metadata, err := readParams(x.params)
	if err != nil {
		x.reject(http.StatusBadRequest, err)
		return
	}
	body := x.body
	x.release()
	path := params["SCRIPT_NAME"]
	if path == healthPath {
		x.answerHealthCheck(params["QUERY_STRING"])
		return
	}
	request, err := f.parseRequest(params, path)
	length := params["CONTENT_LENGTH"]
	switch {
	case errors.Is(err, errRemovedClass):
		// The balancer has not heard of the removal yet; its other requests are valid.
		x.respondText(http.StatusNotFound, err.Error())
	case err != nil:
		x.reject(http.StatusBadRequest, err)
	case length != "" && length != strconv.Itoa(len(body)):
		x.reject(
			http.StatusBadRequest,
			fmt.Errorf("CONTENT_LENGTH %q, and a body of %d bytes", length, len(body)),
		)
	default:
		request.Body, request.Metadata, request.Responder = body, metadata, x
		x.ticket = f.manager.Submit(request)
	}
}

// readParams decodes the parameters, also as a list in their order. Two different values of one name are an
// error, since a server might use the other one.
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

// reject answers a malformed request. Its connection accepts no more: a peer that sends the same again as
// soon as it is answered would keep the event loop busy.
func (x *exchange) reject(status int, err error) {
	x.conn.advanceTo(stateFinishing)
	eventBadRequest.Log(status, err)
	x.respondText(status, err.Error())
}

// respondText writes an answer with a line of text.
func (x *exchange) respondText(status int, text string) {
	x.respond(status, []byte(text+"\n"), "Content-Type", "text/plain")
}

// answerHealthCheck answers a health check; thorough=1 in the query asks for a deep one.
func (x *exchange) answerHealthCheck(query string) {
	f := x.conn.frontend
	answer := func(good bool) {
		if good {
			x.respond(http.StatusOK, nil)
		} else {
			x.respond(http.StatusServiceUnavailable, nil)
		}
	}
	values, _ := url.ParseQuery(query) // a malformed part sets nothing
	if f.healthStored || f.healthChecker == nil || values.Get("thorough") != "1" {
		answer(f.healthy)
		return
	}
	f.healthChecker.Check(answer)
}
