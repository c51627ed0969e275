package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/pipelining"
)

// pipeliningCommand returns the experiment on requests that are sent one behind
// another on a connection.
func pipeliningCommand() *cli.Command {
	return &cli.Command{
		Name:  "pipelining",
		Usage: "requests one behind another on a connection: in turn against side by side",
		Flags: experimentFlags(
			&cli.IntFlag{Name: "depth", Value: 6, Usage: "requests that a caller sends at once"},
			&cli.IntFlag{Name: "bursts", Value: 40, Usage: "how often each connection does"},
		),
		Action: runPipelining,
	}
}

func runPipelining(ctx context.Context, command *cli.Command) error {
	figures, err := pipelining.Run(ctx, pipelining.Options{
		Seed:     command.Uint64("seed"),
		Depth:    command.Int("depth"),
		Bursts:   command.Int("bursts"),
		Progress: progressTo(command.ErrWriter, command.Name),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, figures, figures.Violations)
}
