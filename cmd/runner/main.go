// Command runner is the runner: the decision module on real sockets, and what an operator asks of
// it.
package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"ryepaddle/internal/app"
	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/config"
	"ryepaddle/internal/fault"
	"ryepaddle/internal/frontend/control"
)

// shell is what the commands write to.
type shell struct{ out, err io.Writer }

type told struct {
	Config   string `env:"ROUTER_CONFIG" placeholder:"FILE" predictor:"file" help:"The platform's file."`
	Operator string `placeholder:"FILE" predictor:"file" help:"The operator's file: the second front, its servers, and all that the platform does not say."`
}

type asking struct {
	Socket string `env:"RYEPADDLE_SOCKET" placeholder:"PATH" predictor:"file" help:"The control socket. By default that of the operator's file."`
	told
	JSON bool `help:"Print the answer as JSON."`
}

type cli struct {
	Serve      serveCmd                     `cmd:"" default:"withargs" help:"Run the program. This is what it does without a command."`
	Check      checkCmd                     `cmd:"" help:"Read all that the program would be told, and say what is wrong with it."`
	Peers      peersCmd                     `cmd:"" help:"Ask a running program how the copies of keys on its peers stand."`
	Status     statusCmd                    `cmd:"" help:"Ask a running program how it and its servers stand."`
	Explain    explainCmd                   `cmd:"" help:"Ask a running program what became of requests, and why."`
	Metrics    metricsCmd                   `cmd:"" help:"Ask a running program for its figures, in the OpenMetrics format."`
	Levels     levelsCmd                    `cmd:"" help:"Tell or set the levels of logging of a running program."`
	Drain      drainCmd                     `cmd:"" help:"Have a running program answer what is open, and end."`
	Reload     reloadCmd                    `cmd:"" help:"Have a running program read its files again."`
	Store      storeCmd                     `cmd:"" help:"Look at kept keys, and look after their files."`
	Inventory  inventoryCmd                 `cmd:"" help:"Look at an inventory of servers."`
	Usage      usageCmd                     `cmd:"" help:"Look at the account of what schools use, make bills of statements, correct it."`
	Route      routeCmd                     `cmd:"" help:"Say where a request would go, by the operator's file."`
	Schema     schemaCmd                    `cmd:"" help:"Print the JSON schema of the operator's file."`
	Version    versionCmd                   `cmd:"" help:"Tell which build this is."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what has a shell complete commands, for its start-up file."`
}

const about = `runner takes requests over FastCGI and uwsgi, decides which to hold, run or turn away, and has them done.

Examples:
  runner --operator deploy/operator.yaml
  runner check --operator deploy/operator.yaml
  runner explain --class hand-in --not-served --operator deploy/operator.yaml
  runner explain 00000000deadbeef --socket /run/ryepaddle/control.sock
  runner levels upstream=debug --socket /run/ryepaddle/control.sock
  runner inventory check new.csv --against inventory.csv
  runner store verify /var/lib/ryepaddle/keys
  runner usage bill /mnt/statements --config platform.json
  runner completion >> ~/.bashrc

Exit status: 0 done, 1 failed, 2 the command or a file that it was given is wrong.`

func main() { os.Exit(start(&shell{os.Stdout, os.Stderr}, os.Args[1:])) }

// start carries out a command line and gives the exit status.
func start(sh *shell, args []string) int {
	var c cli
	done := -1
	parser, err := kong.New(
		&c,
		kong.Name("runner"),
		kong.Description(about),
		kong.UsageOnError(),
		kong.Writers(sh.out, sh.err),
		kong.Exit(
			func(code int) { done = code },
		),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}),
	)
	if err != nil {
		fmt.Fprintln(sh.err, "runner:", err)
		return 1
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	call, err := parser.Parse(older(args))
	if done >= 0 { // help was asked for
		return done
	}
	if err == nil {
		err = call.Run(sh)
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(sh.err, "runner:", err)
	if f := fault.Find(err); f != nil {
		fmt.Fprintf(sh.err, "%s: %s\n", f.Kind.Name, f.Kind.Remedy)
	}
	var parse *kong.ParseError
	var bad badInput
	if errors.As(err, &parse) || errors.As(err, &bad) {
		return 2
	}
	return 1
}

// older takes flags as they were written before there were commands, with one dash.
func older(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if out[i] = a; strings.HasPrefix(a, "-operator") || strings.HasPrefix(a, "-repair") {
			out[i] = "-" + a
		}
	}
	return out
}

// badInput is an error of what the command was given.
type badInput struct{ error }

func (b badInput) Unwrap() error { return b.error }

type serveCmd struct {
	told
	Repair bool `help:"Go on with damaged files of the store, which are kept aside."`
}

// Run is the program.
func (c *serveCmd) Run() error {
	return app.Run(app.Options{PlatformFile: c.Config, OperatorFile: c.Operator, RepairStore: c.Repair})
}

// wrong is what is wrong with a file, for scripts.
type wrong struct {
	Error string `json:"error"`
	Kind  string `json:"kind,omitempty"`
	File  string `json:"file,omitempty"`
	Line  int    `json:"line,omitempty"`
	Field string `json:"field,omitempty"`
	Do    string `json:"do,omitempty"`
}

type checkCmd struct {
	told
	JSON bool `help:"Print what was read as JSON."`
}

