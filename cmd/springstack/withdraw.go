package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/operator/client"
)

func withdrawCommand() *cli.Command {
	return &cli.Command{
		Name:      "withdraw",
		Usage:     "withdraw a file as a whole",
		ArgsUsage: "PARTNER/NAME",
		Description: "It is refused while an accepted route needs what the file declares; the answer names it.\n\n" +
			"Examples:\n" +
			"  springstack withdraw kameeldoring/routes\n" +
			"  springstack withdraw --expect 17 --wait kameeldoring/routes",
		Flags: changeFlags(),
		Action: connected(func(ctx context.Context, command *cli.Command, with online) error {
			text, err := argument(command, "PARTNER/NAME")
			if err != nil {
				return errors.Trace(err)
			}
			key, err := fileKey(text)
			if err != nil {
				return errors.Trace(err)
			}
			return with.send(ctx, command, client.Change{
				Partner: string(key.Partner), Name: key.Name, Action: protocol.ActionWithdraw,
			})
		}),
	}
}
