package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// UsageExitCode is the daemon's exit code after mistakes in its settings.
const UsageExitCode = 2

// ErrHelp means that help was asked for and written.
var ErrHelp = errors.New("settings: help was asked for")

// Problem is one wrong setting.
type Problem struct {
	// Flag is the flag's name without dashes; empty if the mistake is no single flag's.
	Flag    string
	Message string
}

// String returns the mistake as one line.
func (p Problem) String() string {
	if p.Flag == "" {
		return p.Message
	}
	return "--" + p.Flag + ": " + p.Message
}

// ValidationError lists every mistake in the settings.
type ValidationError struct {
	Problems []Problem
}

// Error returns one line for each mistake.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the settings from args, the first of which is the program's name, and the environment. A flag goes before
// its environment variable. Help is written to out.
// Errors: ErrHelp; *MistakesError with every mistake.
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
		ErrWriter:       io.Discard, // every mistake is in the returned error
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

// readSettings converts every flag, and checks the settings together if each is right alone.
func readSettings(cmd *cli.Command) (Settings, []Problem) {
	var s Settings
	var mistakes []Problem
	for _, arg := range cmd.Args().Slice() {
		mistakes = append(mistakes, Problem{Message: fmt.Sprintf("argument %q is not understood", arg)})
	}
	for _, o := range Options() {
		if err := o.apply(&s, cmd.String(o.Flag)); err != nil {
			mistakes = append(mistakes, Problem{Flag: o.Flag, Message: err.Error()})
		}
	}
	if len(mistakes) > 0 {
		return s, mistakes
	}
	return s, s.checkCombinations()
}

func (o Option) apply(s *Settings, value string) error {
	if value != "" {
		return o.set(s, value)
	}
	if o.Required {
		return fmt.Errorf("is missing (or set %s)", o.Env())
	}
	return nil
}
