package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/rolling"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// rollingCommand returns the experiment on planned stops.
func rollingCommand() *cli.Command {
	return &cli.Command{
		Name:  "rolling-restart",
		Usage: "restart every daemon and back end in turn under calls that may not be repeated",
		Flags: experimentFlags(
			&cli.StringFlag{Name: "deployment", Value: "windhoek", Usage: "windhoek or accra"},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second; 0 means the default"},
			&cli.BoolFlag{Name: "without-news", Usage: "keep the news that an endpoint leaves from spreading; implies --static"},
			&cli.BoolFlag{Name: "static", Usage: "data paths only, without the control plane"},
		),
		Action: runRolling,
	}
}

func runRolling(ctx context.Context, command *cli.Command) error {
	deployment, err := scenario.ByName(command.String("deployment"))
	if err != nil {
		return errors.Trace(err)
	}
	figures, err := rolling.Run(ctx, rolling.Options{
		Deployment:  deployment,
		Seed:        command.Uint64("seed"),
		Rate:        command.Float("rate"),
		WithoutNews: command.Bool("without-news"),
		Static:      command.Bool("static"),
		Progress:    progressTo(command.ErrWriter, command.Name),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, figures, figures.Violations)
}
