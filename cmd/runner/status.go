package main

import (
	"fmt"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"ryepaddle/internal/app"
	"ryepaddle/internal/frontend/control"
	"ryepaddle/internal/upstream"
)

// clearScreen moves the cursor of a terminal to its upper left corner, and clears it.
const clearScreen = "\x1b[H\x1b[2J"

type statusCmd struct {
	controlFlags
	Every time.Duration `help:"Repeat at this interval until interrupted; without it, print the state once."`
}

// Run prints the state of a running program, once or repeatedly.
func (c *statusCmd) Run(s *streams) error {
	for {
		if err := c.printOnce(s); err != nil || c.Every <= 0 {
			return err
		}
		time.Sleep(c.Every)
	}
}

// printOnce asks for the state and prints it.
func (c *statusCmd) printOnce(s *streams) error {
	var status app.Status
	if err := c.ask(control.Request{Command: app.CommandStatus}, &status); err != nil {
		return err
	}
	if c.Every > 0 {
		fmt.Fprint(s.out, clearScreen)
	}
	if c.JSON {
		return printJSON(s, &status)
	}
	printStatus(s, &status)
	return nil
}

// printStatus prints the state of a program as text.
func printStatus(s *streams, status *app.Status) {
	state := "in service"
	if status.Draining {
		state = "draining"
	}
	fmt.Fprintf(s.out, "%s, %s: %d open, %d connections\n", status.Name, state, status.Open, status.Connections)
	fmt.Fprintf(s.out, "since the start: %+v\n", status.Stats)
	printProblem(s, "the inventory's files are not taken", status.InventoryRejected)
	printProblem(s, "no new keys are taken", status.KeysRejected)
	for _, group := range status.Groups {
		fmt.Fprintln(s.out, group)
	}
	for _, pool := range status.Pools {
		printPool(s, &pool)
	}
	if len(status.Servers) > 0 {
		fmt.Fprintln(s.out, serverTable(status.Servers))
	}
	for _, requests := range status.Retained {
		fmt.Fprintf(s.out, "%s, %s: %d, of which %d can be explained\n",
			requests.Class, requests.Status, requests.Total, requests.Retained)
	}
}

// printProblem prints a problem with its reason, if there is one.
func printProblem(s *streams, problem, reason string) {
	if reason != "" {
		fmt.Fprintf(s.out, "%s: %s\n", problem, reason)
	}
}

func printPool(s *streams, pool *app.PoolStatus) {
	fmt.Fprintf(
		s.out,
		"%s, pool %s: %d run, %d wait; floor %d, ceiling %d, of %d slots\n",
		pool.Group,
		pool.Name,
		pool.Running,
		pool.Waiting,
		pool.Floor,
		pool.Ceiling,
		pool.Limit,
	)
}

func serverTable(servers []upstream.ServerStatus) string {
	t := newTable("group", "server", "hall", "state", "for", "why", "part", "open", "limit", "ms",
		"requests", "failed")
	for _, server := range servers {
		t.AppendRow(table.Row{
			server.Group,
			server.Name,
			server.Zone,
			server.State,
			time.Duration(server.StateSeconds) * time.Second,
			server.Cause,
			fmt.Sprintf("%.2f", server.TrafficShare),
			server.ActiveRequests,
			server.Limit,
			fmt.Sprintf("%.1f", server.LatencyMs),
			server.Requests,
			server.Failures,
		})
	}
	return t.Render()
}
