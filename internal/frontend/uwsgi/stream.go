package uwsgi

import (
	"errors"
	"time"

	"ryepaddle/internal/flowcontrol"
	"ryepaddle/internal/lifecycle"
	"ryepaddle/internal/protocol/httpmessage"
	"ryepaddle/internal/protocol/uwsgi"
)

// patient gives the caller its time to send more; while it waits for the server it need not.
func (c *conn) patient() {
	c.timer.Stop()
	c.timer = c.front.loop.After(time.Duration(c.front.opt.ReadTimeout)*time.Microsecond, func() {
		switch {
		case !c.rest:
		case c.waits:
			c.patient()
		case c.answered:
			c.Abort(errors.New("the rest of the body does not come"))
		default:
			c.front.core.Abandon(c.ticket)
			c.reject(408, errors.New("the rest of the body does not come"))
		}
	})
}

// feed takes more of a body that streams.
func (c *conn) feed(b []byte) (used int, err error) {
	for c.rest {
		data, n, done, err := c.framing.Next(b[used:], false)
		used += n
		if err != nil {
			return used, err
		}
		if n > 0 {
			c.patient()
			c.give(data)
		}
		if done {
			c.timer.Stop()
			if c.rest = false; len(c.pending) == 0 && c.upload != nil {
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

func (c *conn) give(data []byte) {
	if c.upload != nil {
		c.upload.ConsumeBody(data)
		return
	}
	c.pending = append(c.pending, data...)
	c.SetBacklog(len(c.pending))
}

// Attach implements lifecycle.Upload.
func (c *conn) Attach(t lifecycle.UploadConsumer) {
	c.upload = t
	pending := c.pending
	c.pending = nil
	c.SetBacklog(0)
	if len(pending) > 0 {
		t.ConsumeBody(pending)
	}
}

// SetBacklog implements lifecycle.Upload: the caller waits for a slow server, and nobody else does.
func (c *conn) SetBacklog(n int) {
	c.waits = c.front.flows.SetQueued(c.uploadID, n, c.front.loop.Now())
	c.Pause(c.waits)
}

// Detach implements lifecycle.Upload. What still comes is thrown away.
func (c *conn) Detach() {
	c.endUpload()
	c.rest = false
}

func (c *conn) endUpload() {
	c.upload, c.pending = nil, nil
	c.front.flows.RemoveReader(c.uploadID)
	c.waits = false
	c.Pause(false)
}

// begun sends the first part of an answer that is still coming. From here on it can only go on or
// be cut.
func (c *conn) begun(res *lifecycle.Result) {
	f := c.front
	c.answered = true
	f.ids++
	c.id, c.stream = f.ids, res.Stream
	f.flows.AddReader(c.id, f.loop.Now())
	fields := make([]httpmessage.Field, 0, len(res.Fields))
	for _, x := range res.Fields {
		fields = append(fields, httpmessage.Field(x))
	}
	c.OnFlushed(c.look)
	c.Write(uwsgi.AppendHead(nil, res.Status, fields, res.ContentLength))
	res.Stream.Attach(c)
	c.Consume(res.Body)
}

// Consume implements lifecycle.StreamConsumer.
func (c *conn) Consume(part []byte) {
	c.Write(part)
	c.Flush()
	if c.IsClosed() {
		return
	}
	c.look()
	f := c.front
	for id, over := f.flows.Victim(); over; id, over = f.flows.Victim() {
		f.cut(id, "all readers together leave too much untaken")
	}
}

// look sees how much waits for the reader, and has the server wait for it.
func (c *conn) look() {
	if c.stream != nil && !c.IsClosed() {
		c.stream.Pause(c.front.flows.SetQueued(c.id, c.QueuedBytes(), c.front.loop.Now()))
	}
}

// Completed implements lifecycle.StreamConsumer.
func (c *conn) Completed() {
	c.detach()
	c.CloseGracefully()
}

// Truncated implements lifecycle.StreamConsumer. The reader sees a reset: an ordinary end would make a response of no
// stated length look whole.
func (c *conn) Truncated() {
	c.detach()
	c.Abort(errors.New("the response was cut"))
}

func (c *conn) detach() {
	c.stream = nil
	c.OnFlushed(nil)
	c.front.flows.RemoveReader(c.id)
}

// cut ends the stream of one reader, or the body that one server does not take.
func (f *Frontend) cut(id flowcontrol.ReaderID, why string) {
	for c := range f.conns {
		if c.uploadID == id && !c.answered {
			evBodyCut.Log(why)
			f.core.Abandon(c.ticket)
			c.reject(502, errors.New("the server does not take the body"))
			return
		}
		if c.stream != nil && c.id == id {
			evResponseCut.Log(c.QueuedBytes(), why)
			s := c.stream
			c.Truncated()
			s.Cancel()
			return
		}
	}
	f.flows.RemoveReader(id) // it is gone already
}

// sweep cuts off readers that take nothing.
func (f *Frontend) sweep() {
	for _, id := range f.flows.Stalled(f.loop.Now(), takeWithin) {
		f.cut(id, "its reader takes nothing")
	}
}
