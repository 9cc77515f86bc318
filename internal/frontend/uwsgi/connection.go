package uwsgi

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/cgi"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
	"ryepaddle/internal/wallclock"
)

// Errors of requests that are rejected, whose texts are sent to callers, and of connections.
var (
	errRequestTimeout = errors.New("request does not come")
	errBodyTimeout    = errors.New("the rest of the body does not come")
	errLengthRequired = errors.New("a body of this size needs its length stated")
	errResultLost     = errors.New("it ran, and its result was not kept")
	errServerStalled  = errors.New("the server does not take the body")
	errTruncated      = errors.New("response truncated")
)

// connection is one connection of a caller with its request. It implements eventloop.Handler,
// lifecycle.Responder, lifecycle.Upload for a body that streams, and lifecycle.StreamConsumer for a
// response that streams.
type connection struct {
	*eventloop.Conn
	frontend   *Frontend
	acceptedAt wallclock.UnixMicro
	callerAddr netip.Addr // invalid on a Unix socket
	timer      *eventloop.Timer

	submitted   bool // the request was handed to the request lifecycle
	answered    bool
	headOnly    bool               // a HEAD request
	request     *lifecycle.Request // nil: its variables are incomplete
	route       *Route
	ticket      lifecycle.Ticket
	excessBytes int // received after the request

	framing        *httpmessage.Body // finds the end of the body
	body           []byte            // received so far, if it does not stream
	bodyUntilClose bool              // the body ends when the caller closes its side

	bodyStreams    bool                     // the rest of the body is passed on as it arrives
	uploadConsumer lifecycle.UploadConsumer // nil: none yet
	pendingUpload  []byte                   // parts of the body that arrived before there was a consumer
	uploadReader   flowcontrol.ReaderID
	uploadPaused   bool // reading is paused until the server has taken more

	responseStream lifecycle.Stream // the rest of a response that streams; nil: none
	responseReader flowcontrol.ReaderID
}

// Connected implements eventloop.Handler.
func (c *connection) Connected() {}

// Data implements eventloop.Handler. There is one request on a connection. Further input is dropped,
// up to maxExcessBytes.
func (c *connection) Data(b []byte) (int, error) {
	if c.bodyStreams {
		return c.readUpload(b)
	}
	if c.submitted || c.answered {
		c.excessBytes += len(b)
		if c.excessBytes > maxExcessBytes && c.uploadReader == 0 {
			return len(b), eventloop.ErrInputOverflow
		}
		return len(b), nil
	}
	used := 0
	if c.request == nil {
		n, bodyFollows := c.readHead(b)
		if !bodyFollows {
			return n, nil
		}
		used = n
		if c.bodyStreams {
			n, err := c.readUpload(b[used:])
			return used + n, err
		}
	}
	return c.readBody(b, used), nil
}

// readHead reads the variables of the request and returns how many bytes are used. bodyFollows
// reports whether they are complete and the body is to be read.
func (c *connection) readHead(b []byte) (used int, bodyFollows bool) {
	head, n, err := uwsgi.ReadHead(b, c.frontend.options.MaxVariablesBytes)
	switch {
	case err != nil:
		c.reject(statusOf(err), err)
		return len(b), false
	case n == 0:
		return 0, false
	case head.Ping:
		c.answered = true
		c.timer.Stop()
		c.Write(uwsgi.AppendPing(nil))
		c.CloseGracefully()
		return len(b), false
	case !c.beginRequest(head):
		return len(b), false
	}
	return n, true
}

