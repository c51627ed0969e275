package main

import (
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/logging/story"
	"github.com/springstack/springstack/internal/result"
)

// explainRequest tells the story of a request from log files.
func explainRequest(command *cli.Command) error {
	arguments := command.Args().Slice()
	var lines []story.Line
	for _, path := range arguments[1:] {
		read, err := readLog(command, path)
		if err != nil {
			return result.New(result.UsageError, "the log %s can't be read: %s", path, err)
		}
		lines = append(lines, read...)
	}
	told, err := story.Tell(lines, arguments[0])
	if err != nil {
		return result.New(result.UsageError, "%s in %d lines of logs", err, len(lines))
	}
	return errors.Trace(told.Print(command.Root().Writer))
}

// readLog reads one log file, or standard input.
func readLog(command *cli.Command, path string) ([]story.Line, error) {
	var from io.Reader = command.Root().Reader
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer file.Close()
		from = file
	}
	return story.Read(from)
}
