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
		Usage:     "explain a result code, or list all of them",
		ArgsUsage: "[CODE]",
		Description: "A code may be given by number or by name. No daemon is asked.\n\n" +
			"Examples:\n" +
			"  springstack explain 205\n" +
			"  springstack explain outcome_unknown\n" +
			"  springstack --output json explain",
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