// readBody reads a body that is buffered from b[used:], and submits the request when it is
// complete. It returns how many bytes of b are used.
func (c *connection) readBody(b []byte, used int) int {
	flow := &c.frontend.options.Flow
	for {
		data, n, done, err := c.framing.Next(b[used:], false)
		used += n
		switch {
		case err != nil:
			c.reject(http.StatusBadRequest, err)
		case len(c.body)+len(data) > flow.MaxBufferedBody:
			plan := flow.PlanOversizedChunked(flowcontrol.RequestBody{
				Idempotent: c.route.Idempotent,
				Remote:     c.route.Proxied,
				Length:     -1,
				Chunked:    true,
			})
			if plan == flowcontrol.RequireLength {
				c.reject(http.StatusLengthRequired, errLengthRequired)
			} else {
				c.reject(http.StatusRequestEntityTooLarge, uwsgi.ErrBodyTooLong)
			}
		case done:
			c.body = append(c.body, data...)
			c.timer.Stop()
			c.submit()
		case n == 0:
			return used
		default:
			c.body = append(c.body, data...)
			continue
		}
		return len(b)
	}
}

// beginRequest processes the variables of the request, and reports whether its body is to be read. A
// request that can be answered without its body is answered at once.
func (c *connection) beginRequest(head *uwsgi.Head) bool {
	f := c.frontend
	r, ok := c.normalize(head)
	if !ok {
		return false
	}
	c.headOnly = r.Method == http.MethodHead
	if f.options.HealthPath != "" && r.Path == f.options.HealthPath {
		c.answerHealthCheck()
		return false
	}
	request, route, err := f.parseRequest(r)
	if err != nil {
		c.reject(err.status, err)
		return false
	}
	plan := f.options.Flow.PlanBody(flowcontrol.RequestBody{
		Idempotent: route.Idempotent,
		Remote:     route.Proxied,
		Length:     r.Length,
		Chunked:    r.Chunked,
	})
	if plan == flowcontrol.RejectTooLarge {
		c.reject(
			http.StatusRequestEntityTooLarge,
			fmt.Errorf("%w: %d bytes", uwsgi.ErrBodyTooLong, r.Length),
		)
		return false
	}
	c.request = request
	c.route = route
	c.frameBody(r)
	request.ArrivedAt = f.arrivedAt(r, c.acceptedAt)
	if r.ExpectsContinue {
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	if plan == flowcontrol.StreamBody {
		c.beginUpload(r.Length)
	}
	return true
}

// normalize returns the normalized request, or rejects it.
func (c *connection) normalize(head *uwsgi.Head) (r *cgi.Request, ok bool) {
	options := &c.frontend.options
	variables := make([]cgi.Variable, len(head.Variables))
	for i, v := range head.Variables {
		variables[i] = cgi.Variable(v)
	}
	r, err := cgi.Read(variables, options.KeyVariable, options.TenantVariable, options.FirstAttemptVariable)
	var malformed *cgi.Error
	if errors.As(err, &malformed) {
		c.reject(malformed.Status, err)
		return nil, false
	}
	return r, true
}

// answerHealthCheck answers a health check.
func (c *connection) answerHealthCheck() {
	status := http.StatusOK
	if !c.frontend.healthy {
		status = http.StatusServiceUnavailable
	}
	c.respond(&uwsgi.Response{Status: status})
}

// frameBody sets how the end of the body is recognized.
func (c *connection) frameBody(r *cgi.Request) {
	switch {
	case r.Chunked:
		c.framing = httpmessage.ChunkedBody()
	case r.UntilClose:
		c.framing = httpmessage.BodyUntilClose()
		c.bodyUntilClose = true
	default:
		c.framing = httpmessage.BodyOfLength(max(r.Length, 0))
	}
}

// submit hands the request to the request lifecycle. A caller that has closed its side by then, perhaps long before
// its request is read, has cancelled it: it is not submitted.
func (c *connection) submit() {
	if c.IsPeerEnding() && !c.bodyUntilClose {
		eventCallerLeft.Log()
		c.answered = true
		c.body = nil
		c.Close(io.EOF)
		return
	}
	c.request.Body = c.body
	c.request.Responder = c
	c.body = nil
	c.submitted = true
	c.excessBytes = 0
	c.ticket = c.frontend.manager.Submit(c.request)
}

// statusOf returns the HTTP status for an error in the request packet.
func statusOf(err error) int {
	switch {
	case errors.Is(err, uwsgi.ErrBodyTooLong):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, uwsgi.ErrVariablesTooLong):
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusBadRequest
}

// End implements eventloop.Handler. A caller that closes its side before the answer cancels the
// request, unless the close marks the end of the body.
func (c *connection) End() bool {
	if c.bodyUntilClose && !c.answered {
		if !c.submitted {
			c.timer.Stop()
			c.submit()
		}
		return true
	}
	if !c.submitted && !c.answered {
		eventRequestIncomplete.Log()
	}
	return c.answered
}

// Closed implements eventloop.Handler.
func (c *connection) Closed(err error) {
	if errors.Is(err, eventloop.ErrSlowPeer) {
		eventSlowReader.Log(err)
	}
	c.timer.Stop()
	if c.uploadReader != 0 {
		c.bodyStreams = false
		c.endUpload()
	}
	delete(c.frontend.connections, c)
	c.frontend.uncountAddress(c)
	if stream := c.responseStream; stream != nil {
		c.responseStream = nil
		c.frontend.readers.RemoveReader(c.responseReader)
		stream.Cancel()
	}
	if c.submitted && !c.answered {
		c.answered = true
		c.frontend.manager.Abandon(c.ticket)
	}
}

// reject answers with the text of an error.
func (c *connection) reject(status int, err error) {
	eventBadRequest.Log(status, err)
	c.respond(&uwsgi.Response{
		Status: status,
		Fields: []httpmessage.Field{{Name: "Content-Type", Value: "text/plain"}},
		Body:   []byte(err.Error() + "\n"),
	})
}

// respond sends the answer and closes the connection. Any later answer is ignored.
func (c *connection) respond(r *uwsgi.Response) {
	if c.answered {
		return
	}
	c.answered = true
	c.timer.Stop()
	if c.bodyStreams {
		c.Detach()
	}
	c.Write(uwsgi.AppendResponse(nil, r, c.headOnly))
	c.CloseGracefully()
}

// Answer implements lifecycle.Responder.
func (c *connection) Answer(a lifecycle.Answer) {
	switch a.Status {
	case lifecycle.Served:
		if a.Result.Stream != nil {
			c.beginStream(a.Result)
			return
		}
		c.respond(&uwsgi.Response{
			Status: a.Result.Status,
			Fields: responseFields(a.Result.Fields),
			Body:   a.Result.Body,
		})
	case lifecycle.Rejected:
		c.respond(&uwsgi.Response{Status: http.StatusServiceUnavailable, Fields: retryAfterFields(a)})
	case lifecycle.Expired:
		c.respond(&uwsgi.Response{Status: http.StatusGatewayTimeout})
	case lifecycle.ResultLost:
		c.reject(http.StatusConflict, errResultLost)
	case lifecycle.Conflict:
		c.reject(http.StatusUnprocessableEntity, errors.New(a.Reason.String()))
	default:
		c.respond(&uwsgi.Response{Status: http.StatusBadGateway})
	}
}

// responseFields converts the header fields of a result.
func responseFields(fields []lifecycle.Field) []httpmessage.Field {
	out := make([]httpmessage.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, httpmessage.Field(f))
	}
	return out
}

// retryAfterFields returns the header fields that tell a rejected caller when to retry: Retry-After
// in seconds and X-Come-Back-Ms in milliseconds, both rounded up. There are none if the answer
// states no such time.
func retryAfterFields(a lifecycle.Answer) []httpmessage.Field {
	ms := a.RetryAfterMs()
	if ms == 0 {
		return nil
	}
	const msPerSecond = 1000
	seconds := (ms + msPerSecond - 1) / msPerSecond
	return []httpmessage.Field{
		{Name: "Retry-After", Value: strconv.FormatInt(seconds, 10)},
		{Name: "X-Come-Back-Ms", Value: strconv.FormatInt(ms, 10)},
	}
}
