package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/convergence"
)

// convergenceCommand returns the experiment on the time and bytes that a
// change takes to every daemon.
func convergenceCommand() *cli.Command {
	return &cli.Command{
		Name:  "convergence",
		Usage: "measure how long changes take to every daemon, and their bytes",
		Flags: experimentFlags(
			&cli.IntFlag{Name: "daemons", Value: 100, Usage: "number of hollow daemons"},
			&cli.IntFlag{Name: "changes", Value: 50, Usage: "number of changes, made one after the other"},
			&cli.IntFlag{Name: "services", Value: 190, Usage: "number of services in the catalogue"},
			&cli.StringFlag{Name: "mode", Value: "delta", Usage: "delta, or a baseline: full (whole snapshots) or direct (every daemon a reader)"},
		),
		Action: runConvergence,
	}
}

func runConvergence(ctx context.Context, command *cli.Command) error {
	mode := convergence.Mode(command.String("mode"))
	switch mode {
	case convergence.ModeDelta, convergence.ModeFull, convergence.ModeDirect:
	default:
		return cli.Exit("--mode must be delta, full or direct", 2)
	}
	report, err := convergence.Run(ctx, convergence.Options{
		Daemons:  command.Int("daemons"),
		Changes:  command.Int("changes"),
		Services: command.Int("services"),
		Seed:     command.Uint64("seed"),
		Mode:     mode,
		Progress: progressTo(command.ErrWriter, "convergence"),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, report, report.Violations)
}
