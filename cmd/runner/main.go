// Command runner is the runner itself and the command-line tool of its operators. Without a command
// it serves requests; other commands check configuration files, query and control a running program
// over its control socket, and read the files that it writes. Each command is a type with a Run
// method, which kong calls.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"ryepaddle/internal/fault"
)

// streams are the standard output and the standard error of the commands.
type streams struct{ out, err io.Writer }

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // the command line, or a file that it names, is invalid
)

// cli declares the commands. Their help texts are in help.go.
type cli struct {
	Serve      serveCmd                     `cmd:"" default:"withargs" help:"${serve}"`
	Check      checkCmd                     `cmd:"" help:"${check}"`
	Peers      peersCmd                     `cmd:"" help:"${peers}"`
	Status     statusCmd                    `cmd:"" help:"${status}"`
	Explain    explainCmd                   `cmd:"" help:"${explain}"`
	Metrics    metricsCmd                   `cmd:"" help:"${metrics}"`
	Levels     levelsCmd                    `cmd:"" help:"${levels}"`
	Drain      drainCmd                     `cmd:"" help:"${drain}"`
	Reload     reloadCmd                    `cmd:"" help:"${reload}"`
	Store      storeCmd                     `cmd:"" help:"${store}"`
	Inventory  inventoryCmd                 `cmd:"" help:"${inventory}"`
	Usage      usageCmd                     `cmd:"" help:"${usage}"`
	Route      routeCmd                     `cmd:"" help:"${route}"`
	Schema     schemaCmd                    `cmd:"" help:"${schema}"`
	Version    versionCmd                   `cmd:"" help:"${version}"`
	Completion kongplete.InstallCompletions `cmd:"" help:"${completion}"`
}

func main() { os.Exit(run(&streams{os.Stdout, os.Stderr}, os.Args[1:])) }

// run executes a command line and returns the exit status.
func run(s *streams, args []string) int {
	const noExit = -1 // kong has not asked to exit
	status := noExit
	parser, err := newParser(s, func(code int) { status = code })
	if err != nil {
		fmt.Fprintln(s.err, "runner:", err)
		return exitFailed
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	command, err := parser.Parse(expandOldFlags(args))
	if status != noExit { // kong has printed help
		return status
	}
	if err == nil {
		err = command.Run(s)
	}
	if err != nil {
		return reportError(s, err)
	}
	return exitOK
}

func newParser(s *streams, exit func(int)) (*kong.Kong, error) {
	return kong.New(
		&cli{},
		kong.Name("runner"),
		kong.Description(description),
		helpTexts,
		kong.UsageOnError(),
		kong.Writers(s.out, s.err),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
	)
}

// reportError prints an error with the remedy of its kind, if it has one, and returns the exit status.
func reportError(s *streams, err error) int {
	fmt.Fprintln(s.err, "runner:", err)
	if f := fault.Find(err); f != nil {
		fmt.Fprintf(s.err, "%s: %s\n", f.Kind.Name, f.Kind.Remedy)
	}
	var parse *kong.ParseError
	var input inputError
	if errors.As(err, &parse) || errors.As(err, &input) {
		return exitUsage
	}
	return exitFailed
}

// expandOldFlags gives the flags -operator and -repair a second dash. They had one before the
// program had commands, and start-up scripts still use it.
func expandOldFlags(args []string) []string {
	expanded := make([]string, len(args))
	for i, arg := range args {
		expanded[i] = arg
		if strings.HasPrefix(arg, "-operator") || strings.HasPrefix(arg, "-repair") {
			expanded[i] = "-" + arg
		}
	}
	return expanded
}

// inputError is an error in the arguments or in a file that they name. Its exit status is exitUsage.
type inputError struct{ error }

// Unwrap returns the wrapped error.
func (e inputError) Unwrap() error { return e.error }
