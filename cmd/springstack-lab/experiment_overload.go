package main

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/overload"
	"github.com/springstack/springstack/internal/proxy"
)

// overloadCommand returns the experiment on more load than there is capacity.
func overloadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overload",
		Usage: "goodput, priorities, partners' shares and retries beyond capacity",
		Flags: experimentFlags(
			&cli.StringFlag{Name: "baseline", Value: "none", Usage: "none, round-robin, no-queue-bound or unbudgeted-retries"},
			&cli.DurationFlag{Name: "step", Value: 6 * time.Second, Usage: "how long each load is offered"},
		),
		Action: runOverload,
	}
}

// overloadBaseline finds what a baseline leaves out.
func overloadBaseline(name string) (proxy.Baseline, error) {
	switch name {
	case "none":
		return proxy.Baseline{}, nil
	case "round-robin":
		return proxy.Baseline{RoundRobin: true}, nil
	case "no-queue-bound":
		return proxy.Baseline{UnboundedQueue: true}, nil
	case "unbudgeted-retries":
		return proxy.Baseline{UnbudgetedRetries: true}, nil
	}
	return proxy.Baseline{}, errors.NotFoundf("baseline %q", name)
}

func runOverload(ctx context.Context, command *cli.Command) error {
	name := command.String("baseline")
	baseline, err := overloadBaseline(name)
	if err != nil {
		return errors.Trace(err)
	}
	figures, err := overload.Run(ctx, overload.Options{
		Seed:         command.Uint64("seed"),
		Baseline:     baseline,
		BaselineName: name,
		Step:         command.Duration("step"),
		Progress:     progressTo(command.ErrWriter, command.Name),
	})
	if err != nil {
		return errors.Trace(err)
	}
	return finishExperiment(command, figures, figures.Violations)
}
