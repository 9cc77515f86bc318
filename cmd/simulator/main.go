// Command simulator is the simulator: it plays days of a fleet on a model, and compares settings
// and versions on them.
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
	"runtime"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"ryepaddle/internal/simulator/cluster"
	"ryepaddle/internal/yamldoc"
)

// lab is what the sub-commands share.
type lab struct {
	ctx    context.Context
	in     io.Reader
	out    io.Writer
	err    io.Writer
	screen bool // err is a terminal
}

type cli struct {
	Up      upCmd      `cmd:"" help:"Bring up a fleet of real runners with servers, send hand-ins, put faults between them, and judge what callers saw."`
	Run     runCmd     `cmd:"" help:"Play days of a scenario on the model and tell what was served."`
	Compare compareCmd `cmd:"" help:"Compare two settings, or two versions of the program, on the same days."`
	Routes  routesCmd  `cmd:"" help:"Compare two ways of routing to many uwsgi servers that are slow, cold, dead or cut off."`
	Traffic trafficCmd `cmd:"" help:"Recorded traffic: tell what files hold, or make one."`
	Verify  verifyCmd  `cmd:"" help:"Play a day on real runner processes, and say whether its figures lie in the model's intervals."`
	Conform conformCmd `cmd:"" help:"Play the conformance suite against a uwsgi front, in front of it and behind it."`
	Days    daysCmd    `cmd:"" help:"List the scenarios that are built in, or print one."`
	Schema  schemaCmd  `cmd:"" help:"Print the JSON schema of a scenario or of a file of differences."`
	Figures figuresCmd `cmd:"" help:"List the module's figures that a file of differences can change."`
	Worker  workerCmd  `cmd:"" hidden:"" help:"Play the days that are asked for on standard input, for a comparison of versions."`
}

const about = `simulator plays days of a fleet on a model: the real core and decision module of the runner, in virtual time, on
modelled machines, behind modelled balancers. Only up, verify and
conform open sockets.

Examples:
  simulator up
  simulator up --fault "2s kill n2 --back 1s" --fault "4s cut n1 s1 2s" --fault "5s stop n3 2s"
  simulator run sunday --days 4
  simulator run example/lab/tuesday.yaml --seed 7 --json
  simulator run sunday --traffic n1-1764576000.traffic --rate 1.2
  simulator compare - example/lab/tight.yaml --day sunday --out results/tight
  simulator compare bin/simulator-old bin/simulator --day crawl
  simulator routes dead-fifth slow-fifth --count 16 --out results/routes
  simulator verify small --bin bin/runner

Exit status: 0 done, 1 failed, 2 the command or a file that it was given is wrong.`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	screen := false
	if info, err := os.Stderr.Stat(); err == nil {
		screen = info.Mode()&os.ModeCharDevice != 0
	}
	os.Exit(start(&lab{ctx, os.Stdin, os.Stdout, os.Stderr, screen}, os.Args[1:]))
}

// start carries out a command line and gives the exit status.
func start(l *lab, args []string) int {
	var c cli
	done := -1
	parser, err := kong.New(
		&c,
		kong.Name("simulator"),
		kong.Description(about),
		kong.UsageOnError(),
		kong.Writers(l.out, l.err),
		kong.Exit(
			func(code int) { done = code },
		),
		kong.Vars{"workers": fmt.Sprint(runtime.GOMAXPROCS(0)), "ways": strings.Join(cluster.RoutingModes, ", ")},
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
	)
	if err != nil {
		fmt.Fprintln(l.err, "simulator:", err)
		return 1
	}
	call, err := parser.Parse(args)
	if done >= 0 { // help was asked for
		return done
	}
	if err == nil {
		err = call.Run(l)
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(l.err, "simulator:", err)
	if wrong(err) {
		return 2
	}
	return 1
}

// badInput is an error of what the command was given.
type badInput struct{ error }

func (b badInput) Unwrap() error { return b.error }

// wrong tells whether an error is of the command line or of a file that it names.
func wrong(err error) bool {
	var parse *kong.ParseError
	var doc *yamldoc.Error
	var path *fs.PathError
	var bad badInput
	return errors.As(err, &parse) || errors.As(err, &doc) ||
		errors.As(err, &path) && errors.Is(err, fs.ErrNotExist) ||
		errors.As(err, &bad)
}

func (l *lab) json(v any) error {
	text, err := marshal(v)
	if err == nil {
		_, err = l.out.Write(text)
	}
	return err
}

func marshal(v any) ([]byte, error) {
	text, err := json.MarshalIndent(v, "", "  ")
	return append(text, '\n'), err
}
