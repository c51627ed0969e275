package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show versions, zones and files",
		Description: "Files of the other partner are shown only if they export services to you.\n\n" +
			"Examples:\n" +
			"  springstack status\n" +
			"  springstack --output json status",
		Action: connected(func(ctx context.Context, _ *cli.Command, with online) error {
			status, refused := with.client.Status(ctx)
			if refused != nil {
				return with.finish(*refused)
			}
			with.printer.Status(status)
			return nil
		}),
	}
}
