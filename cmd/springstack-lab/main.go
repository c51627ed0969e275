// Command springstack-lab is the project's own emulator, load and experiment
// tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name:  "springstack-lab",
		Usage: "emulate, load and measure springstack",
		Commands: []*cli.Command{
			backendCommand(),
			demoCommand(),
			experimentCommand(),
			fuzzCommand(), soakCommand(),
			mutantsCommand(),
			platformCommand(),
			reportCommand(),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
