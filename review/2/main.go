// Command 2 tests that a process that a new version replaces answers each request that it has read,
// also a further try of a hand-in that runs in the new process.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"ryepaddle-review/standin"
)

const (
	// handIns is the number of hand-ins whose second try reaches the old process.
	handIns = 4
	// handInWork is how long a run of a hand-in takes: about half of its deadline of 4.3 s.
	handInWork = 2200 * time.Millisecond
	// patience is how long the balancer waits for the first try.
	patience = 800 * time.Millisecond
	// firstTryAt is when the first hand-in is sent, after the SIGTERM to the old process.
	firstTryAt = 1500 * time.Millisecond
	// stopAfter is when the platform kills the old process: the longest deadline, taken as 3 s where it is
	// longer, and 0.7 s.
	stopAfter = 3700 * time.Millisecond
	// lostShare is from which share of requests without a final answer on the rule is broken.
	lostShare = 0.003
)

func plan(class string, _ []byte) standin.Plan {
	switch class {
	case "hand-in":
		return standin.Plan{Work: handInWork}
	case "full-check":
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
		Ops: standin.FreeAddress(), StopMs: 3200, Classes: standin.Classes,
	}
	old, err := s.Start("A", config, tmpdir)
	if err != nil {
		return standin.NotRun, err
	}
	if err := old.AwaitReady(10 * time.Second); err != nil {
		return standin.NotRun, err
	}
	opsA := config.Ops

	var tries standin.Tries
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	// keepBusy sends a full-check every 300 ms as long as the connection lasts.
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
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
			}
		}()
	}
	// open opens a connection, and reports whether it reached the process of an engine.
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
	// Two connections of balancers to the old process.
	var toOld, toNew []*standin.Conn
	for i := range 2 {
		c, ok, err := open(fmt.Sprintf("to-old-%d", i), i, engineA)
		if err != nil || !ok {
			return standin.NotRun, fmt.Errorf("no connection to the old process: %v", err)
		}
		toOld = append(toOld, c)
		keepBusy(c)
	}
	if trouble {
		next := config
		next.Engine, next.Ops = engineB.Addr, standin.FreeAddress()
		process, err := s.Start("B", next, tmpdir)
		if err != nil {
			return standin.NotRun, err
		}
		if err := process.AwaitReady(6 * time.Second); err != nil {
			return standin.NotRun, err
		}
		for i := 0; len(toNew) < 2; i++ {
			c, ok, err := open(fmt.Sprintf("to-new-%d", i), 2, engineB)
			if err != nil || i > 60 {
				return standin.NotRun, fmt.Errorf("no connection to the new process: %v", err)
			}
			if ok {
				toNew = append(toNew, c)
				keepBusy(c)
			} else {
				c.Close()
			}
		}
		old.Signal(syscall.SIGTERM)
		old.StopAfter(stopAfter)
	} else {
		for i := range 2 {
			c, _, err := open(fmt.Sprintf("to-new-%d", i), 2, engineA)
			if err != nil {
				return standin.NotRun, err
			}
			toNew = append(toNew, c)
			keepBusy(c)
		}
	}
	start := time.Now()
	time.Sleep(firstTryAt)
	var second []*standin.Try
	var first []*standin.Try
	var mu sync.Mutex
	var hands sync.WaitGroup
	for i := range handIns {
		hands.Add(1)
		go func() {
			defer hands.Done()
			key, body := fmt.Sprintf("key-%d-%s", i, standin.NewID()), []byte(fmt.Sprintf("solution %d", i))
			from, to := toNew[i%2], toOld[i%2]
			t, err := from.Send("hand-in", key, body)
			if err != nil {
				return
			}
			tries.Add(t)
			select {
			case <-t.Done():
				return
			case <-time.After(patience):
			}
			from.Abort(t)
			u, err := to.Send("hand-in", key, body)
			if err != nil {
				return
			}
			tries.Add(u)
			mu.Lock()
			first, second = append(first, t), append(second, u)
			mu.Unlock()
		}()
		time.Sleep(50 * time.Millisecond)
	}
	hands.Wait()
	time.Sleep(time.Until(start.Add(3300 * time.Millisecond)))
	s.Record.Line("statistics of process A at %.1f s: %s", time.Since(start).Seconds(), statistics(opsA))
	time.Sleep(2 * time.Second)
	close(stop)
	traffic.Wait()
	time.Sleep(4500 * time.Millisecond)

	if len(second) < handIns {
		return standin.NotRun, fmt.Errorf("only %d of %d second tries were sent", len(second), handIns)
	}
	for i, t := range first {
		if trouble && !engineB.HasRun(t.ID) {
			return standin.NotRun, fmt.Errorf("the first try %s did not run in the new process", t.ID)
		}
		s.Record.Line("hand-in %s: second try %s: %s", t.Key, second[i].ID, second[i].Kind)
	}
	lost := tries.Lost()
	s.Record.Line("tries: %v", tries.Counts())
	for _, t := range lost {
		s.Record.Line("lost: %s %s key %q, written %.3f s before its connection ended", t.ID, t.Class, t.Key,
			t.AnsweredAt.Sub(t.WrittenAt).Seconds())
	}
	share := float64(len(lost)) / float64(len(tries.All()))
	fmt.Printf("%d of %d requests lost (%.1f in 1,000)\n", len(lost), len(tries.All()), share*1000)
	if share >= lostShare {
		return standin.Broken, nil
	}
	return standin.Held, nil
}

// statistics returns what a process reports.
func statistics(ops string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get("http://" + ops + "/ops/stats")
	if err != nil {
		return err.Error()
	}
	defer a.Body.Close()
	b, _ := io.ReadAll(a.Body)
	return string(b)
}
