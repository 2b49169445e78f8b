package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/graphapi"
)

// graphStatusCommand returns the command that shows a graph job's state.
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

// graphStateError returns an error with the exit code for a job that has failed, or that has not ended though the tool waited
// for it. It returns nil for any other job.
func graphStateError(answer graphapi.Answer, waited bool) error {
	switch {
	case answer.State == graph.Failed:
		return &exitError{code: ExitFailed, message: fmt.Sprintf("job %s has failed", answer.ID)}
	case waited && !answer.State.Ended():
		return &exitError{code: ExitUnknown, message: fmt.Sprintf("job %s has not ended yet, its state is %s", answer.ID, answer.State)}
	}
	return nil
}
