package platform

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"strconv"

	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/fastcgi"
)

// exchange is one request on a connection, from its begin to its end.
type exchange struct {
	conn           *connection
	id             uint16
	keepConnection bool
	params         []byte
	body           []byte
	paramsComplete bool // the parameters are
	submitted      bool // it was handed to the core
	beganAt        int64
	ticket         lifecycle.Ticket
}

// releaseIncomplete gives back the parts of a request.
func (x *exchange) release() {
	n := len(x.params) + len(x.body)
	x.params, x.body = nil, nil
	x.conn.incompleteBytes -= n
	x.conn.frontend.incompleteBytes -= n
}

// appendPart takes a further part of a request.
func (x *exchange) appendPart(to *[]byte, part []byte) {
	*to = append(*to, part...)
	x.conn.incompleteBytes += len(part)
	x.conn.frontend.countIncomplete(len(part))
}

// abort ends a request for which nobody waits. What runs goes on; the core keeps its key.
func (x *exchange) abort() {
	if x.submitted {
		x.conn.frontend.manager.Withdraw(x.ticket)
	}
	x.finish(nil, fastcgi.RequestComplete)
}

// finish writes the last records of a request and forgets it.
func (x *exchange) finish(out []byte, protocolStatus uint8) {
	c := x.conn
	if c.open[x.id] != x {
		return
	}
	x.release()
	delete(c.open, x.id)
	c.usedAt = c.frontend.loop.Now().Microseconds()
	c.Write(fastcgi.AppendEnd(out, x.id, 0, protocolStatus))
	if !x.keepConnection {
		c.advanceTo(stateFinishing)
	}
	c.closeIfDone()
}

// respond writes a whole answer. Fields come in pairs of name and value.
func (x *exchange) respond(status int, body []byte, fields ...string) {
	out := make([]byte, 0, 256+len(body))
	out = append(out, "Status: "+strconv.Itoa(status)+"\r\n"...)
	if p := x.conn.frontend.advertisedValue; p != "" {
		fields = append(fields, "X-Pressure", p)
	}
	for i := 0; i < len(fields); i += 2 {
		out = append(out, fields[i]+": "+fields[i+1]+"\r\n"...)
	}
	out = append(append(out, "\r\n"...), body...)
	recs := fastcgi.Append(make([]byte, 0, len(out)+64), fastcgi.Stdout, x.id, out)
	x.finish(fastcgi.Append(recs, fastcgi.Stdout, x.id, nil), fastcgi.RequestComplete)
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
		var fields []string
		if a.RetryAfter.Microseconds() > 0 {
			fields = append(
				fields,
				"X-Come-Back-Ms",
				strconv.FormatInt((a.RetryAfter.Microseconds()+999)/1000, 10),
			)
		}
		if a.DoNotRetry {
			fields = append(fields, "X-No-Failover", "1")
		}
		x.respond(503, nil, fields...)
	case lifecycle.Expired:
		x.respond(504, nil)
	case lifecycle.Conflict:
		x.reject(422, errors.New(a.Reason.String()))
	case lifecycle.ResultLost:
		x.respond(409, []byte("it ran, and its result was not kept\n"), "Content-Type", "text/plain")
	case lifecycle.NotFound:
		x.reject(404, errors.New("nobody here knows this request"))
	default:
		x.respond(500, nil)
	}
}

// submit takes over a request whose last byte has come.
func (x *exchange) submit() {
	x.submitted, x.conn.hasRequested = true, true
	f := x.conn.frontend
	p := map[string]string{}
	var meta []lifecycle.Field
	var twice error
	err := fastcgi.ReadPairs(x.params, func(name, value string) {
		// The core goes by one value, and a server behind might go by the other.
		if old, known := p[name]; known {
			if old != value {
				twice = fmt.Errorf("%s is given twice, as %q and %q", name, old, value)
			}
			return
		}
		p[name] = value
		meta = append(meta, lifecycle.Field{Name: name, Value: value})
	})
	if err = cmp.Or(err, twice); err != nil {
		x.reject(400, err)
		return
	}
	body := x.body
	x.release()
	path := p["SCRIPT_NAME"]
	if path == healthPath {
		x.answerHealthCheck(p["QUERY_STRING"])
		return
	}
	q, err := f.parseRequest(p, path)
	switch {
	case errors.Is(
		err,
		errRemovedClass,
	): // its balancer has not heard of it yet, and its other requests are as good as ever
		x.respond(404, []byte(err.Error()+"\n"), "Content-Type", "text/plain")
	case err != nil:
		x.reject(400, err)
	case p["CONTENT_LENGTH"] != "" && p["CONTENT_LENGTH"] != strconv.Itoa(len(body)):
		x.reject(400, fmt.Errorf("CONTENT_LENGTH %q, and a body of %d bytes", p["CONTENT_LENGTH"], len(body)))
	default:
		q.Body, q.Metadata, q.Responder = body, meta, x
		x.ticket = f.manager.Submit(q)
	}
}

// reject answers what can't be taken for a request of a balancer. Its connection takes no more: the
// next would be as bad, and a peer that sends the same again as soon as it is answered would keep
// the loop busy with nothing else.
func (x *exchange) reject(status int, err error) {
	x.conn.advanceTo(stateFinishing)
	eventBadRequest.Log(status, err)
	x.respond(status, []byte(err.Error()+"\n"), "Content-Type", "text/plain")
}

func (x *exchange) answerHealthCheck(query string) {
	f := x.conn.frontend
	answer := func(good bool) {
		if good {
			x.respond(200, nil)
		} else {
			x.respond(503, nil)
		}
	}
	v, _ := url.ParseQuery(query) // what can't be read sets nothing
	if f.healthStored || f.healthChecker == nil || v.Get("thorough") != "1" {
		answer(f.healthy)
		return
	}
	f.healthChecker.Check(answer)
}
