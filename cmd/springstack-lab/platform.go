package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/standin"
)

// platformCommand returns the command that serves the platform stand-in.
func platformCommand() *cli.Command {
	limits := standin.DefaultLimits()
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the platform stand-in until SIGTERM or SIGINT; see docs/PLATFORM.md",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "IP:port to serve on"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the faults' draws"},
			&cli.IntFlag{Name: "readers", Value: limits.Readers, Usage: "readers admitted; 0 for no limit"},
		},
		Action: servePlatform,
	}
}

func servePlatform(ctx context.Context, command *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	limits := standin.DefaultLimits()
	limits.Readers = command.Int("readers")
	server := standin.NewServer(standin.NewService(limits, command.Uint64("seed")))
	url, err := server.Start(command.String("listen"))
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := fmt.Fprintf(command.Writer, "event=platform_started url=%s\n", url); err != nil {
		return errors.Trace(err)
	}
	<-ctx.Done()
	return errors.Trace(server.Close())
}
