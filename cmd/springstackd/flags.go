package main

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/access"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

// settingsFlag names the settings file.
const settingsFlag = "settings"

// setFlag replaces any field of the settings file.
const setFlag = "set"

// shorthand is a flag that replaces one field of the settings file.
type shorthand struct {
	flag  string
	field string
	usage string
}

// shorthands are the fields that differ from machine to machine; --set reaches
// all others.
var shorthands = []shorthand{
	{"id", "node.id", "identity of the machine, as in the machine list"},
	{"region", "node.region", "region of the machine"},
	{"zone", "node.zone", "zone of the machine"},
	{"callers", "listen.callers", "IP:port for callers"},
	{"gate", "listen.gate", "IP:port for calls of other daemons"},
	{"control", "listen.control", "IP:port for the control protocol"},
	{"operators", "listen.operators", "IP:port of the operators' API"},
	{"admin", "listen.admin", "IP:port of liveness, readiness and metrics"},
	{"seeds", "mesh.seeds", "control addresses of some daemons, separated by commas"},
	{"platform", "platform.url", "URL of the platform's service"},
	{"log-level", "log.level", "debug, info, warn or error"},
}

// settingsFlags are the flags of every command that reads settings.
func settingsFlags(more ...cli.Flag) []cli.Flag {
	flags := []cli.Flag{
		&cli.StringFlag{Name: settingsFlag, Usage: "settings file in YAML"},
		&cli.StringSliceFlag{Name: setFlag, Usage: "field=value that replaces a field of the settings file"},
	}
	for _, short := range shorthands {
		flags = append(flags, &cli.StringFlag{Name: short.flag, Usage: short.usage})
	}
	return append(flags, more...)
}

// overrides returns what the flags replace, in order of precedence.
func overrides(command *cli.Command) ([]settings.Override, error) {
	var replaced []settings.Override
	for _, pair := range command.StringSlice(setFlag) {
		field, value, found := strings.Cut(pair, "=")
		if !found {
			return nil, result.New(result.UsageError, "--%s %q is not field=value", setFlag, pair)
		}
		replaced = append(replaced, settings.Override{Field: field, Value: value})
	}
	for _, short := range shorthands {
		if command.IsSet(short.flag) {
			replaced = append(replaced, settings.Override{Field: short.field, Value: command.String(short.flag)})
		}
	}
	return replaced, nil
}

// loadSettings reads the settings and prints every mistake.
func loadSettings(command *cli.Command) (settings.Settings, error) {
	replaced, err := overrides(command)
	if err != nil {
		return settings.Settings{}, err
	}
	loaded, mistakes := settings.Load(command.String(settingsFlag), replaced)
	if len(mistakes) == 0 {
		mistakes = access.Check(loaded, time.Now())
	}
	if len(mistakes) == 0 {
		return loaded, nil
	}
	for _, mistake := range mistakes {
		_, _ = command.ErrWriter.Write([]byte(mistake.Error() + "\n"))
	}
	return settings.Settings{}, result.New(result.SettingsInvalid, "%d mistakes in the settings", len(mistakes))
}
