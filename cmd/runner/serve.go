package main

import (
	"fmt"
	"strings"

	"ryepaddle/internal/app"
	"ryepaddle/internal/buildinfo"
	"ryepaddle/internal/config"
	"ryepaddle/internal/fault"
)

// configFlags holds the paths of the configuration files.
type configFlags struct {
	Config   string `env:"ROUTER_CONFIG" placeholder:"FILE" predictor:"file" help:"The platform's file."`
	Operator string `placeholder:"FILE" predictor:"file" help:"${flag_operator}"`
}

type serveCmd struct {
	configFlags
	Repair bool `help:"Start although files of the store are damaged: rename them, and use what can be read."`
}

// Run serves requests until the program is shut down.
func (c *serveCmd) Run() error {
	return app.Run(app.Options{PlatformFile: c.Config, OperatorFile: c.Operator, RepairStore: c.Repair})
}

// checkFailure describes an error in a configuration file. It is printed as JSON.
type checkFailure struct {
	Error  string `json:"error"`
	Kind   string `json:"kind,omitempty"`
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Field  string `json:"field,omitempty"`
	Remedy string `json:"do,omitempty"`
}

// checkSummary summarizes valid configuration files. It is printed as JSON.
type checkSummary struct {
	Name    string   `json:"name"`
	Classes []string `json:"classes"`
	Tenants int      `json:"tenants"`
	Listen  string   `json:"front,omitempty"` // address of the uwsgi frontend
	Servers int      `json:"servers"`
	Store   string   `json:"store,omitempty"`
	Control string   `json:"control,omitempty"`
}

type checkCmd struct {
	configFlags
	JSON bool `help:"Print the summary or the error as JSON."`
}

// Run reads and checks the files, and prints a summary of them.
func (c *checkCmd) Run(s *streams) error {
	platform, operator, err := app.Check(app.Options{PlatformFile: c.Config, OperatorFile: c.Operator})
	if err != nil {
		if c.JSON {
			if printErr := printJSON(s, newCheckFailure(err)); printErr != nil {
				return inputError{printErr}
			}
		}
		return inputError{err}
	}
	summary := newCheckSummary(platform, operator)
	if c.JSON {
		return printJSON(s, summary)
	}
	_, err = fmt.Fprintf(
		s.out,
		"%s: %d classes (%s), %d tenants, %d servers: all is well\n",
		summary.Name,
		len(summary.Classes),
		strings.Join(summary.Classes, ", "),
		summary.Tenants,
		summary.Servers,
	)
	return err
}

func newCheckFailure(err error) checkFailure {
	failure := checkFailure{Error: err.Error()}
	if f := fault.Find(err); f != nil {
		failure.Kind = f.Kind.Name
		failure.Remedy = f.Kind.Remedy
		failure.File = f.Location.File
		failure.Line = f.Location.Line
		failure.Field = f.Location.Field
	}
	return failure
}

func newCheckSummary(platform *config.Platform, operator *config.Operator) checkSummary {
	summary := checkSummary{Name: platform.Name, Tenants: len(platform.Settings.Tenants)}
	for _, class := range platform.Settings.Classes {
		summary.Classes = append(summary.Classes, class.Name)
	}
	if operator != nil {
		summary.Listen = operator.Listen
		summary.Servers = len(operator.Servers)
		summary.Store = operator.Store.Dir
		summary.Control = operator.Control.Socket
	}
	return summary
}

type schemaCmd struct{}

// Run prints the JSON schema of the operator's file.
func (*schemaCmd) Run(s *streams) error { return printJSON(s, config.OperatorSchema()) }

type versionCmd struct {
	JSON bool `help:"Print the version as JSON."`
}

// Run prints the version of this build.
func (c *versionCmd) Run(s *streams) error {
	if c.JSON {
		return printJSON(s, app.VersionAnswer{Version: buildinfo.Version()})
	}
	_, err := fmt.Fprintln(s.out, "ryepaddle", buildinfo.Version())
	return err
}
