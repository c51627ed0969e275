package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/operator/printer"
	"github.com/springstack/springstack/internal/result"
)

// standardInput names standard input in place of a file.
const standardInput = "-"

// online is what a command needs that talks to daemons.
type online struct {
	client  *client.Client
	printer *printer.Printer
	timeout time.Duration
}

// connected runs an action with a client, bounded by the timeout.
func connected(action func(context.Context, *cli.Command, online) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		settings, err := settingsOf(command)
		if err != nil {
			return errors.Trace(err)
		}
		connection, err := settings.Connect()
		if err != nil {
			return errors.Trace(err)
		}
		bounded, cancel := context.WithTimeout(ctx, settings.Timeout)
		defer cancel()
		return action(bounded, command, online{
			client: connection, printer: printerFor(command, settings), timeout: settings.Timeout,
		})
	}
}

func printerFor(command *cli.Command, settings client.Settings) *printer.Printer {
	root := command.Root()
	return &printer.Printer{Out: root.Writer, Progress: root.ErrWriter, Format: printer.Format(settings.Output)}
}

// finish prints an answer and ends the command with its exit status.
func (o online) finish(answer message.Answer) error {
	return finish(o.printer, answer)
}

func finish(to *printer.Printer, answer message.Answer) error {
	to.Answer(answer)
	if answer.Code == result.OK {
		return nil
	}
	return answered{code: answer.Code}
}

// argument returns the only argument of a command.
func argument(command *cli.Command, name string) (string, error) {
	if command.Args().Len() != 1 {
		return "", result.New(result.UsageError, "%s takes one argument, %s", command.Name, name)
	}
	return command.Args().First(), nil
}

// readFile reads and checks a file. What is wrong with it comes as an answer.
func readFile(command *cli.Command, path string) ([]byte, *resource.File, *message.Answer, error) {
	text, err := readText(command, path)
	if err != nil {
		return nil, nil, nil, errors.Trace(err)
	}
	file, problems := resource.Parse(path, text, resource.DefaultLimits())
	if len(problems) == 0 {
		return text, file, nil, nil
	}
	answer := message.Coded(problems[0].Code)
	answer.Errors = message.Problems(lo.Map(problems, func(problem *result.Error, _ int) result.Error { return *problem }))
	return nil, nil, &answer, nil
}

func readText(command *cli.Command, path string) ([]byte, error) {
	var from io.Reader = command.Root().Reader
	if path != standardInput {
		opened, err := os.Open(path)
		if err != nil {
			return nil, result.New(result.UsageError, "%v", err)
		}
		defer func() { _ = opened.Close() }()
		from = opened
	}
	// One byte more than allowed is enough to see that a file is too large.
	text, err := io.ReadAll(io.LimitReader(from, int64(resource.DefaultLimits().Bytes)+1))
	if err != nil {
		return nil, result.New(result.UsageError, "%s can't be read: %v", path, err)
	}
	return text, nil
}

// fileKey reads PARTNER/NAME.
func fileKey(text string) (resource.FileKey, error) {
	partner, name, found := strings.Cut(text, "/")
	if !found || !resource.ValidName(partner) || !resource.ValidName(name) {
		return resource.FileKey{}, result.New(result.UsageError, "%q is not PARTNER/NAME", text)
	}
	return resource.FileKey{Partner: resource.Partner(partner), Name: name}, nil
}

// Names of the flags of changes.
const (
	flagExpect    = "expect"
	flagOperation = "operation"
	flagWait      = "wait"
)

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagExpect, Usage: "`REVISION` that the file must still have; 0 for a file that is not there", HideDefault: true},
		&cli.StringFlag{Name: flagOperation, Usage: "operation `ID` of an earlier command whose outcome is unknown"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until the change is in force everywhere"},
	}
}

// send carries out a change of a whole file.
func (o online) send(ctx context.Context, command *cli.Command, change client.Change) error {
	if command.IsSet(flagExpect) {
		change.Expect = lo.ToPtr(command.Uint64(flagExpect))
	}
	change.Operation = command.String(flagOperation)
	answer := o.client.Change(ctx, change)
	taken := answer.Code == result.OK || answer.Code == result.Held
	if !taken || !command.Bool(flagWait) {
		return o.finish(answer)
	}
	o.printer.Answer(answer)
	return o.finish(o.client.Wait(ctx, goalOf(change, answer), o.printer.Watch()))
}

// goalOf returns what to wait for after a change: a withdrawal is in force
// with the version that it made, a file with its revision's.
func goalOf(change client.Change, answer message.Answer) client.Goal {
	if change.Action == protocol.ActionWithdraw {
		return client.Goal{Version: answer.Version}
	}
	return client.Goal{Partner: change.Partner, Name: change.Name, Revision: answer.Revision}
}

// sendFile sends the file named by the command's argument.
func sendFile(action protocol.Action) cli.ActionFunc {
	return connected(func(ctx context.Context, command *cli.Command, with online) error {
		path, err := argument(command, "FILE")
		if err != nil {
			return errors.Trace(err)
		}
		text, file, wrong, err := readFile(command, path)
		if err != nil {
			return errors.Trace(err)
		}
		if wrong != nil {
			return with.finish(*wrong)
		}
		return with.send(ctx, command, client.Change{
			Partner: string(file.Partner), Name: file.Name, Action: action, Content: text,
		})
	})
}
