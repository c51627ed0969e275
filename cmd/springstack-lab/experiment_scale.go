package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/scale"
)

// scaleCommand returns the experiment on what daemons cost at a size.
func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure what each role costs at a size, and a restart of all daemons at once",
		Flags: experimentFlags(
			&cli.IntFlag{Name: "daemons", Value: 100, Usage: "number of hollow daemons"},
			&cli.IntFlag{Name: "services", Value: 190, Usage: "number of services in the catalogue"},
			&cli.IntFlag{Name: "changes", Value: 24, Usage: "changes, made one after the other"},
			&cli.IntFlag{Name: "restarts", Value: 12, Usage: "restarts, made one after the other"},
			&cli.BoolFlag{Name: "herd", Value: true, Usage: "restart all daemons at once at the end"},
			&cli.DurationFlag{Name: "rest", Usage: "how long the mesh is watched without events; 0 for the default"},
		),
		Action: runScale,
	}
}

func runScale(ctx context.Context, command *cli.Command) error {
	options := scale.DefaultOptions(command.Int("daemons"), command.Int("services"), command.Uint64("seed"))
	options.Changes = command.Int("changes")
	options.Restarts = command.Int("restarts")
	options.Herd = command.Bool("herd")
	options.Progress = progressTo(command.ErrWriter, "scale")
	if rest := command.Duration("rest"); rest > 0 {
		options.Rest = rest
	}
	report, err := scale.Run(ctx, options)
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, report, report.Violations)
}
