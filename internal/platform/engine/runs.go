package engine

import (
	"net/http"
	"ryepaddle/internal/lifecycle"
	"time"
)

// pendingCommand is a command that the engine may not have read.
type pendingCommand struct {
	sequence    int64 // number of the command
	requestID   string
	callsNeeded int // calls that the run had needed when the command was given
	line        []byte
}

// run is an attempt that was sent to the engine.
type run struct {
	attempt     *lifecycle.Attempt
	callsNeeded int // calls that it has needed so far
}

// Run implements lifecycle.Runner.
func (k *Link) Run(a *lifecycle.Attempt) {
	if k.runs[a.Request.ID] != nil { // the engine would confuse the two
		k.loop.Post(func() { k.sink.AttemptEnded(a, lifecycle.Faulted, nil) })
		return
	}
	k.runs[a.Request.ID] = &run{attempt: a}
	k.send(runCommand{
		Type:      typeRun,
		RequestID: a.Request.ID,
		Route:     a.Class,
		Body:      notNil(a.Request.Body),
	}, 0)
}

// Abandon implements lifecycle.Runner. A run cannot be stopped; the engine ends it at its next call.
func (k *Link) Abandon(*lifecycle.Attempt) {}

// Resume implements lifecycle.Resumer.
func (k *Link) Resume(a *lifecycle.Attempt, reply []byte) {
	if r := k.runs[a.Request.ID]; r != nil {
		k.send(runCommand{Type: typeFeed, RequestID: a.Request.ID, Body: notNil(reply)}, r.callsNeeded)
	}
}

// endLostRuns ends runs whose end was not reported within a time after their deadline, as when notices
// are missing.
func (k *Link) endLostRuns(after time.Duration) {
	for id, r := range k.runs {
		if k.loop.Now() > r.attempt.Deadline+after {
			eventRunLost.Log(id)
			delete(k.runs, id)
			k.sink.AttemptEnded(r.attempt, lifecycle.Faulted, nil)
		}
	}
}

// runEnded reports the end of a run.
func (k *Link) runEnded(m *notice) {
	r := k.runs[m.RequestID]
	if r == nil {
		return
	}
	delete(k.runs, m.RequestID)
	outcome := outcomeOf(m.Status)
	var result *lifecycle.Result
	if outcome == lifecycle.Succeeded {
		result = &lifecycle.Result{Status: http.StatusOK, Body: m.Body}
	}
	k.sink.AttemptEnded(r.attempt, outcome, result)
}

// commandRejected handles NO: the engine did not carry out a command.
func (k *Link) commandRejected(m *notice) {
	eventCommandRejected.Log(m.Status, m.RequestID)
	if r := k.runs[m.RequestID]; r != nil && m.Status == typeRun {
		delete(k.runs, m.RequestID)
		k.sink.AttemptEnded(r.attempt, lifecycle.UnknownRequest, nil)
	}
}

// send sends a command, now or when the link is live. callsNeeded is the count of its run.
func (k *Link) send(c runCommand, callsNeeded int) {
	line := encode(c)
	k.lastSequence++
	k.pending = append(k.pending, pendingCommand{
		sequence:    k.lastSequence,
		requestID:   c.RequestID,
		callsNeeded: callsNeeded,
		line:        line,
	})
	if k.state == stateLive {
		k.current.conn.Write(line)
	}
}

// resendPending sends the commands again that the engine may not have read on the last connection. All
// its notices were handled, so that a command of a run that has reported anything since was read.
func (k *Link) resendPending() {
	unread := k.pending[:0]
	for _, c := range k.pending {
		if r := k.runs[c.requestID]; r != nil && r.callsNeeded == c.callsNeeded {
			unread = append(unread, c)
			k.current.conn.Write(c.line)
		}
	}
	k.pending = unread
}
