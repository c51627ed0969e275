package main

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/operator/printer"
	"github.com/springstack/springstack/internal/result"
)

// Names of the flags that all commands share.
const (
	flagServer      = "server"
	flagTokenFile   = "token-file"
	flagCA          = "ca-file"
	flagCertificate = "certificate-file"
	flagKey         = "key-file"
	flagSettings    = "settings"
	flagOutput      = "output"
	flagTimeout     = "timeout"
)

// defaultTimeout bounds a command.
const defaultTimeout = 30 * time.Second

// streams are where a command reads and writes.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// answered ends a command whose answer is printed already, with the exit
// status of its code.
type answered struct{ code result.Code }

// Error returns the name of the code.
func (a answered) Error() string { return a.code.Name() }

// run runs one command line and returns its exit status.
func run(ctx context.Context, arguments []string, on streams) int {
	app := newApp(on)
	err := app.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	var done answered
	if errors.As(err, &done) {
		return exitStatus(done.code)
	}
	answer := refusalOf(err)
	to := printer.Printer{Out: on.err, Format: printer.Format(app.String(flagOutput))}
	if to.Format == printer.JSON {
		to.Out = on.out
	}
	to.Answer(answer)
	return exitStatus(answer.Code)
}

// refusalOf words an error that kept a command from running.
func refusalOf(err error) message.Answer {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return message.Refusal(result.UsageError, err.Error())
	}
	answer := message.Refusal(coded.Code, coded.Detail)
	if coded.Mend != "" {
		answer.Errors[0].Mend = coded.Mend
	}
	return answer
}

func exitStatus(code result.Code) int {
	entry, _ := result.Lookup(code)
	return entry.Exit
}

func newApp(on streams) *cli.Command {
	return &cli.Command{
		Name:  "springstack",
		Usage: "submit, replace and withdraw configuration files and see where they are in force",
		Description: "Flags may also be given by the environment variables shown and in a YAML settings file:\n" +
			"flags win over the environment, the environment over the file.\n" +
			"Exit statuses are listed by `springstack explain`.",
		Reader:          on.in,
		Writer:          on.out,
		ErrWriter:       on.err,
		HideVersion:     true,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		OnUsageError:    func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		CommandNotFound: func(context.Context, *cli.Command, string) {},
		Flags:           sharedFlags(),
		Commands: []*cli.Command{
			submitCommand(), replaceCommand(), withdrawCommand(), statusCommand(), waitCommand(),
			diffCommand(), explainCommand(), validateCommand(), nodesCommand(),
		},
		Action: unknownCommand,
	}
}

// unknownCommand runs when no command is named.
func unknownCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return result.New(result.UsageError, "command %q is not known", command.Args().First())
	}
	return cli.ShowRootCommandHelp(command)
}

func sharedFlags() []cli.Flag {
	variable := func(name string) cli.ValueSourceChain { return cli.EnvVars("SPRINGSTACK_" + name) }
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagServer, Usage: "URL of a daemon's operators' `ADDRESS`; repeat it to name others to try", Sources: variable("SERVERS")},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` with the partner's token", Sources: variable("TOKEN_FILE")},
		&cli.StringFlag{Name: flagCA, Usage: "`FILE` with certificates that verify the servers", Sources: variable("CA_FILE")},
		&cli.StringFlag{Name: flagCertificate, Usage: "`FILE` with the client's certificate", Sources: variable("CERTIFICATE_FILE")},
		&cli.StringFlag{Name: flagKey, Usage: "`FILE` with the certificate's key", Sources: variable("KEY_FILE")},
		&cli.StringFlag{Name: flagSettings, Usage: "`FILE` with these settings in YAML", Sources: variable("SETTINGS")},
		&cli.StringFlag{Name: flagOutput, Usage: "table or json", Sources: variable("OUTPUT")},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` that a command takes (default: 30s)", HideDefault: true, Sources: variable("TIMEOUT")},
	}
}

// settingsOf joins flags, environment, settings file and defaults.
func settingsOf(command *cli.Command) (client.Settings, error) {
	settings := client.Settings{}
	if path := command.String(flagSettings); path != "" {
		loaded, err := client.LoadSettings(path)
		if err != nil {
			return settings, errors.Trace(err)
		}
		settings = loaded
	}
	if command.IsSet(flagServer) {
		settings.Servers = command.StringSlice(flagServer)
	}
	override(command, flagTokenFile, &settings.TokenFile)
	override(command, flagCA, &settings.CAFile)
	override(command, flagCertificate, &settings.CertificateFile)
	override(command, flagKey, &settings.KeyFile)
	override(command, flagOutput, &settings.Output)
	if command.IsSet(flagTimeout) {
		settings.Timeout = command.Duration(flagTimeout)
	}
	if settings.Timeout <= 0 {
		settings.Timeout = defaultTimeout
	}
	if settings.Output == "" {
		settings.Output = string(printer.Table)
	}
	if settings.Output != string(printer.Table) && settings.Output != string(printer.JSON) {
		return settings, result.New(result.UsageError, "output %q is not table or json", settings.Output)
	}
	return settings, nil
}

func override(command *cli.Command, flag string, setting *string) {
	if command.IsSet(flag) {
		*setting = command.String(flag)
	}
}
