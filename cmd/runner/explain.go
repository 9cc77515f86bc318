package main

import (
	"fmt"
	"strings"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
)

type explainCmd struct {
	ID string `arg:"" optional:"" help:"${flag_id}"`
	controlFlags
	Key       string    `help:"Requests with this idempotency key."`
	Class     string    `help:"Requests of this class."`
	End       string    `help:"${flag_end}"`
	Cause     string    `help:"Requests with this cause, in the words that explain prints."`
	NotServed bool      `help:"Requests that were not served."`
	From      time.Time `format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"${flag_from}"`
	To        time.Time `format:"2006-01-02T15:04:05Z07:00" placeholder:"TIME" help:"Requests answered by this time."`
	Limit     int       `name:"most" default:"20" help:"Show at most this many requests, the newest ones."`
}

// Run prints the outcomes of requests.
func (c *explainCmd) Run(s *streams) error {
	var answer app.ExplainAnswer
	if err := c.ask(c.request(), &answer); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, answer)
	}
	for i := range answer.Entries {
		fmt.Fprintln(s.out, describe(&answer.Entries[i]))
	}
	_, err := fmt.Fprintf(s.out, "%d requests\n", len(answer.Entries))
	return err
}

// request returns the command for the control socket.
func (c *explainCmd) request() control.Request {
	request := control.Request{
		Command:   app.CommandExplain,
		ID:        c.ID,
		Key:       c.Key,
		Class:     c.Class,
		Kind:      c.End,
		Cause:     c.Cause,
		NotServed: c.NotServed,
		Limit:     c.Limit,
	}
	if !c.From.IsZero() {
		request.FromMs = c.From.UnixMilli()
	}
	if !c.To.IsZero() {
		request.ToMs = c.To.UnixMilli()
	}
	return request
}

// describeStorage returns the printed name of the place where a key was stored before its request was answered.
func describeStorage(keyStoredOn string) string {
	switch keyStoredOn {
	case app.KeyStoredOnPeers:
		return "copies"
	case app.KeyStoredOnDisk:
		return "the disk"
	}
	return ""
}

// describe returns the outcome of a request as text of a few lines.
func describe(e *app.ExplainedRequest) string {
	var b strings.Builder
	arrived := time.UnixMilli(e.ArrivedMs).Format("15:04:05.000")
	fmt.Fprintf(&b, "%s %s of %s, caller %d, came %s: %s after %.1f ms",
		e.ID, e.Class, e.Tenant, e.Caller, arrived, e.Status, e.TookMs)
	describeCause(&b, e)
	if e.Key != "" {
		fmt.Fprintf(&b, "\n  key %s", e.Key)
		if e.OriginalID != "" {
			fmt.Fprintf(&b, ", a repeat of %s", e.OriginalID)
		}
	}
	describeAttempts(&b, e)
	if e.Represents > 1 {
		fmt.Fprintf(&b, "\n  one of %d like it", e.Represents)
	}
	return b.String()
}

// describeCause appends why a request was not served, and the delay after which its caller was told to retry.
func describeCause(b *strings.Builder, e *app.ExplainedRequest) {
	if e.Cause != "" {
		fmt.Fprintf(b, ", since: %s", e.Cause)
		if e.Value != 0 || e.Limit != 0 {
			fmt.Fprintf(b, " (%.3g, and the limit was %.3g)", e.Value, e.Limit)
		}
	}
	if e.RetryAfterMs > 0 {
		fmt.Fprintf(b, "; told to come back after %d ms", e.RetryAfterMs)
	}
}

// describeAttempts appends the attempts of a request, and how long it waited until its key was stored.
func describeAttempts(b *strings.Builder, e *app.ExplainedRequest) {
	if len(e.Attempts) > 0 {
		fmt.Fprintf(b, "\n  began after %.1f ms", e.WaitedMs)
	}
	for _, attempt := range e.Attempts {
		server := attempt.Server
		if server == "" {
			server = "the engine"
		}
		fmt.Fprintf(b, "; on %s: %s after %.1f ms", server, attempt.Outcome, attempt.Ms)
	}
	if e.KeyStoredOn != "" {
		fmt.Fprintf(b, "; waited for %s %.1f ms", describeStorage(e.KeyStoredOn), e.KeyWaitMs)
	}
	if e.MoreAttempts > 0 {
		fmt.Fprintf(b, "; and %d tries more", e.MoreAttempts)
	}
}
