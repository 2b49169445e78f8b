package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/client"
)

const (
	flagID      = "id"
	flagTimeout = "timeout"
)

const defaultTimeout = 30 * time.Second

// runCommand returns the command that runs a task and waits for its answer.
func (a *app) runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a task, wait for its answer and write it to the standard output",
		Flags: append(taskFlags(),
			&cli.StringFlag{Name: flagID, Usage: "the caller's own `ID` of the request; a new one if none is given"},
			&cli.DurationFlag{Name: flagTimeout, Usage: "`TIME` to wait for the answer", Value: defaultTimeout},
		),
		Action: a.run,
	}
}

func (a *app) run(ctx context.Context, cmd *cli.Command) error {
	if err := noArgs(cmd); err != nil {
		return err
	}
	task, err := a.readTask(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	id := cmd.String(flagID)
	newID := id == ""
	if newID {
		id = client.NewID()
	}
	outcome := c.Run(ctx, client.Request{ID: id, FirstSend: newID, Task: task, Timeout: cmd.Duration(flagTimeout)})
	if err := a.printOutcome(cmd, outcome); err != nil {
		return err
	}
	return outcomeError(outcome)
}

// printOutcome writes the answer to the standard output, and a line with the result, task, worker, waiting time and tries to
// the standard error. With --json it writes the answer as JSON to the standard output only.
func (a *app) printOutcome(cmd *cli.Command, o client.Outcome) error {
	if cmd.Bool(flagJSON) {
		return a.printJSON(o.Answer)
	}
	fmt.Fprintf(a.streams.Err, "%s id=%s task=%s worker=%s waited=%.1fms tries=%d\n", o.Result, o.ID, o.Task, o.Worker, o.WaitedMS, o.Tries)
	if len(o.Answer.Answer) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(a.streams.Out, "%s\n", o.Answer.Answer)
	return err
}
