package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func nodesCommand() *cli.Command {
	return &cli.Command{
		Name:  "nodes",
		Usage: "show the daemons of the mesh",
		Description: "Examples:\n" +
			"  springstack nodes\n" +
			"  springstack --output json nodes",
		Action: connected(func(ctx context.Context, _ *cli.Command, with online) error {
			members, refused := with.client.Members(ctx)
			if refused != nil {
				return with.finish(*refused)
			}
			with.printer.Members(members)
			return nil
		}),
	}
}
