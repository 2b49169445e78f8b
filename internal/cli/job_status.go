package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

const flagWait = "wait"

// jobStatusCommand returns the command that shows how many tasks of a job are in each state.
func (a *app) jobStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show how many tasks of a job are queued, running and ended",
		ArgsUsage: "JOB",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagWait, Usage: "`TIME` to wait until every task has ended or, for a service, is running"},
		},
		Action: a.jobStatus,
	}
}

func (a *app) jobStatus(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArg(cmd, "job")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var status api.JobStatus
	if wait := cmd.Duration(flagWait); wait > 0 {
		status, err = c.WatchJob(ctx, cell.JobID(id), wait)
	} else {
		status, err = c.Job(ctx, cell.JobID(id))
	}
	if err != nil {
		return queryError(err)
	}
	if err := a.printJob(cmd, status); err != nil {
		return err
	}
	if cmd.Duration(flagWait) > 0 && !status.Settled() {
		return &exitError{code: ExitUnknown, message: fmt.Sprintf("job %s has not settled yet: %d tasks queued, %d running", id, status.Queued, status.Running)}
	}
	return nil
}