// Run reads the files.
func (c *checkCmd) Run(sh *shell) error {
	cfg, op, err := app.Check(app.Options{PlatformFile: c.Config, OperatorFile: c.Operator})
	if err != nil && c.JSON {
		told := wrong{Error: err.Error()}
		if f := fault.Find(err); f != nil {
			told = wrong{err.Error(), f.Kind.Name, f.Location.File, f.Location.Line, f.Location.Field, f.Kind.Remedy}
		}
		return badInput{cmp.Or(printJSON(sh, told), err)}
	}
	if err != nil {
		return badInput{err}
	}
	var sum struct {
		Name    string   `json:"name"`
		Classes []string `json:"classes"`
		Tenants int      `json:"tenants"`
		Front   string   `json:"front,omitempty"`
		Servers int      `json:"servers"`
		Store   string   `json:"store,omitempty"`
		Control string   `json:"control,omitempty"`
	}
	sum.Name, sum.Tenants = cfg.Name, len(cfg.Settings.Tenants)
	for _, x := range cfg.Settings.Classes {
		sum.Classes = append(sum.Classes, x.Name)
	}
	if op != nil {
		sum.Front, sum.Servers, sum.Store, sum.Control = op.Listen, len(
			op.Servers,
		), op.Store.Dir, op.Control.Socket
	}
	if c.JSON {
		return printJSON(sh, sum)
	}
	_, err = fmt.Fprintf(
		sh.out,
		"%s: %d classes (%s), %d tenants, %d servers: all is well\n",
		sum.Name,
		len(sum.Classes),
		strings.Join(sum.Classes, ", "),
		sum.Tenants,
		sum.Servers,
	)
	return err
}

func printJSON(sh *shell, v any) error {
	e := json.NewEncoder(sh.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

const askWithin = 5 * time.Second

// ask asks the program whose socket is named, or that of the operator's file.
func (a *asking) ask(q control.Request, v any) error {
	path := a.Socket
	if path == "" {
		if a.Operator == "" {
			return badInput{errors.New("which program? --socket or --operator tells")}
		}
		platform, err := config.ReadPlatform(a.Config)
		if err != nil {
			return badInput{err}
		}
		op, err := config.ReadOperator(a.Operator, platform)
		if err != nil {
			return badInput{err}
		}
		if path = op.Control.Socket; path == "" {
			return badInput{
				fmt.Errorf(
					"%s: field control.socket: missing, so that the program cannot be asked",
					a.Operator,
				),
			}
		}
	}
	return control.Ask(path, q, askWithin, v)
}

type schemaCmd struct{}

// Run prints the schema.
func (*schemaCmd) Run(sh *shell) error { return printJSON(sh, config.OperatorSchema()) }

type versionCmd struct {
	JSON bool `help:"Print it as JSON."`
}

// Run tells the version.
func (c *versionCmd) Run(sh *shell) error {
	if c.JSON {
		return printJSON(sh, map[string]string{"version": buildinfo.Version()})
	}
	_, err := fmt.Fprintln(sh.out, "ryepaddle", buildinfo.Version())
	return err
}

type metricsCmd struct{ asking }

// Run prints the figures.
func (c *metricsCmd) Run(sh *shell) error {
	var t app.MetricsAnswer
	if err := c.ask(control.Request{Command: "metrics"}, &t); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(sh, t)
	}
	_, err := io.WriteString(sh.out, t.Text)
	return err
}

type levelsCmd struct {
	Set []string `arg:"" optional:"" placeholder:"AREA=LEVEL" help:"Such as upstream=debug; the area all is all that are not named. None: they are only told."`
	asking
}

// Run sets levels, and prints them.
func (c *levelsCmd) Run(sh *shell) error {
	var l app.LevelsAnswer
	if err := c.ask(control.Request{Command: "levels", Levels: c.Set}, &l); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(sh, l)
	}
	for _, area := range slices.Sorted(maps.Keys(l.Levels)) {
		fmt.Fprintf(sh.out, "%s=%s\n", area, l.Levels[area])
	}
	return nil
}

type drainCmd struct{ asking }

// Run has a program leave.
func (c *drainCmd) Run(sh *shell) error { return c.tell(sh, "drain") }

type reloadCmd struct{ asking }

// Run has a program read its files. What came of it is in its log.
func (c *reloadCmd) Run(sh *shell) error { return c.tell(sh, "reload") }

// tell has a program do what needs no answer but that it was heard.
func (a *asking) tell(sh *shell, what string) error {
	if err := a.ask(control.Request{Command: what}, nil); err != nil || !a.JSON {
		return err
	}
	return printJSON(sh, map[string]string{"told": what})
}

// Help implements kong.HelpProvider.
func (levelsCmd) Help() string {
	return `Areas are the first parts of the events' names (docs/on-call.md). What is set holds until the next start, or until a reload finds
other levels in the operator's file.

Examples:
  runner levels --operator deploy/operator.yaml
  runner levels all=warn request=debug --socket /run/ryepaddle/control.sock`
}

// Help implements kong.HelpProvider.
func (checkCmd) Help() string {
	return `What is wrong is told with file, line and field, and the exit status is 2. Nothing is started, and no file is written.

Examples:
  runner check --config example/config.json
  runner check --operator deploy/operator.yaml --json`
}

// Help implements kong.HelpProvider.
func (metricsCmd) Help() string {
	return `Latencies carry the id of a request as an exemplar, which explain takes.

Examples:
  runner metrics --operator deploy/operator.yaml > /var/lib/collector/ryepaddle.prom`
}
