package main

import (
	"context"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/result"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a result code, list all of them, or tell the story of a request",
		ArgsUsage: "[CODE] | REQUEST LOG...",
		Description: "A code may be given by number or by name. With log files of daemons (- for standard\n" +
			"input) the story of the request with that id is told: each decision in order, and\n" +
			"what the daemon that made it believed then. No daemon is asked.\n\n" +
			"Examples:\n" +
			"  springstack explain 205\n" +
			"  springstack explain outcome_unknown\n" +
			"  springstack --output json explain\n" +
			"  springstack explain 9c41d07be2a35f68 klein-1.log eros-1.log",
		Action: func(_ context.Context, command *cli.Command) error {
			settings, err := settingsOf(command)
			if err != nil {
				return errors.Trace(err)
			}
			to := printerFor(command, settings)
			if !command.Args().Present() {
				to.ExplainAll(result.Entries())
				return nil
			}
			if command.Args().Len() > 1 {
				return explainRequest(command)
			}
			text, err := argument(command, "CODE")
			if err != nil {
				return errors.Trace(err)
			}
			entry, found := findCode(text)
			if !found {
				return result.New(result.UsageError, "there is no result code %q", text)
			}
			to.Explain(entry)
			return nil
		},
	}
}

// findCode finds a code by number, name, or as printed (springstack-205).
func findCode(text string) (result.Entry, bool) {
	number, err := strconv.Atoi(strings.TrimPrefix(text, "springstack-"))
	return lo.Find(result.Entries(), func(entry result.Entry) bool {
		return entry.Name == text || err == nil && int(entry.Code) == number
	})
}
