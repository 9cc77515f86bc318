package uwsgi

import (
	"net/http"

	"ryepaddle/internal/lifecycle"
)

// beginUpload submits the request before its body, which is passed on as it arrives. length is the
// stated length of the body in bytes, or -1 if none is stated.
func (c *connection) beginUpload(length int64) {
	f := c.frontend
	c.bodyStreams = true
	c.request.Upload = c
	c.request.ContentLength = length
	f.lastReader++
	c.uploadReader = f.lastReader
	f.readers.AddReader(c.uploadReader, f.loop.Now())
	c.resetReadTimer()
	c.submit()
}

// resetReadTimer restarts the read timeout for the next part of the body. The timeout does not expire
// while reading is paused for a slow server.
func (c *connection) resetReadTimer() {
	c.timer.Stop()
	c.timer = c.frontend.loop.After(c.frontend.options.ReadTimeout, func() {
		switch {
		case !c.bodyStreams: // the body has ended
		case c.uploadPaused:
			c.resetReadTimer()
		case c.answered:
			c.Abort(errBodyTimeout)
		default:
			c.frontend.manager.Abandon(c.ticket)
			c.reject(http.StatusRequestTimeout, errBodyTimeout)
		}
	})
}

// readUpload reads a further part of the body and passes it on.
func (c *connection) readUpload(b []byte) (used int, err error) {
	for c.bodyStreams {
		data, n, done, err := c.framing.Next(b[used:], false)
		used += n
		if err != nil {
			return used, err
		}
		if n > 0 {
			c.resetReadTimer()
			c.passUpload(data)
		}
		if done {
			c.timer.Stop()
			c.bodyStreams = false
			if len(c.pendingUpload) == 0 && c.uploadConsumer != nil {
				c.endUpload()
			}
			return len(b), nil
		}
		if n == 0 {
			return used, nil
		}
	}
	return len(b), nil
}

// passUpload passes a part of the body to its consumer, or keeps it until a consumer is attached.
func (c *connection) passUpload(data []byte) {
	if c.uploadConsumer != nil {
		c.uploadConsumer.ConsumeBody(data)
		return
	}
	c.pendingUpload = append(c.pendingUpload, data...)
	c.SetBacklog(len(c.pendingUpload))
}

// Attach implements lifecycle.Upload.
func (c *connection) Attach(consumer lifecycle.UploadConsumer) {
	c.uploadConsumer = consumer
	pending := c.pendingUpload
	c.pendingUpload = nil
	c.SetBacklog(0)
	if len(pending) > 0 {
		consumer.ConsumeBody(pending)
	}
}

// SetBacklog implements lifecycle.Upload. Reading from the caller is paused while its server is
// slow.
func (c *connection) SetBacklog(n int) {
	c.uploadPaused = c.frontend.readers.SetQueued(c.uploadReader, n, c.frontend.loop.Now())
	c.SetPaused(c.uploadPaused)
}

// Detach implements lifecycle.Upload. The rest of the body is dropped.
func (c *connection) Detach() {
	c.endUpload()
	c.bodyStreams = false
}

// endUpload releases the resources of the body's stream.
func (c *connection) endUpload() {
	c.uploadConsumer = nil
	c.pendingUpload = nil
	c.frontend.readers.RemoveReader(c.uploadReader)
	c.uploadPaused = false
	c.SetPaused(false)
}
