package cli

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphapi"
)

// graphStatusCommand shows a job's state.
func (a *app) graphStatusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show a graph job's state",
		ArgsUsage: "JOB",
		Flags:     []cli.Flag{queueFlag(), &cli.DurationFlag{Name: flagWait, Usage: "`TIME` to wait until the job has ended"}},
		Action:    a.graphStatus,
	}
}

func (a *app) graphStatus(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArg(cmd, "job")
	if err != nil {
		return err
	}
	c := newGraphClient(cmd)
	deadline := time.Now().Add(cmd.Duration(flagWait))
	for {
		answer, err := c.State(ctx, cmd.String(flagQueue), id)
		if err != nil {
			return graphCallError(err)
		}
		if !answer.State.Ended() && time.Now().Before(deadline) {
			time.Sleep(graphPollInterval)
			continue
		}
		if err := a.printGraphAnswer(cmd, answer); err != nil {
			return err
		}
		return graphStateError(answer, cmd.Duration(flagWait) > 0)
	}
}

// graphStateError returns the error for a job that did not complete.
func graphStateError(answer graphapi.Answer, waited bool) error {
	switch {
	case answer.State == graph.Failed:
		return &exitError{code: ExitFailed, message: "the job has failed"}
	case waited && !answer.State.Ended():
		return &exitError{code: ExitUnknown, message: "the job has not ended yet"}
	}
	return nil
}
