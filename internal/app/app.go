// Package app assembles the program: it creates the frontends, the request lifecycle, the groups of
// servers and the stores, starts, reloads and drains them, and answers the control socket and the
// admin listener. It is called by the command runner, and by tests that run a whole program.
package app

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"ryepaddle/internal/config"
	"ryepaddle/internal/eventloop"
	"ryepaddle/internal/telemetry/logging"
)

// Options holds the options with which the program is started.
type Options struct {
	PlatformFile string
	OperatorFile string // empty: there is none
	RepairStore  bool   // set damaged files of the key store aside and start without them
}

// Check reads and checks the configuration files without starting anything.
func Check(options Options) (*config.Platform, *config.Operator, error) {
	return configFiles{options.PlatformFile, options.OperatorFile}.read()
}

// Run starts the program, and returns when it has ended.
func Run(options Options) error {
	log := logging.Start(os.Stderr, logging.FormatText)
	defer log.Close()
	// A write beyond the file size limit must fail like a write to a full disk. By default the signal kills
	// the process.
	signal.Ignore(syscall.SIGXFSZ)
	return run(options, log)
}

func run(options Options, log *logging.Writer) error {
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	defer loop.Close()
	// Signals are caught first: a HUP that arrives while the files are read must not kill the process.
	// They are handled once the loop runs, when p is set.
	var p *Program
	loop.Signals(
		func(signal os.Signal) { p.handleSignal(signal) },
		syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1,
	)
	files := configFiles{options.PlatformFile, options.OperatorFile}
	platformConfig, operator, err := files.read()
	if err != nil {
		return err
	}
	limitMemory(platformConfig, 1)
	if operator != nil {
		configureLog(log, &operator.Log)
	}
	if p, err = New(loop, platformConfig, operator, options.RepairStore); err != nil {
		return err
	}
	p.files = files
	p.log = log
	p.logListeners()
	p.watchInventory(operator)
	err = loop.Run()
	return errors.Join(err, p.Close())
}

// handleSignal reloads the configuration on HUP, logs the servers on USR1, and drains on TERM and INT.
func (p *Program) handleSignal(signal os.Signal) {
	switch signal {
	case syscall.SIGHUP:
		p.reload()
	case syscall.SIGUSR1:
		p.reportServers()
	default:
		p.drain()
	}
}
