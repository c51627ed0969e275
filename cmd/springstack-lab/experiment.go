package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// experimentCommand returns the command whose subcommands measure. Each prints
// one JSON object as its last line.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure springstack; the last line is one JSON object",
		Commands: []*cli.Command{
			requestPathCommand(),
			pipeliningCommand(),
			overloadCommand(),
			rollingCommand(),
			faultsCommand(),
			rolloutsCommand(),
			harmfulCommand(),
			quotasCommand(),
		},
	}
}

// experimentFlags are the flags that all experiments have, with more.
func experimentFlags(more ...cli.Flag) []cli.Flag {
	common := []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random draws"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
		&cli.StringFlag{Name: "record", Usage: "name under which the figures are kept in out/ for report; empty keeps none"},
	}
	return append(common, more...)
}

// progressTo returns a function that tells what an experiment is doing.
func progressTo(out io.Writer, experiment string) func(event string) {
	return func(event string) {
		_, _ = fmt.Fprintf(out, "event=experiment_progress experiment=%s phase=%s\n", experiment, event)
	}
}

// recordsDirectory is where raw figures are kept; it is not under version
// control.
const recordsDirectory = "out"

// finishExperiment keeps and prints the figures; violations make the command
// fail.
func finishExperiment(command *cli.Command, figures any, violations int) error {
	if name := command.String("record"); name != "" {
		if err := keepRecord(name, figures); err != nil {
			return errors.Trace(err)
		}
	}
	if err := printReport(command.Writer, command.String("output"), figures); err != nil {
		return errors.Trace(err)
	}
	if violations > 0 {
		return cli.Exit(fmt.Sprintf("%d violations", violations), 1)
	}
	return nil
}

// keepRecord writes figures to out/<name>.json.
func keepRecord(name string, figures any) error {
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(recordsDirectory, 0o755); err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(recordsDirectory, filepath.Base(name)+".json")
	return errors.Trace(os.WriteFile(path, append(text, '\n'), 0o644))
}
