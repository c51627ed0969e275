package main

import (
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/core/protocol"
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a new file",
		ArgsUsage: "FILE",
		Description: "The file is checked here first. It must not be there yet; `replace` changes one that is.\n" +
			"If the answer is lost, the same operation is sent again, also to the other servers.\n\n" +
			"Examples:\n" +
			"  springstack submit routes.yaml\n" +
			"  springstack --timeout 1m submit --wait routes.yaml\n" +
			"  springstack submit --operation 1767225600000-9f86d081884c7d65 routes.yaml   # after an unknown outcome",
		Flags:  changeFlags(),
		Action: sendFile(protocol.ActionSubmit),
	}
}
