package main

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

// checkCommand returns the command that checks settings without running.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "check the settings and list every mistake",
		Flags:  settingsFlags(),
		Action: check,
	}
}

func check(_ context.Context, command *cli.Command) error {
	loaded, err := loadSettings(command)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(command.Writer, "event=settings_valid id=%s region=%s zone=%s\n",
		loaded.Node.ID, loaded.Node.Region, loaded.Node.Zone)
	return errors.Trace(err)
}
