package main

import (
	"context"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/demo"
	"github.com/springstack/springstack/internal/logging"
)

// demoCommand returns the command that plays the whole path in one process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "play the whole path in one process over loopback TCP",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random draws"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the daemons' events on stderr"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	options := demo.Options{Out: command.Writer, Seed: command.Uint64("seed")}
	if command.Bool("verbose") {
		options.Logger = logging.NewTo(command.ErrWriter, log.InfoLevel)
	}
	return errors.Trace(demo.Run(ctx, options))
}
