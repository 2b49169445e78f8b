package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// UsageExitCode is the daemon's exit code if its settings are invalid.
const UsageExitCode = 2

// ErrHelp means that the arguments requested help, which was written.
var ErrHelp = errors.New("settings: help requested")

// Problem is one invalid setting.
type Problem struct {
	// Flag is the flag's name without dashes; empty if the problem is not that of a single flag.
	Flag    string
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Flag == "" {
		return p.Message
	}
	return "--" + p.Flag + ": " + p.Message
}

// ValidationError lists every problem of the settings.
type ValidationError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the settings from args, the first of which is the program's name, and from the environment. A flag takes
// precedence over its environment variable. Help is written to out.
// Errors: ErrHelp; *ValidationError with every problem.
func Parse(args []string, out io.Writer) (Settings, error) {
	var s Settings
	var problems []Problem
	actionRan := false
	cmd := newCommand(out, func(cmd *cli.Command) {
		actionRan = true
		s, problems = readSettings(cmd)
	})
	if err := cmd.Run(context.Background(), args); err != nil {
		return Settings{}, &ValidationError{Problems: []Problem{{Message: err.Error()}}}
	}
	if !actionRan {
		return Settings{}, ErrHelp
	}
	if len(problems) > 0 {
		return Settings{}, &ValidationError{Problems: problems}
	}
	return s, nil
}

func newCommand(out io.Writer, action func(*cli.Command)) *cli.Command {
	return &cli.Command{
		Name:            "laburnumpointd",
		Usage:           "schedule the work of a cell, as one of its entry VMs",
		Flags:           newFlags(),
		HideHelpCommand: true,
		Writer:          out,
		ErrWriter:       io.Discard, // the returned error lists every problem
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		OnUsageError:    func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action: func(_ context.Context, cmd *cli.Command) error {
			action(cmd)
			return nil
		},
	}
}

func newFlags() []cli.Flag {
	options := Options()
	out := make([]cli.Flag, len(options))
	for i, o := range options {
		out[i] = &cli.StringFlag{
			Name:    o.Flag,
			Usage:   fmt.Sprintf("%s (%s)", o.Usage, o.Unit),
			Value:   o.Default,
			Sources: cli.EnvVars(o.Env()),
		}
	}
	return out
}

// readSettings parses every flag. If each is valid by itself, it checks their combinations.
func readSettings(cmd *cli.Command) (Settings, []Problem) {
	var s Settings
	var problems []Problem
	for _, arg := range cmd.Args().Slice() {
		problems = append(problems, Problem{Message: fmt.Sprintf("unexpected argument %q", arg)})
	}
	for _, o := range Options() {
		if err := o.apply(&s, cmd.String(o.Flag)); err != nil {
			problems = append(problems, Problem{Flag: o.Flag, Message: err.Error()})
		}
	}
	if len(problems) > 0 {
		return s, problems
	}
	return s, s.checkCombinations()
}

// apply parses value and stores it in s.
func (o Option) apply(s *Settings, value string) error {
	if value != "" {
		return o.set(s, value)
	}
	if o.Required {
		return fmt.Errorf("is required; the environment variable %s isn't set either", o.Env())
	}
	return nil
}
