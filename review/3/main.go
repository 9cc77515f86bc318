// Command 3 tests that a process that has replaced an older one keeps the rules of a drain when its
// notice to leave comes while the older process still ends.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"ryepaddle-review/standin"
)

const (
	// noticeAfter is when the new process gets its notice to leave, after the SIGTERM to the old one.
	noticeAfter = 1000 * time.Millisecond
	// stopMs is the time from the notice to leave to SIGKILL, as in the deployment page's example.
	stopMs = 3200
	// grace is Rules.StopSendingWithinUs, and the 50 ms by which time limits are longer on sockets.
	grace = 1800*time.Millisecond + 50*time.Millisecond
	// stopOldAfter is when the platform kills the old process: the longest deadline, taken as 3 s where it
	// is longer, and 0.7 s.
	stopOldAfter = 3700 * time.Millisecond
	// lostShare is from which share of requests without a final answer on the rule is broken.
	lostShare = 0.003
	// interval is the time between two requests on one connection.
	interval = 200 * time.Millisecond
)

func plan(class string, _ []byte) standin.Plan {
	if class == "full-check" {
		return standin.Plan{Work: 600 * time.Millisecond}
	}
	return standin.Plan{Work: 200 * time.Millisecond}
}

func main() { standin.Main(run) }

func run(s *standin.Site, trouble bool) (int, error) {
	engineA, err := standin.NewEngine("A", s.Record, plan)
	if err != nil {
		return standin.NotRun, err
	}
	engineB, err := standin.NewEngine("B", s.Record, plan)
	if err != nil {
		return standin.NotRun, err
	}
	backend, err := standin.NewBackend(20 * time.Millisecond)
	if err != nil {
		return standin.NotRun, err
	}
	roster, err := standin.NewRoster()
	if err != nil {
		return standin.NotRun, err
	}
	tmpdir := s.Dir + "/tmp"
	if err := os.Mkdir(tmpdir, 0o700); err != nil {
		return standin.NotRun, err
	}
	config := standin.Config{
		Name: "n3", Listen: standin.FreeAddress(), Engine: engineA.Addr, Roster: roster, Backend: backend,
		Ops: standin.FreeAddress(), StopMs: stopMs, Classes: standin.Classes,
	}
	old, err := s.Start("A", config, tmpdir)
	if err != nil {
		return standin.NotRun, err
	}
	if err := old.AwaitReady(10 * time.Second); err != nil {
		return standin.NotRun, err
	}

	var tries standin.Tries
	var traffic sync.WaitGroup
	// keepBusy sends a full-check every interval as long as the connection lasts.
	keepBusy := func(c *standin.Conn) {
		traffic.Add(1)
		go func() {
			defer traffic.Done()
			for {
				t, err := c.Send("full-check", "", []byte("exercise 7"))
				if err != nil {
					return
				}
				tries.Add(t)
				time.Sleep(interval)
			}
		}()
	}
	open := func(name string, source int, at *standin.Engine) (*standin.Conn, bool, error) {
		c, err := standin.Dial(name, config.Listen, source, s.Record)
		if err != nil {
			return nil, false, err
		}
		t, err := c.Send("quick-check", "", []byte("exercise 1"))
		if err != nil {
			return nil, false, err
		}
		tries.Add(t)
		<-t.Done()
		return c, at.HasRun(t.ID), nil
	}
	toOld, ok, err := open("to-old", 0, engineA)
	if err != nil || !ok {
		return standin.NotRun, fmt.Errorf("no connection to the old process: %v", err)
	}
	keepBusy(toOld)
	next := config
	next.Engine, next.Ops = engineB.Addr, standin.FreeAddress()
	process, err := s.Start("B", next, tmpdir)
	if err != nil {
		return standin.NotRun, err
	}
	if err := process.AwaitReady(6 * time.Second); err != nil {
		return standin.NotRun, err
	}
	var toNew []*standin.Conn
	for i := 0; len(toNew) < 2; i++ {
		c, ok, err := open(fmt.Sprintf("to-new-%d", i), 1+len(toNew), engineB)
		if err != nil || i > 60 {
			return standin.NotRun, fmt.Errorf("no connection to the new process: %v", err)
		}
		if !ok {
			c.Close()
			continue
		}
		toNew = append(toNew, c)
		keepBusy(c)
	}
	old.Signal(syscall.SIGTERM)
	old.StopAfter(stopOldAfter)
	if trouble {
		time.Sleep(noticeAfter)
		if old.Ended() {
			return standin.NotRun, fmt.Errorf("the old process has ended before the notice")
		}
	} else {
		if !old.Wait(stopOldAfter + time.Second) {
			return standin.NotRun, fmt.Errorf("the old process does not end")
		}
		time.Sleep(noticeAfter)
	}
	notice := time.Now()
	process.Signal(syscall.SIGTERM)
	process.StopAfter(stopMs * time.Millisecond)
	if !process.Wait(stopMs*time.Millisecond + 2*time.Second) {
		return standin.NotRun, fmt.Errorf("the new process does not end")
	}
	stopped := time.Since(notice)
	for _, c := range toNew {
		c.Close()
	}
	old.Wait(stopOldAfter)
	traffic.Wait()
	time.Sleep(200 * time.Millisecond)

	// Requests that reached the machine after the grace, and were run all the same.
	late := 0
	for _, t := range tries.All() {
		after := time.UnixMilli(t.QueueStart).Sub(notice)
		if after > grace && engineB.HasRun(t.ID) {
			late++
			s.Record.Line("run after the grace: %s came %.3f s after the notice to leave", t.ID, after.Seconds())
		}
	}
	lost := tries.Lost()
	for _, t := range lost {
		s.Record.Line("lost: %s %s, written %.3f s after the notice and %.3f s before its connection ended", t.ID,
			t.Class, t.WrittenAt.Sub(notice).Seconds(), t.AnsweredAt.Sub(t.WrittenAt).Seconds())
	}
	s.Record.Line("tries: %v; the new process ended %.3f s after its notice", tries.Counts(), stopped.Seconds())
	share := float64(len(lost)) / float64(len(tries.All()))
	fmt.Printf("%d requests run that came over %.2f s after the notice; %d of %d requests lost\n", late, grace.Seconds(),
		len(lost), len(tries.All()))
	if late > 0 || share >= lostShare {
		return standin.Broken, nil
	}
	return standin.Held, nil
}
