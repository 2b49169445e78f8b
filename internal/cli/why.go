package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
)

// whyCommand returns the command that explains why a task or a graph job waits, runs or was refused.
func (a *app) whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "explain why a task, or with --queue a graph job, waits, runs or was refused",
		ArgsUsage: "TASK",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagQueue, Usage: "`NAME` of a graph job's queue; the argument is then the job"}, keyFlag()},
		Action:    a.why,
	}
}

func (a *app) why(ctx context.Context, cmd *cli.Command) error {
	if cmd.String(flagQueue) != "" {
		return a.graphWhy(ctx, cmd)
	}
	id, err := oneArg(cmd, "task")
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	explanation, err := c.Explain(ctx, cell.TaskID(id))
	if err != nil {
		return queryError(err)
	}
	var t table
	t.add("TASK", "STATE", "SHARD")
	t.add(explanation.Task, explanation.State, explanation.Shard)
	for _, reason := range explanation.Chain {
		t.add("", reason.Code, reason.Detail)
	}
	return a.print(cmd, explanation, t)
}
