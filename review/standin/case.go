package standin

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// The death signal of a process that a case starts belongs to the thread that started it: the main
// thread, which lives as long as the case.
func init() { runtime.LockOSThread() }

// Main runs a case in its folder (the first argument) and exits with its status. The environment
// variable TROUBLE=0 leaves the disruption out. A case that takes over 110 s is ended, as is one that is
// told to end by a signal; all that it started ends with it.
func Main(run func(s *Site, trouble bool) (status int, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM REPOSITORY FOLDER")
		os.Exit(NotRun)
	}
	record, err := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	site, err := NewSite(os.Args[1], record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	var once sync.Once
	exit := func(status int, err error) {
		once.Do(func() {
			site.Close()
			words := map[int]string{Held: "the rule held", Broken: "the rule was broken", NotRun: "the case could not run"}
			record.Line("result: %s", words[status])
			if err != nil {
				record.Line("error: %v", err)
				fmt.Println(err)
			}
			fmt.Println(words[status])
			os.Exit(status)
		})
		select {}
	}
	time.AfterFunc(110*time.Second, func() { exit(NotRun, fmt.Errorf("the case took over 110 s")) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { exit(NotRun, fmt.Errorf("ended by a signal: %v", <-signals)) }()
	status, err := run(site, os.Getenv("TROUBLE") != "0")
	if err != nil {
		status = NotRun
	}
	exit(status, err)
}

// Tries collects the tries of a case.
type Tries struct {
	mu  sync.Mutex
	all []*Try
}

// Add adds a try, unless it is nil.
func (l *Tries) Add(t *Try) {
	if t != nil {
		l.mu.Lock()
		l.all = append(l.all, t)
		l.mu.Unlock()
	}
}

// All returns the tries.
func (l *Tries) All() []*Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Try(nil), l.all...)
}

// Slack is what the pages add to a deadline: Rules.AnswerSlackUs, and 50 ms on sockets.
const Slack = 60*time.Millisecond + 50*time.Millisecond

// crossing is within which a request that crosses the close of its connection is sent once more, and is
// not lost.
const crossing = 50 * time.Millisecond

// Lost returns the tries that are lost by the rules of the protocol page: no whole answer on their
// connection, or none by their due time. Aborted tries are owed no answer, and neither are those that
// crossed a close of their connection.
func (l *Tries) Lost() (lost []*Try) {
	for _, t := range l.All() {
		var deadline time.Duration
		for _, c := range Classes {
			if c.Name == t.Class {
				deadline = c.Deadline
			}
		}
		due := time.UnixMilli(t.QueueStart).Add(deadline + Slack)
		switch {
		case t.Aborted:
		case !t.Answered():
			lost = append(lost, t)
		case t.Kind == Lost && t.AnsweredAt.Sub(t.WrittenAt) > crossing, t.Kind != Lost && t.AnsweredAt.After(due):
			lost = append(lost, t)
		}
	}
	return lost
}

// Counts returns how many tries had each kind of answer.
func (l *Tries) Counts() map[string]int {
	counts := map[string]int{}
	for _, t := range l.All() {
		switch {
		case t.Aborted:
			counts["given up by the balancer"]++
		case !t.Answered():
			counts["open"]++
		default:
			counts[t.Kind]++
		}
	}
	return counts
}
