package main

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"
)

const (
	progressInterval = 200 * time.Millisecond
	// finalRenderTime is the time that the last drawing of a progress bar needs.
	finalRenderTime = 250 * time.Millisecond
)

// progress shows a progress bar on a terminal. step counts one of the steps; finish removes it.
func (c *console) progress(what string, steps int) (step, finish func()) {
	if !c.terminal || steps < 2 {
		return func() {}, func() {}
	}
	w := progress.NewWriter()
	w.SetOutputWriter(c.stderr)
	w.SetUpdateFrequency(progressInterval)
	w.SetAutoStop(false)
	tracker := &progress.Tracker{Message: what, Total: int64(steps)}
	w.AppendTracker(tracker)
	go w.Render()
	return func() { tracker.Increment(1) }, func() {
		tracker.MarkAsDone()
		time.Sleep(finalRenderTime)
		w.Stop()
	}
}
