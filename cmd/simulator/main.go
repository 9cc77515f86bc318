// Command simulator simulates days of a fleet, and compares settings and versions of the program on the same
// days. Three of its commands use real sockets instead: up and verify start runner processes, conform tests
// a uwsgi frontend.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"ryepaddle/internal/yamldoc"
)

// console holds what all commands share: a context that a signal cancels, and the standard streams.
type console struct {
	ctx      context.Context
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
	terminal bool // stderr is a terminal
}

// The exit statuses that description lists.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadInput = 2
)

// commandLine declares the commands. helpTexts gives the values of ${} in the tags.
type commandLine struct {
	Up      upCmd      `cmd:"" help:"${help_up}"`
	Run     runCmd     `cmd:"" help:"Simulate days of a scenario, and report how requests were served."`
	Compare compareCmd `cmd:"" help:"Compare two settings, or two versions of the program, on the same days."`
	Routes  routesCmd  `cmd:"" help:"${help_routes}"`
	Traffic trafficCmd `cmd:"" help:"Summarize recorded traffic, or write the traffic of a scenario as a recording."`
	Verify  verifyCmd  `cmd:"" help:"${help_verify}"`
	Conform conformCmd `cmd:"" help:"Run the conformance suite against a uwsgi frontend, as its client and its server."`
	Days    daysCmd    `cmd:"" help:"List the built-in scenarios, or print one."`
	Schema  schemaCmd  `cmd:"" help:"Print the JSON schema of a scenario or of a file of differences."`
	Figures figuresCmd `cmd:"" help:"List the admission module's figures that a file of differences can change."`
	Worker  workerCmd  `cmd:"" hidden:"" help:"${help_worker}"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	terminal := false
	if info, err := os.Stderr.Stat(); err == nil {
		terminal = info.Mode()&os.ModeCharDevice != 0
	}
	os.Exit(execute(&console{ctx, os.Stdin, os.Stdout, os.Stderr, terminal}, os.Args[1:]))
}

// execute parses and runs a command line. It returns the exit status.
func execute(c *console, args []string) int {
	var line commandLine
	const helpNotShown = -1
	helpStatus := helpNotShown // exit status after a help text was printed
	parser, err := kong.New(
		&line,
		kong.Name("simulator"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(c.stdout, c.stderr),
		kong.Exit(func(status int) { helpStatus = status }),
		helpTexts(),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
	)
	if err != nil {
		fmt.Fprintln(c.stderr, "simulator:", err)
		return exitFailed
	}
	command, err := parser.Parse(args)
	if helpStatus != helpNotShown {
		return helpStatus
	}
	if err == nil {
		err = command.Run(c)
	}
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(c.stderr, "simulator:", err)
	if isBadInput(err) {
		return exitBadInput
	}
	return exitFailed
}

// inputError is an error in the arguments of a command or in a file that they name.
type inputError struct{ error }

// Unwrap returns the underlying error.
func (e inputError) Unwrap() error { return e.error }

// badInput returns an inputError with a formatted message.
func badInput(format string, a ...any) error { return inputError{fmt.Errorf(format, a...)} }

// isBadInput reports whether the cause of an error is the command line or a file that it names.
func isBadInput(err error) bool {
	var parse *kong.ParseError
	var doc *yamldoc.Error
	var path *fs.PathError
	var input inputError
	return errors.As(err, &parse) || errors.As(err, &doc) ||
		errors.As(err, &path) && errors.Is(err, fs.ErrNotExist) ||
		errors.As(err, &input)
}

// printJSON prints a value to stdout as indented JSON.
func (c *console) printJSON(v any) error {
	text, err := marshalIndented(v)
	if err == nil {
		_, err = c.stdout.Write(text)
	}
	return err
}

func marshalIndented(v any) ([]byte, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	return append(text, '\n'), err
}
