package uwsgi

import (
	"net/http"

	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/uwsgi"
)

// Causes of truncated streams, in log events.
const (
	causeTotal   = "too many bytes are queued for all readers together"
	causeStalled = "its reader has stopped reading"
)

// beginStream sends the head and the first part of a response that streams. From then on the
// response can only be completed or truncated.
func (c *connection) beginStream(result *lifecycle.Result) {
	f := c.frontend
	c.answered = true
	f.lastReader++
	c.responseReader = f.lastReader
	c.responseStream = result.Stream
	f.readers.AddReader(c.responseReader, f.loop.Now())
	c.OnFlushed(c.updateQueued)
	c.Write(uwsgi.AppendHead(nil, result.Status, responseFields(result.Fields), result.ContentLength))
	result.Stream.Attach(c)
	c.Consume(result.Body)
}

// Consume implements lifecycle.StreamConsumer.
func (c *connection) Consume(part []byte) {
	c.Write(part)
	c.Flush()
	if c.IsClosed() {
		return
	}
	c.updateQueued()
	f := c.frontend
	for id, over := f.readers.Victim(); over; id, over = f.readers.Victim() {
		f.truncate(id, causeTotal)
	}
}

// updateQueued pauses the server while too many bytes are queued for the reader.
func (c *connection) updateQueued() {
	if c.responseStream == nil || c.IsClosed() {
		return
	}
	f := c.frontend
	c.responseStream.SetPaused(f.readers.SetQueued(c.responseReader, c.QueuedBytes(), f.loop.Now()))
}

// Completed implements lifecycle.StreamConsumer.
func (c *connection) Completed() {
	c.endResponseStream()
	c.CloseGracefully()
}

// Truncated implements lifecycle.StreamConsumer. The connection is reset, since a response without a
// stated length would look complete after an orderly close.
func (c *connection) Truncated() {
	c.endResponseStream()
	c.Abort(errTruncated)
}

// endResponseStream releases the resources of the response stream.
func (c *connection) endResponseStream() {
	c.responseStream = nil
	c.OnFlushed(nil)
	c.frontend.readers.RemoveReader(c.responseReader)
}

// truncate ends the stream of a reader: the response to a caller that does not read it, or the request
// whose body its server does not read.
func (f *Frontend) truncate(id flowcontrol.ReaderID, cause string) {
	for c := range f.connections {
		if c.uploadReader == id && !c.answered {
			eventBodyTruncated.Log(cause)
			f.manager.Abandon(c.ticket)
			c.reject(http.StatusBadGateway, errServerStalled)
			return
		}
		if c.responseStream != nil && c.responseReader == id {
			eventResponseTruncated.Log(c.QueuedBytes(), cause)
			stream := c.responseStream
			c.Truncated()
			stream.Cancel()
			return
		}
	}
	f.readers.RemoveReader(id) // its connection was closed
}

// sweep truncates the streams of readers that have read nothing for readerTimeout.
func (f *Frontend) sweep() {
	for _, id := range f.readers.Stalled(f.loop.Now(), readerTimeout) {
		f.truncate(id, causeStalled)
	}
}
