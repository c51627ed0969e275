package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/backend"
)

// backendCommand returns the command that serves one emulated back end.
func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "serve an emulated back end; SIGTERM or SIGINT stops it once its calls have ended",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8001", Usage: "IP:port to serve on"},
			&cli.StringFlag{Name: "name", Value: "backend", Usage: "name that answers give"},
			&cli.IntFlag{Name: "slots", Value: backend.DefaultSlots, Usage: "calls that run at once"},
			&cli.DurationFlag{Name: "service", Value: 5 * time.Millisecond, Usage: "mean service time"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
		},
		Action: serveBackend,
	}
}

func serveBackend(ctx context.Context, command *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config := backend.Config{
		Slots:       command.Int("slots"),
		MeanService: command.Duration("service"),
		Seed:        command.Uint64("seed"),
	}
	server, err := backend.Start(command.String("name"), command.String("listen"), config, time.Now(), nil)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := fmt.Fprintf(command.Writer, "event=backend_started name=%s address=%s\n", server.Name(), server.Address()); err != nil {
		return errors.Trace(err)
	}
	<-ctx.Done()
	server.Drain()
	return errors.Trace(server.Stop(context.WithoutCancel(ctx)))
}
