package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/result"
)

// Names of the flags of wait.
const (
	flagVersion  = "version"
	flagRevision = "revision"
)

func waitCommand() *cli.Command {
	return &cli.Command{
		Name:      "wait",
		Usage:     "wait until a file or a version is in force everywhere",
		ArgsUsage: "[PARTNER/NAME]",
		Description: "Progress is shown meanwhile. It ends with timed_out after --timeout.\n\n" +
			"Examples:\n" +
			"  springstack --timeout 1m wait kameeldoring/routes\n" +
			"  springstack wait --revision 18 kameeldoring/routes\n" +
			"  springstack wait --version 42",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagVersion, Usage: "wait for this `VERSION`"},
			&cli.Uint64Flag{Name: flagRevision, Usage: "wait for at least this `REVISION` of the file"},
		},
		Action: connected(func(ctx context.Context, command *cli.Command, with online) error {
			goal, err := goalFrom(command)
			if err != nil {
				return errors.Trace(err)
			}
			return with.finish(with.client.Wait(ctx, goal, with.printer.Watch()))
		}),
	}
}

func goalFrom(command *cli.Command) (client.Goal, error) {
	if command.IsSet(flagVersion) && !command.Args().Present() && !command.IsSet(flagRevision) {
		return client.Goal{Version: command.Uint64(flagVersion)}, nil
	}
	if command.IsSet(flagVersion) {
		return client.Goal{}, result.New(result.UsageError, "wait for a file or for --version, not for both")
	}
	text, err := argument(command, "PARTNER/NAME")
	if err != nil {
		return client.Goal{}, errors.Trace(err)
	}
	key, err := fileKey(text)
	if err != nil {
		return client.Goal{}, errors.Trace(err)
	}
	return client.Goal{Partner: string(key.Partner), Name: key.Name, Revision: command.Uint64(flagRevision)}, nil
}
