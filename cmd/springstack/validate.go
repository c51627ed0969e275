package main

import (
	"context"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/operator/printer"
	"github.com/springstack/springstack/internal/result"
)

// flagComplete names the flag of validate.
const flagComplete = "complete"

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check files without asking a daemon",
		ArgsUsage: "FILE...",
		Description: "All mistakes are listed. Names that two files of a partner declare are found as well.\n" +
			"With --complete, references must be satisfied by the files given.\n\n" +
			"Examples:\n" +
			"  springstack validate routes.yaml\n" +
			"  springstack validate --complete examples/*.yaml",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagComplete, Usage: "also check that the files satisfy each other's references"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			settings, err := settingsOf(command)
			if err != nil {
				return errors.Trace(err)
			}
			if !command.Args().Present() {
				return result.New(result.UsageError, "validate takes one or more files")
			}
			return validate(command, printerFor(command, settings))
		},
	}
}

func validate(command *cli.Command, to *printer.Printer) error {
	var files []*resource.File
	var problems []message.Problem
	for _, path := range command.Args().Slice() {
		_, file, wrong, err := readFile(command, path)
		if err != nil {
			return errors.Trace(err)
		}
		if wrong != nil {
			problems = append(problems, wrong.Errors...)
			continue
		}
		problems = append(problems, message.Problems(resource.NameConflicts(file, files))...)
		problems = append(problems, repeated(file, files)...)
		files = append(files, file)
	}
	if command.Bool(flagComplete) && len(problems) == 0 {
		problems = missing(files)
	}
	answer := message.Coded(result.OK)
	if len(problems) > 0 {
		answer = message.Coded(problems[0].Code)
		answer.Errors = problems
	}
	return finish(to, answer)
}

func missing(files []*resource.File) []message.Problem {
	return lo.Map(resource.MissingReferences(files), func(reference resource.Reference, _ int) message.Problem {
		problem := result.Error{
			Code: result.FileBadReference, File: reference.File.Name, Detail: reference.String(),
			Mend: "Add the missing piece or correct the reference.",
		}
		return message.Problems([]result.Error{problem})[0]
	})
}

// repeated finds a file that was given already, perhaps under another path.
func repeated(file *resource.File, others []*resource.File) []message.Problem {
	found := lo.ContainsBy(others, func(other *resource.File) bool { return other.Key() == file.Key() })
	if !found {
		return nil
	}
	problem := result.Error{
		Code: result.NameTaken, File: file.Name, Detail: "two of the files call themselves " + file.Key().String(),
		Mend: "Rename one of the two.",
	}
	return message.Problems([]result.Error{problem})
}
