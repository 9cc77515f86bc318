package main

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"
)

const (
	progressInterval = 200 * time.Millisecond
	// finalRenderTime is how long to wait for the last rendering of the bar: more than progressInterval.
	finalRenderTime = 250 * time.Millisecond
)

// progress shows a progress bar if stderr is a terminal and there is more than one step. step counts a step;
// finish completes the bar and stops rendering it.
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
