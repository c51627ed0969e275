package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/soak"
	"github.com/springstack/springstack/internal/result"
)

// soakCommand returns the command that runs real daemons under faults.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real daemons as processes under random faults and hold them to their promises",
		Description: "The last line is a JSON object. Settings and logs of the daemons stay in the folder.\n\n" +
			"Example:\n" +
			"  go build -o /tmp/springstackd ./cmd/springstackd\n" +
			"  springstack-lab soak --program /tmp/springstackd --directory /tmp/soak --duration 2m --seed 7",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Required: true, Usage: "path of springstackd"},
			&cli.StringFlag{Name: "directory", Required: true, Usage: "folder for settings and logs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the faults"},
			&cli.DurationFlag{Name: "duration", Value: time.Minute, Usage: "how long faults go on"},
			&cli.IntFlag{Name: "machines", Value: 8, Usage: "daemons, at most 60"},
			&cli.IntFlag{Name: "zones", Value: 4, Usage: "zones"},
			&cli.BoolFlag{Name: "planned", Usage: "only planned work: stops, restarts, reloads, changes"},
			&cli.BoolFlag{Name: "harmful", Value: true, Usage: "requests that end each upstream that runs them"},
			&cli.IntFlag{Name: "clients", Value: 3, Usage: "clients on each machine"},
		},
		Action: runSoak,
	}
}

// soakMachines bounds the processes that a soak starts.
const soakMachines = 60

func runSoak(ctx context.Context, command *cli.Command) error {
	machines := command.Int("machines")
	if machines < 1 || machines > soakMachines {
		return result.New(result.UsageError, "--machines takes 1 to %d", soakMachines)
	}
	if err := os.MkdirAll(command.String("directory"), 0o700); err != nil {
		return errors.Trace(err)
	}
	began := time.Now()
	report, err := soak.Run(ctx, soak.Options{
		Program:   command.String("program"),
		Directory: command.String("directory"),
		Seed:      command.Uint64("seed"),
		Duration:  command.Duration("duration"),
		Machines:  machines,
		Zones:     command.Int("zones"),
		Clients:   command.Int("clients"),
		Latency:   time.Millisecond,
		Planned:   command.Bool("planned"),
		Harmful:   command.Bool("harmful"),
	}, func(event, detail string) {
		_, _ = fmt.Fprintf(command.ErrWriter, "event=soak_%s at=%.1f what=%q\n", event, time.Since(began).Seconds(), detail)
	})
	if err != nil {
		return errors.Trace(err)
	}
	text, err := json.Marshal(report)
	if err != nil {
		return errors.Trace(err)
	}
	_, _ = fmt.Fprintln(command.Writer, string(text))
	if len(report.Violations) > 0 {
		return result.New(result.Internal, "%d promises were broken", len(report.Violations))
	}
	return nil
}
