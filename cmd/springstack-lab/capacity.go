package main

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/lab/capacity"
)

// plotsDirectory is where plots stand, beside the page.
const plotsDirectory = "plots"

// capacityCommand returns the command that writes docs/CAPACITY.md's tables
// from the records of scale runs.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "fit the records of scale runs and write the tables and plots of docs/CAPACITY.md",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "records", Value: recordsDirectory, Usage: "directory of the records scale-*.json"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "page to write into"},
		},
		Action: runCapacity,
	}
}

func runCapacity(_ context.Context, command *cli.Command) error {
	reports, err := capacity.ReadRecords(command.String("records"))
	if err != nil {
		return errors.Trace(err)
	}
	if len(reports) == 0 {
		return cli.Exit("no records; run scripts/capacity.sh", 1)
	}
	page := command.String("page")
	plots, err := capacity.Plots(reports, filepath.Join(filepath.Dir(page), plotsDirectory))
	if err != nil {
		return errors.Trace(err)
	}
	linked := lo.Map(plots, func(name string, _ int) string { return plotsDirectory + "/" + name })
	if err := capacity.WritePage(page, reports, linked); err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(command.Writer, "event=capacity_written page=%s runs=%d plots=%d\n", page, len(reports), len(plots))
	return errors.Trace(err)
}
