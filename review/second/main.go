// Command second plays the cases of the second review. Each starts the program as the deploy file says,
// with stand-ins of this package around it. It exits with 1 if the rule of the case was broken, with 0 if it
// held and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by their numbers. Each file of a case adds its own.
var cases = map[string]func(*env) error{}

func main() { os.Exit(play()) }

func play() int {
	const limit = 115 * time.Second
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE")
		return 2
	}
	c, err := newEnv(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](c) }()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case err = <-done:
	case s := <-ended:
		err = fmt.Errorf("ended from outside by %v", s)
	case <-time.After(limit):
		err = errors.New("the case takes too long")
	}
	var rule *errRule
	switch {
	case errors.As(err, &rule):
		c.rec.note("BROKEN: %v", err)
		fmt.Println("broken:", err)
		return 1
	case err != nil:
		c.rec.note("not run: %v", err)
		fmt.Println("not run:", err)
		return 2
	}
	c.rec.note("held")
	fmt.Println("held")
	return 0
}
