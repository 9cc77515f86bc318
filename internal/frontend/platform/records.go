package platform

import (
	"errors"
	"net/http"
	"strconv"

	"ryepaddle/internal/protocol/fastcgi"
)

// Errors of records.
var (
	errBegunTwice    = errors.New("a BeginRequest for a request that is open already")
	errRecordTooLong = errors.New("a record over its limit")
	errParamsTooLong = errors.New("parameters over their limit")
	errBodyTooLong   = errors.New("body over its limit")
)

// handleRecord handles one record. A malformed record ends its own request at most: others on the connection
// may belong to other clients of the balancer, so those that have begun are read and answered.
func (c *connection) handleRecord(record fastcgi.Record) {
	if record.ID == 0 {
		c.handleManagement(record)
		return
	}
	x := c.open[record.ID]
	switch {
	case record.Type == fastcgi.BeginRequest && x == nil:
		c.beginRequest(record)
	case record.Type == fastcgi.BeginRequest:
		c.rejectSecondBegin(x)
	case x == nil: // the request has ended
	case record.Type == fastcgi.AbortRequest:
		x.abort()
	case record.Type == fastcgi.Params && !x.paramsComplete:
		x.addParams(record.Content)
	case record.Type == fastcgi.Stdin && x.paramsComplete && !x.submitted:
		x.addBody(record.Content)
	}
}

// handleManagement answers a record that concerns the connection. Unknown types get an UnknownType
// record.
func (c *connection) handleManagement(record fastcgi.Record) {
	if record.Type != fastcgi.GetValues {
		content := []byte{record.Type, 0, 0, 0, 0, 0, 0, 0} // the type, and 7 reserved bytes
		c.Write(fastcgi.Append(nil, fastcgi.UnknownType, 0, content))
		return
	}
	var values []byte
	err := fastcgi.ReadPairs(record.Content, func(name, _ string) {
		switch name {
		case "FCGI_MAX_CONNS", "FCGI_MAX_REQS":
			values = fastcgi.AppendPair(values, name, strconv.Itoa(maxRequestsPerConnection))
		case "FCGI_MPXS_CONNS":
			values = fastcgi.AppendPair(values, name, "1")
		}
	})
	c.Write(fastcgi.Append(nil, fastcgi.GetValuesResult, 0, values))
	if err != nil {
		c.countMalformed(err)
	}
}

// beginRequest opens a request, or ends it at once if it cannot be accepted.
func (c *connection) beginRequest(record fastcgi.Record) {
	body, err := fastcgi.ReadBegin(record.Content)
	switch {
	case err != nil:
		c.countMalformed(err)
		c.endRefused(record.ID, fastcgi.Overloaded)
	case body.Role != fastcgi.Responder:
		c.advanceTo(stateFinishing)
		c.endRefused(record.ID, fastcgi.UnknownRole)
	case c.state != stateAccepting || len(c.open) >= maxRequestsPerConnection:
		// The request never ran and may be sent again on another connection.
		c.endRefused(record.ID, fastcgi.Overloaded)
	default:
		c.open[record.ID] = &exchange{
			conn:           c,
			id:             record.ID,
			keepConnection: body.KeepConnection,
			beganAt:        c.frontend.loop.Now(),
		}
	}
}

// endRefused ends a request that was not opened. It never ran.
func (c *connection) endRefused(id uint16, protocolStatus uint8) {
	c.Write(fastcgi.AppendEnd(nil, id, 0, protocolStatus))
}

// countMalformed logs a malformed record. The connection accepts no further requests.
func (c *connection) countMalformed(err error) {
	eventBadRecord.Log(err)
	c.advanceTo(stateFinishing)
}

// rejectSecondBegin handles a BeginRequest for a request that is open. The parts of an incomplete request could
// belong to either of the two, so it is rejected. One that is complete is answered; the second one cannot be.
func (c *connection) rejectSecondBegin(x *exchange) {
	c.countMalformed(errBegunTwice)
	if !x.submitted {
		x.submitted = true
		x.finish(nil, fastcgi.Overloaded)
	}
}

// rejectRecord rejects the incomplete request to which a record over its limit belongs. The record is skipped.
func (c *connection) rejectRecord(record *fastcgi.RecordTooLongError) {
	c.countMalformed(record)
	x := c.open[record.ID]
	switch {
	case x == nil || x.submitted:
	case record.Type == fastcgi.Params && !x.paramsComplete:
		x.rejectIncomplete(http.StatusRequestHeaderFieldsTooLarge, errParamsTooLong)
	case record.Type == fastcgi.Stdin && x.paramsComplete:
		x.rejectIncomplete(http.StatusRequestEntityTooLarge, errBodyTooLong)
	default:
		x.rejectIncomplete(http.StatusBadRequest, errRecordTooLong)
	}
}
