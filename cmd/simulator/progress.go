package main

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"
)

// progress shows how far long work has come, if somebody is looking. tell counts one step; finish
// ends it.
func (l *lab) progress(what string, steps int) (tell, finish func()) {
	if !l.screen || steps < 2 {
		return func() {}, func() {}
	}
	w := progress.NewWriter()
	w.SetOutputWriter(l.err)
	w.SetUpdateFrequency(200 * time.Millisecond)
	w.SetAutoStop(false)
	t := &progress.Tracker{Message: what, Total: int64(steps)}
	w.AppendTracker(t)
	go w.Render()
	return func() { t.Increment(1) }, func() {
		t.MarkAsDone()
		time.Sleep(250 * time.Millisecond) // or its last line is not drawn
		w.Stop()
	}
}
