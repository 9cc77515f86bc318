package engine

import (
	"net/http"
	"slices"
	"time"

	"ryepaddle/internal/lifecycle"
)

// pendingCommand is a command that the engine may not have read.
type pendingCommand struct {
	sequence    int64 // number of the command, ascending from 1
	requestID   string
	callsNeeded int // value of run.callsNeeded when the command was sent
	line        []byte
	written     bool // it was written to a connection, so that the engine may have read it
}

// run is an attempt that was sent to the engine.
type run struct {
	attempt     *lifecycle.Attempt
	callsNeeded int // number of NEED notices that were received for it
}

// Run implements lifecycle.Runner.
func (link *Link) Run(a *lifecycle.Attempt) {
	if link.runs[a.Request.ID] != nil { // the engine identifies runs by their request IDs
		link.loop.Post(func() { link.sink.AttemptEnded(a, lifecycle.Faulted, nil) })
		return
	}
	link.runs[a.Request.ID] = &run{attempt: a}
	link.send(runCommand{
		Type:      typeRun,
		RequestID: a.Request.ID,
		Route:     a.Class,
		Body:      notNil(a.Request.Body),
	}, 0)
}

// Abandon implements lifecycle.Runner. A run that the engine may have begun cannot be stopped; the engine ends it at
// its next call. One whose command waits for a connection ends at once, and the command is never sent.
func (link *Link) Abandon(a *lifecycle.Attempt) {
	r := link.runs[a.Request.ID]
	if r == nil || r.attempt != a {
		return
	}
	isCommand := func(c pendingCommand) bool { return c.requestID == a.Request.ID }
	i := slices.IndexFunc(link.pending, isCommand)
	if i < 0 || link.pending[i].written {
		return
	}
	link.pending = slices.Delete(link.pending, i, i+1)
	delete(link.runs, a.Request.ID)
	link.loop.Post(func() { link.sink.AttemptEnded(a, lifecycle.NotStarted, nil) })
}

// Resume implements lifecycle.Resumer.
func (link *Link) Resume(a *lifecycle.Attempt, reply []byte) {
	if r := link.runs[a.Request.ID]; r != nil {
		link.send(runCommand{Type: typeFeed, RequestID: a.Request.ID, Body: notNil(reply)}, r.callsNeeded)
	}
}

// endLostRuns ends the runs whose end was not reported by the given time after their deadline, for
// example since notices are missing.
func (link *Link) endLostRuns(after time.Duration) {
	for id, r := range link.runs {
		if link.loop.Now() > r.attempt.Deadline+after {
			eventRunLost.Log(id)
			delete(link.runs, id)
			link.sink.AttemptEnded(r.attempt, lifecycle.Faulted, nil)
		}
	}
}

// runEnded reports the end of a run.
func (link *Link) runEnded(m *notice) {
	r := link.runs[m.RequestID]
	if r == nil {
		return
	}
	delete(link.runs, m.RequestID)
	outcome := outcomeOf(m.Status)
	var result *lifecycle.Result
	if outcome == lifecycle.Succeeded {
		result = &lifecycle.Result{Status: http.StatusOK, Body: m.Body}
	}
	link.sink.AttemptEnded(r.attempt, outcome, result)
}

// commandRejected handles NO: the engine did not carry out a command, whose type is in m.Status.
func (link *Link) commandRejected(m *notice) {
	eventCommandRejected.Log(m.Status, m.RequestID)
	if r := link.runs[m.RequestID]; r != nil && m.Status == typeRun {
		delete(link.runs, m.RequestID)
		link.sink.AttemptEnded(r.attempt, lifecycle.UnknownRequest, nil)
	}
}

// send sends a command, now or once the link is live. callsNeeded is the current value of its run.
func (link *Link) send(c runCommand, callsNeeded int) {
	line := encode(c)
	link.lastSequence++
	link.pending = append(link.pending, pendingCommand{
		sequence:    link.lastSequence,
		requestID:   c.RequestID,
		callsNeeded: callsNeeded,
		line:        line,
		written:     link.state == stateLive,
	})
	if link.state == stateLive {
		link.current.conn.Write(line)
	}
}

// resendPending resends the commands that the engine may not have read on the last connection. All
// notices that the engine kept have been handled, so if a run has reported anything since a command
// for it was sent, the engine has read that command.
func (link *Link) resendPending() {
	unread := link.pending[:0]
	for _, c := range link.pending {
		if r := link.runs[c.requestID]; r != nil && r.callsNeeded == c.callsNeeded {
			c.written = true
			unread = append(unread, c)
			link.current.conn.Write(c.line)
		}
	}
	link.pending = unread
}
