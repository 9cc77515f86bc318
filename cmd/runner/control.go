package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"ryepaddle/internal/app"
	"ryepaddle/internal/config"
	"ryepaddle/internal/frontend/control"
)

// controlTimeout is how long a running program may take to answer a command.
const controlTimeout = 5 * time.Second

// controlFlags select the running program that a command is sent to, and the form of the output.
type controlFlags struct {
	Socket string `env:"RYEPADDLE_SOCKET" placeholder:"PATH" predictor:"file" help:"${flag_socket}"`
	configFlags
	JSON bool `help:"Print the answer as JSON."`
}

// ask sends a command to the running program and stores its answer in answer, unless that is nil.
func (f *controlFlags) ask(request control.Request, answer any) error {
	path, err := f.socket()
	if err != nil {
		return inputError{err}
	}
	return control.Ask(path, request, controlTimeout, answer)
}

// socket returns the path of the control socket: that of --socket, or else of the operator's file.
func (f *controlFlags) socket() (string, error) {
	if f.Socket != "" {
		return f.Socket, nil
	}
	if f.Operator == "" {
		return "", errors.New("no program to connect to: --socket or --operator is required")
	}
	platform, err := config.ReadPlatform(f.Config)
	if err != nil {
		return "", err
	}
	operator, err := config.ReadOperator(f.Operator, platform)
	if err != nil {
		return "", err
	}
	if operator.Control.Socket == "" {
		return "", fmt.Errorf(
			"%s: field control.socket: missing; the program has no control socket",
			f.Operator,
		)
	}
	return operator.Control.Socket, nil
}

// send sends a command whose answer holds no data. With --json it prints the name of the command.
func (f *controlFlags) send(s *streams, command string) error {
	if err := f.ask(control.Request{Command: command}, nil); err != nil || !f.JSON {
		return err
	}
	return printJSON(s, map[string]string{"told": command})
}

type metricsCmd struct{ controlFlags }

// Run prints the metrics of a running program.
func (c *metricsCmd) Run(s *streams) error {
	var answer app.MetricsAnswer
	if err := c.ask(control.Request{Command: app.CommandMetrics}, &answer); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, answer)
	}
	_, err := io.WriteString(s.out, answer.Text)
	return err
}

type levelsCmd struct {
	Set []string `arg:"" optional:"" placeholder:"AREA=LEVEL" help:"${flag_levels}"`
	controlFlags
}

// Run sets the given log levels, and prints the levels of all areas.
func (c *levelsCmd) Run(s *streams) error {
	var answer app.LevelsAnswer
	if err := c.ask(control.Request{Command: app.CommandLevels, Levels: c.Set}, &answer); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s, answer)
	}
	for _, area := range slices.Sorted(maps.Keys(answer.Levels)) {
		fmt.Fprintf(s.out, "%s=%s\n", area, answer.Levels[area])
	}
	return nil
}

type drainCmd struct{ controlFlags }

// Run starts a graceful shutdown.
func (c *drainCmd) Run(s *streams) error { return c.send(s, app.CommandDrain) }

type reloadCmd struct{ controlFlags }

// Run has a running program read its configuration files again. The program logs the result.
func (c *reloadCmd) Run(s *streams) error { return c.send(s, app.CommandReload) }
