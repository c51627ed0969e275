// Command springstackd is the daemon that runs on every machine of the mesh.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/result"
)

func main() {
	os.Exit(run(context.Background(), os.Args))
}

// run runs the command line and returns the exit status.
func run(ctx context.Context, arguments []string) int {
	command := &cli.Command{
		Name:     "springstackd",
		Usage:    "distribute configuration and carry calls on this machine",
		Commands: []*cli.Command{runCommand(), checkCommand()},
		// The exit status is decided below, and main alone exits.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := command.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return exitStatus(err)
}

// failureStatus is the exit status of failures without a code.
const failureStatus = 1

// exitStatus returns the exit status of the error's result code.
func exitStatus(err error) int {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return failureStatus
	}
	entry, found := result.Lookup(coded.Code)
	if !found || entry.Exit == 0 {
		return failureStatus
	}
	return entry.Exit
}
