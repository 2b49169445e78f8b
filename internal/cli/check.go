package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/history"
)

const (
	flagLeavingBound     = "leaving-bound"
	flagPropagationBound = "propagation-bound"
)

const (
	defaultLeavingBound     = 5 * time.Second
	defaultPropagationBound = 13 * time.Second
)

// checkCommand returns the command that checks recorded histories.
func (a *app) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check the histories recorded by the load command and by the stand-in's runners together: capacity, no concurrent attempts of a task, at most once, each call's own complete answer, truthful \"not run\"",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagLeavingBound, Usage: "`TIME` after which a leaving worker gets no new work", Value: defaultLeavingBound},
			&cli.DurationFlag{Name: flagPropagationBound, Usage: "`TIME` after which a configuration is in force everywhere", Value: defaultPropagationBound},
		},
		Action: a.check,
	}
}

func (a *app) check(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() == 0 {
		return errors.New("check: no history file given")
	}
	var entries []history.Entry
	for _, path := range cmd.Args().Slice() {
		fileEntries, err := readHistory(path)
		if err != nil {
			return err
		}
		entries = append(entries, fileEntries...)
	}
	bounds := history.Bounds{
		MaxStartAfterNotice: cmd.Duration(flagLeavingBound),
		MaxConfigDelay:      cmd.Duration(flagPropagationBound),
	}
	violations := history.Check(entries, bounds)
	if err := a.printCheck(cmd, entries, violations); err != nil {
		return err
	}
	if len(violations) > 0 {
		return &exitError{code: ExitFailed, message: fmt.Sprintf("violations in the history: %d", len(violations))}
	}
	return nil
}

// readHistory returns the entries of the history file at path.
func readHistory(path string) ([]history.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	entries, err := history.Decode(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}

// checkSummary is the command's JSON output.
type checkSummary struct {
	Entries    map[history.EntryKind]int `json:"entries"`
	Violations []string                  `json:"violations"`
}

// printCheck prints the number of entries of each kind and the violations.
func (a *app) printCheck(cmd *cli.Command, entries []history.Entry, violations []history.Violation) error {
	out := checkSummary{Entries: make(map[history.EntryKind]int), Violations: []string{}}
	for _, e := range entries {
		out.Entries[e.Kind]++
	}
	var t table
	t.add("CALLS", "LEASES STARTED", "LEASES ENDED", "VIOLATIONS")
	t.add(out.Entries[history.KindCall], out.Entries[history.KindLeaseStart], out.Entries[history.KindLeaseEnd], len(violations))
	for _, v := range violations {
		out.Violations = append(out.Violations, v.String())
		t.add(v)
	}
	return a.print(cmd, out, t)
}
