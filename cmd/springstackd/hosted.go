package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/hosted"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
	"github.com/springstack/springstack/platform"
)

// settingsPath is the settings file of a command: that of its flag, or else
// the one that the platform names.
func settingsPath(command *cli.Command) string {
	if path := command.String(settingsFlag); path != "" {
		return path
	}
	return os.Getenv(platform.SettingsVariable)
}

// loadHosted reads the settings of a hosted daemon and prints every mistake.
func loadHosted(command *cli.Command) (settings.Hosted, error) {
	replaced, err := overrides(command)
	if err != nil {
		return settings.Hosted{}, err
	}
	loaded, mistakes := settings.LoadHosted(settingsPath(command), replaced)
	if len(mistakes) == 0 {
		return loaded, nil
	}
	for _, mistake := range mistakes {
		_, _ = command.ErrWriter.Write([]byte(mistake.Error() + "\n"))
	}
	return settings.Hosted{}, result.New(result.SettingsInvalid, "%d mistakes in the settings", len(mistakes))
}

// runHosted runs a daemon on a platform that holds the configuration.
func runHosted(ctx context.Context, command *cli.Command, hangups <-chan os.Signal) error {
	loaded, err := loadHosted(command)
	if err != nil {
		return errors.Trace(err)
	}
	level, err := logging.ParseLevel(loaded.Log.Level)
	if err != nil {
		return errors.Trace(err)
	}
	limitMemory(loaded.Machine)
	output := logging.NewQueue(os.Stdout)
	defer output.Close(outputWait)
	started := hosted.New(loaded, hosted.Options{
		Logger:       logging.NewTo(output, level),
		LinesDropped: output.Dropped,
		Platform:     platform.New(loaded),
	})
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchSettings(watching, settingsPath(command), hangups, func() {
		started.Reload(loadHosted(command))
	})
	return untilSignal(ctx, started)
}

// runtimeMemoryShare is the share of the machine's memory above which the runtime collects garbage more
// often. The rest is for memory outside the runtime and for bytes that sockets have received.
const runtimeMemoryShare = 0.8

// limitMemory sets the runtime's soft memory limit if the settings name the machine's memory. The limit
// of the environment variable GOMEMLIMIT precedes.
func limitMemory(machine settings.HostedMachine) {
	if machine.MemoryMegabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(machine.MemoryBytes())))
	}
}

// outputWait bounds the writing of the last log lines.
const outputWait = 300 * time.Millisecond

// settingsPeriod is how often the settings file is looked at.
const settingsPeriod = time.Second

// notifyHangups takes SIGHUP from now on, so that one that comes while the daemon starts
// does not end the process. What it returns stops that.
func notifyHangups() (hangups chan os.Signal, stop func()) {
	hangups = make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups, func() { signal.Stop(hangups) }
}

// watchSettings calls changed at each SIGHUP, and when the settings file was
// written without one.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	seen := fileVersion(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if fileVersion(path) == seen {
				continue
			}
		}
		seen = fileVersion(path)
		changed()
	}
}

// version tells whether a file was written.
type version struct {
	written time.Time
	bytes   int64
}

func fileVersion(path string) version {
	info, err := os.Stat(path)
	if err != nil {
		return version{}
	}
	return version{written: info.ModTime(), bytes: info.Size()}
}
