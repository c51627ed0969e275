package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/settings"
)

// pprofFlag serves /debug/pprof on the admin address.
const pprofFlag = "pprof"

// runCommand returns the command that runs the daemon.
func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "run the daemon until SIGTERM or SIGINT, then drain",
		Flags:  settingsFlags(&cli.BoolFlag{Name: pprofFlag, Usage: "serve /debug/pprof on the admin address"}),
		Action: runDaemon,
	}
}

// runDaemon runs until a signal asks to stop, and drains then.
func runDaemon(ctx context.Context, command *cli.Command) error {
	hangups, stop := notifyHangups()
	defer stop()
	if settings.IsHosted(settingsPath(command)) {
		return runHosted(ctx, command, hangups)
	}
	loaded, err := loadSettings(command)
	if err != nil {
		return errors.Trace(err)
	}
	level, err := logging.ParseLevel(loaded.Log.Level)
	if err != nil {
		return errors.Trace(err)
	}
	started := daemon.New(loaded, daemon.Overrides{
		Logger: logging.New(level),
		Pprof:  command.Bool(pprofFlag),
	})
	return errors.Trace(untilSignal(ctx, started))
}

// stoppable is a daemon that runs until it is told to stop.
type stoppable interface {
	Start() error
	Stop(ctx context.Context) error
}

// untilSignal runs a daemon until a signal asks to stop it. An interrupt from a terminal
// then ends the drain. A repeated SIGTERM does not: a platform may send its order again, and
// the calls that run would be cut.
func untilSignal(ctx context.Context, started stoppable) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := started.Start(); err != nil {
		return errors.Trace(err)
	}
	select {
	case <-signals:
	case <-ctx.Done():
	}
	stopping, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go endDrainOnInterrupt(stopping, cancel, signals)
	return errors.Trace(started.Stop(stopping))
}

// endDrainOnInterrupt calls end at the first interrupt, until the context is done.
func endDrainOnInterrupt(ctx context.Context, end func(), signals <-chan os.Signal) {
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGINT {
				end()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
