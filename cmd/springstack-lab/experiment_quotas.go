package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/lab/quotas"
)

// quotasCommand returns the experiment on ways to limit the calls of tenants.
func quotasCommand() *cli.Command {
	return &cli.Command{
		Name:  "quotas",
		Usage: "ways to limit the calls of tenants over all daemons, on the same drawn days in virtual time",
		Flags: experimentFlags(
			&cli.IntFlag{Name: "runs", Value: 4, Usage: "days that each way plays"},
			&cli.DurationFlag{Name: "length", Value: 24 * time.Second, Usage: "length of a day"},
			&cli.IntFlag{Name: "daemons", Value: 76, Usage: "daemons of the mesh"},
			&cli.IntFlag{Name: "tenants", Value: 80, Usage: "tenants"},
			&cli.FloatFlag{Name: "rate", Value: 1400, Usage: "usual calls a second of all tenants"},
			&cli.FloatFlag{Name: "hot", Value: 7.5, Usage: "how many times its usual one tenant sends"},
			&cli.BoolFlag{Name: "moves", Usage: "that tenant moves from zone to zone"},
			&cli.FloatFlag{Name: "cut", Value: 0.17, Usage: "fraction of the daemons that are cut off"},
			&cli.FloatFlag{Name: "kill", Value: 0.16, Usage: "fraction of the daemons that restart"},
		),
		Action: runQuotas,
	}
}

func runQuotas(_ context.Context, command *cli.Command) error {
	figures := quotas.Run(quotas.Options{
		Seed: command.Uint64("seed"), Runs: command.Int("runs"), Length: command.Duration("length"),
		Daemons: command.Int("daemons"), Tenants: command.Int("tenants"), PerSecond: command.Float("rate"),
		HotFactor: command.Float("hot"), HotMoves: command.Bool("moves"),
		CutShare: command.Float("cut"), KillShare: command.Float("kill"),
		Tolerance: quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
	})
	return finishExperiment(command, figures, figures[0].Overruns)
}
