package main

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/settings"
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
	node, err := checkedNode(command)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintf(command.Writer, "event=settings_valid id=%s region=%s zone=%s\n", node.ID, node.Region, node.Zone)
	return errors.Trace(err)
}

// checkedNode checks settings of either kind and returns whose they are.
func checkedNode(command *cli.Command) (settings.Node, error) {
	if settings.IsHosted(settingsPath(command)) {
		loaded, err := loadHosted(command)
		return loaded.Node, err
	}
	loaded, err := loadSettings(command)
	return loaded.Node, err
}
