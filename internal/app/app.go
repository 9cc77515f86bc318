// Package app is the program: it creates the frontends, the request lifecycle, the groups of
// servers and the stores, starts, reloads and drains them, and answers the control socket and the
// admin listener. The command runner calls it, and tests that run a whole program.
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

// Options are what the program is started with.
type Options struct {
	PlatformFile string
	OperatorFile string // empty: there is none
	RepairStore  bool   // set damaged files of the key store aside and go on
}

// Check reads and checks the configuration files without starting anything.
func Check(options Options) (*config.Platform, *config.Operator, error) {
	return configFiles{options.PlatformFile, options.OperatorFile}.read()
}

// Run runs the program from its start to its end.
func Run(options Options) error {
	log := logging.Start(os.Stderr, logging.FormatText)
	defer log.Close()
	// A file that reached its size limit is handled as a full disk; by default the signal kills the
	// process.
	signal.Ignore(syscall.SIGXFSZ)
	return run(options, log)
}

func run(options Options, log *logging.Writer) error {
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	defer loop.Close()
	// Signals are caught before anything else: a HUP that arrives while the files are read must not
	// kill the process. They are handled when the loop runs, and p is set by then.
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

// handleSignal reloads at HUP, logs the servers at USR1, and drains at TERM and INT.
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
