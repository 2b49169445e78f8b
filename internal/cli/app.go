// Package cli implements the command-line tool for callers and operators. Each command has a file of its own.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
)

// Exit codes of the tool.
const (
	// ExitCompleted means that the command completed.
	ExitCompleted = 0
	// ExitFailed means that a task or a job failed, or that a check found violations.
	ExitFailed = 1
	// ExitUsage means that the arguments or the input are invalid.
	ExitUsage = 2
	// ExitNotRun means that the request was not carried out, or that a query failed.
	ExitNotRun = 3
	// ExitUnknown means that the outcome is not known, or not known yet.
	ExitUnknown = 4
)

// Names of the global flags.
const (
	flagServer   = "server"
	flagCaller   = "caller"
	flagRetryFor = "retry-for"
	flagJSON     = "json"
)

const (
	defaultServer   = "127.0.0.1:8080"
	defaultCaller   = "cli"
	defaultRetryFor = 30 * time.Second
)

// Streams holds the tool's standard input, output and error.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Main runs the tool with args, of which the first is the program's name, and returns the exit code.
func Main(ctx context.Context, args []string, streams Streams) int {
	a := &app{streams: streams}
	err := a.command().Run(ctx, args)
	if err == nil {
		return ExitCompleted
	}
	var exit *exitError
	if errors.As(err, &exit) {
		fmt.Fprintln(streams.Err, exit.message)
		return exit.code
	}
	fmt.Fprintln(streams.Err, err)
	return ExitUsage
}

// app holds the state of one run of the tool.
type app struct {
	streams Streams
}

// exitError is an error with an exit code. The tool ends with ExitUsage after any other error.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.message
}

// command returns the root command.
func (a *app) command() *cli.Command {
	return &cli.Command{
		Name:           "laburnumpoint",
		Usage:          "run work on a cell and operate it",
		Writer:         a.streams.Out,
		ErrWriter:      a.streams.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          globalFlags(),
		Commands: []*cli.Command{
			a.runCommand(),
			a.jobCommand(),
			a.graphCommand(),
			a.reportCommand(),
			a.cancelCommand(),
			a.whyCommand(),
			a.configCommand(),
			a.shardsCommand(),
			a.workersCommand(),
			a.teamsCommand(),
			a.membersCommand(),
			a.drainCommand(),
			a.undrainCommand(),
			a.loadCommand(),
			a.checkCommand(),
		},
	}
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    flagServer,
			Usage:   "entry VMs' addresses, `IP:PORT`; several are tried in turn",
			Value:   []string{defaultServer},
			Sources: cli.EnvVars("LABURNUMPOINT_SERVER"),
		},
		&cli.StringFlag{
			Name:    flagCaller,
			Usage:   "`NAME` of the caller",
			Value:   defaultCaller,
			Sources: cli.EnvVars("LABURNUMPOINT_CALLER"),
		},
		&cli.DurationFlag{
			Name:  flagRetryFor,
			Usage: "`TIME` during which a request is sent again where that is safe",
			Value: defaultRetryFor,
		},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
	}
}

// newClient returns a client with the servers, caller and retry time of the global flags.
func newClient(cmd *cli.Command) (*client.Client, error) {
	return client.New(client.Options{
		Servers:  cmd.StringSlice(flagServer),
		Caller:   cmd.String(flagCaller),
		RetryFor: cmd.Duration(flagRetryFor),
	})
}

// oneArg returns the command's only argument; name says in an error what it is.
func oneArg(cmd *cli.Command, name string) (string, error) {
	if cmd.NArg() != 1 {
		return "", fmt.Errorf("%s: %d arguments given, want one: the %s", cmd.Name, cmd.NArg(), name)
	}
	return cmd.Args().First(), nil
}

// noArgs returns an error if the command has arguments.
func noArgs(cmd *cli.Command) error {
	if cmd.NArg() != 0 {
		return fmt.Errorf("%s: unexpected argument %q", cmd.Name, cmd.Args().First())
	}
	return nil
}

// outcomeError returns an error with the exit code for o, or nil if o is completed.
func outcomeError(o client.Outcome) error {
	if o.Result == cell.ResultCompleted {
		return nil
	}
	return &exitError{code: exitCode(o), message: string(o.Result) + ": " + o.Reason.String()}
}

// exitCode returns the exit code for o.
func exitCode(o client.Outcome) int {
	switch {
	case o.Result == cell.ResultFailed:
		return ExitFailed
	case client.BadInput(o.Status):
		return ExitUsage
	case o.Result == cell.ResultNotRun:
		return ExitNotRun
	default:
		return ExitUnknown
	}
}

// queryError returns an error with the exit code for a failed query, or nil if err is nil.
func queryError(err error) error {
	if err == nil {
		return nil
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) && refused.BadInput() {
		return &exitError{code: ExitUsage, message: refused.Error()}
	}
	return &exitError{code: ExitNotRun, message: err.Error()}
}
