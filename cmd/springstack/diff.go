package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a local file with its accepted revision",
		ArgsUsage: "FILE",
		Description: "Resources are compared by digest. Of secrets it only says whether they are equal.\n\n" +
			"Examples:\n" +
			"  springstack diff routes.yaml\n" +
			"  generate-routes | springstack diff -",
		Action: connected(func(ctx context.Context, command *cli.Command, with online) error {
			path, err := argument(command, "FILE")
			if err != nil {
				return errors.Trace(err)
			}
			text, _, wrong, err := readFile(command, path)
			if err != nil {
				return errors.Trace(err)
			}
			if wrong != nil {
				return with.finish(*wrong)
			}
			differences, refused := with.client.Diff(ctx, text)
			if refused != nil {
				return with.finish(*refused)
			}
			with.printer.Differences(differences)
			return nil
		}),
	}
}
