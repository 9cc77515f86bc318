package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

func init() { cases["7"] = windowAcrossReload }

// Figures of the case about the window of a class that is dropped and added again.
const (
	windowBefore = 8 * time.Second // as at the second site
	windowAfter  = 13_020 * time.Millisecond
	againAfter   = 10 * time.Second // from a hand-in's first try, which ran, to its second
	handIns      = 6
	newClassUse  = 1200 * time.Millisecond // the pages: balancers use a new class 1.2 s after the SIGHUP
)

// windowAcrossReload drops the class of hand-ins and adds it again, with a longer window.
func windowAcrossReload(c *env) error {
	e, err := startEngine(c.all, c.rec)
	if err != nil {
		return err
	}
	b, err := startBackend(c.rec, 10*time.Millisecond)
	if err != nil {
		return err
	}
	s := c.newSite(e, b)
	all := siteClasses()
	if c.trouble {
		all[2].WindowUs = windowBefore.Microseconds()
	}
	s.classes = all
	if err := writeFile(c.path("config.json"), s.file()); err != nil {
		return err
	}
	r, err := c.startRunner("runner", c.path("config.json"), "")
	if err != nil {
		return err
	}
	if err := c.awaitReady(s.ops); err != nil {
		return err
	}
	conn, err := dialBalancer(s.listen, 1, c.all, c.rec)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	var jobs []*job
	var first []*try
	for range handIns {
		j := &job{
			id: newCallID(), class: "hand-in", key: fmt.Sprintf("%032x", rand.Uint64()), body: "solution",
			work: 200 * time.Millisecond, calls: 1,
		}
		jobs = append(jobs, j)
		first = append(first, conn.send(j))
		time.Sleep(50 * time.Millisecond)
	}
	for _, t := range first {
		if a := t.wait(5 * time.Second); a == nil || a.status != 200 {
			return fmt.Errorf("a first try is not served: %v", a)
		}
	}
	if c.trouble {
		if err := c.reload(r, s, all[:2], "hand-in is dropped"); err != nil {
			return err
		}
		all[2].WindowUs = windowAfter.Microseconds()
		if err := c.reload(r, s, all, "hand-in is added, with a window of 13.02 s"); err != nil {
			return err
		}
		time.Sleep(newClassUse)
	}
	return c.sendAgain(s, jobs, first)
}

// reload puts another configuration in place and has the runner read it.
func (c *env) reload(r *runner, s *site, classes []class, what string) error {
	applied := strings.Count(r.logText(), "reload.applied")
	s.classes = classes
	if err := writeFile(c.path("config.json"), s.file()); err != nil {
		return err
	}
	c.rec.note("SIGHUP: %s", what)
	if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.Count(r.logText(), "reload.applied") > applied {
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("the runner does not take the file: %s", r.logText())
}

// sendAgain sends each hand-in a second time, within the window, and counts its runs.
func (c *env) sendAgain(s *site, jobs []*job, first []*try) error {
	time.Sleep(time.Until(first[0].started.Add(againAfter - 100*time.Millisecond)))
	conn, err := dialBalancer(s.listen, 2, c.all, c.rec)
	if err != nil {
		return err
	}
	var second []*try
	for i, j := range jobs {
		time.Sleep(time.Until(first[i].started.Add(againAfter)))
		again := *j
		again.id = newCallID()
		second = append(second, conn.send(&again))
	}
	twice := 0
	for i, t := range second {
		if a := t.wait(5 * time.Second); a == nil || a.status == 0 {
			return fmt.Errorf("a second try has no answer: %v", a)
		}
		ran := c.all.runsOf(jobs[i].key)
		c.rec.note("key %q: the second try was written %d ms after the first; %d runs", jobs[i].key,
			t.started.Sub(first[i].started).Milliseconds(), ran)
		if ran > 1 {
			twice++
		}
	}
	c.rec.note("%d hand-ins with two tries, %d ran twice", len(jobs), twice)
	if twice > 0 {
		return broken("%d of %d hand-ins ran twice, %v after the first run's try, in a window of %v",
			twice, len(jobs), againAfter, windowAfter)
	}
	return nil
}
