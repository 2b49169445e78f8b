package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

const (
	flagKind  = "kind"
	flagCount = "count"
)

// jobSubmitCommand returns the command that submits a job.
func (a *app) jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job; it is durable when the command ends with code 0",
		Flags: append(taskFlags(),
			&cli.StringFlag{Name: flagID, Usage: "`ID` of the job; a new one if none is given"},
			&cli.StringFlag{Name: flagKind, Usage: "service, batch or gang", Required: true},
			&cli.IntFlag{Name: flagCount, Usage: "`NUMBER` of tasks", Value: 1},
		),
		Action: a.jobSubmit,
	}
}

func (a *app) jobSubmit(ctx context.Context, cmd *cli.Command) error {
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
	outcome := c.SubmitJob(ctx, api.JobSpec{
		ID:    cell.JobID(cmd.String(flagID)),
		Kind:  cell.TaskKind(cmd.String(flagKind)),
		Count: cmd.Int(flagCount),
		Task:  task,
	})
	if cmd.Bool(flagJSON) {
		err = a.printJSON(outcome.Answer)
	} else if outcome.Result != cell.ResultNotRun {
		_, err = fmt.Fprintln(a.streams.Out, outcome.ID)
	}
	if err != nil {
		return err
	}
	return outcomeError(outcome)
}
