package main

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/report"
)

// reportCommand returns the command that draws plots and adds rounds to the
// page of measurements.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "draw plots from kept figures; with --round add a table to the page of measurements",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "records", Value: recordsDirectory, Usage: "directory of the kept figures"},
			&cli.StringFlag{Name: "plots", Value: "docs/plots", Usage: "directory of the plots"},
			&cli.StringFlag{Name: "page", Value: "docs/MEASUREMENTS.md", Usage: "page that a round is added to"},
			&cli.StringFlag{Name: "round", Usage: "title of a round to add"},
			&cli.StringFlag{Name: "cause", Usage: "why the change was made"},
			&cli.StringFlag{Name: "change", Usage: "what was changed"},
			&cli.StringFlag{Name: "conclusion", Usage: "what the figures say"},
			&cli.StringFlag{Name: "before", Usage: "record from before the change"},
			&cli.StringFlag{Name: "after", Usage: "record from after the change"},
		},
		Action: runReport,
	}
}

func runReport(_ context.Context, command *cli.Command) error {
	records, err := report.ReadRecords(command.String("records"))
	if err != nil {
		return errors.Trace(err)
	}
	if command.String("round") != "" {
		return errors.Trace(addRound(command, records))
	}
	written, err := report.Plots(records, command.String("plots"))
	if err != nil {
		return errors.Trace(err)
	}
	for _, path := range written {
		_, _ = fmt.Fprintf(command.Writer, "event=plot_written path=%s\n", path)
	}
	return nil
}

// addRound appends one round to the page.
func addRound(command *cli.Command, records []report.Record) error {
	page, err := os.OpenFile(command.String("page"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	defer page.Close()
	return errors.Trace(report.WriteRound(page, report.Round{
		Title:      command.String("round"),
		Cause:      command.String("cause"),
		Change:     command.String("change"),
		Conclusion: command.String("conclusion"),
		Before:     command.String("before"),
		After:      command.String("after"),
	}, records))
}
