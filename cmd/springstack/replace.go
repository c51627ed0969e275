package main

import (
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/core/protocol"
)

func replaceCommand() *cli.Command {
	return &cli.Command{
		Name:      "replace",
		Usage:     "replace a file as a whole",
		ArgsUsage: "FILE",
		Description: "With --expect the file is replaced only if it still has that revision; otherwise the\n" +
			"answer is revision_mismatch and shows the winner's revision.\n\n" +
			"Examples:\n" +
			"  springstack replace routes.yaml\n" +
			"  springstack replace --expect 17 --wait routes.yaml",
		Flags:  changeFlags(),
		Action: sendFile(protocol.ActionReplace),
	}
}
