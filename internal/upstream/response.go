package upstream

import (
	"errors"
	"io"
	"strings"

	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// minErrorStatus is the lowest status that counts as an error of the server.
const minErrorStatus = 500

// read parses the received bytes of the response, and returns how many of them it has consumed. isEnd
// says that the server has closed its side, so that no more bytes follow.
func (x *exchange) read(b []byte, isEnd bool) (used int, err error) {
	for x.isOpen() {
		event, n, err := x.reader.Next(b[used:], isEnd)
		used += n
		switch {
		case err != nil:
			return used, err
		case event.Head != nil:
			if event.Head.Status >= minErrorStatus {
				x.endWithError(event.Head.Status)
				return len(b), nil
			}
			x.result = x.resultOf(event.Head)
			continue
		case len(event.Data) > 0:
			if err := x.takeBody(event.Data); err != nil {
				return used, err
			}
		}
		switch {
		case event.Done:
			x.complete()
		case n == 0:
			return used, nil
		}
	}
	return len(b), nil // bytes after the end of the response are ignored
}

func (x *exchange) endWithError(status int) {
	evErrorResponse.Log(x.group.name, x.server.Name, x.attempt.Request.ID, status)
	x.end(lifecycle.Faulted, nil)
}

// resultOf returns the result that the caller gets for the head of a response, without hop-by-hop
// fields.
func (x *exchange) resultOf(head *httpmessage.Head) *lifecycle.Result {
	result := &lifecycle.Result{Status: head.Status, ContentLength: int64(head.Length)}
	for _, f := range head.Fields {
		// The frontend sets Content-Length itself, except in the response to a HEAD request.
		isReplaced := !x.isHead && strings.EqualFold(f.Name, "Content-Length")
		if !uwsgi.IsHopByHop(f.Name) && !isReplaced {
			result.Fields = append(result.Fields, lifecycle.Field(f))
		}
	}
	return result
}

// takeBody buffers, caches or forwards a part of the body.
func (x *exchange) takeBody(data []byte) error {
	step := x.flow.Add(len(data))
	if step == flowcontrol.Reject {
		return uwsgi.ErrBodyTooLong
	}
	if !x.isStreaming || x.flow.Caches() {
		x.body = append(x.body, data...)
	}
	switch {
	case step == flowcontrol.StartStreaming:
		x.startStreaming()
	case step == flowcontrol.Forward && x.consumer != nil:
		x.consumer.Consume(data)
	}
	if x.isStreaming && !x.flow.Caches() {
		x.body = nil
		if x.consumer == nil && !x.attempt.Idempotent { // the request ran, and nobody needs the rest
			x.end(lifecycle.Succeeded, nil)
		}
	}
	return nil
}

func (x *exchange) startStreaming() {
	x.isStreaming = true
	result := *x.result
	result.Body = x.body
	result.Stream = x
	hasReader := x.group.sink.ResponseStarted(x.attempt, &result)
	if !hasReader && x.attempt.Idempotent {
		x.end(lifecycle.Cancelled, nil)
	}
}

// complete ends the exchange after a complete response. The result of a streamed response is reported
// only if it is to be cached.
func (x *exchange) complete() {
	if x.isStreaming && !x.flow.Caches() {
		x.end(lifecycle.Succeeded, nil)
		return
	}
	x.result.Body = x.body
	x.end(lifecycle.Succeeded, x.result)
}

// Attach implements lifecycle.Stream.
func (x *exchange) Attach(consumer lifecycle.StreamConsumer) { x.consumer = consumer }

// SetPaused implements lifecycle.Stream: while the reader is slow, nothing is read from the server.
func (x *exchange) SetPaused(paused bool) { x.connection.conn.SetPaused(paused) }

// Cancel implements lifecycle.Stream. The response to a request with side effects is read to its
// end if it is to be cached.
func (x *exchange) Cancel() {
	x.consumer = nil
	if !x.attempt.Idempotent && x.flow.Caches() {
		x.connection.conn.SetPaused(false)
		return
	}
	outcome := lifecycle.Cancelled
	if !x.attempt.Idempotent { // the request ran, even if its response is not read to the end
		outcome = lifecycle.Succeeded
	}
	x.group.loop.Post(func() { x.end(outcome, nil) })
}

// readEnd parses the remaining bytes of the response after the server has closed its side. It is an
// error if the response is not complete then.
func (x *exchange) readEnd() {
	_, err := x.read(x.connection.conn.Buffered(), true)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		x.fail(errTruncated)
	case err != nil:
		x.fail(err)
	default:
		x.fail(errClosed) // no effect after a complete response
	}
}
