package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
)

const flagFile = "file"

// maxIDFileBytes bounds the size of a file of task ids.
const maxIDFileBytes = 16 << 20

// cancelCommand returns the command that cancels tasks.
func (a *app) cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel tasks, queued or running",
		ArgsUsage: "TASK...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Usage: "`FILE` of further task ids, one a line; - is the standard input"},
		},
		Action: a.cancel,
	}
}

func (a *app) cancel(ctx context.Context, cmd *cli.Command) error {
	tasks, err := a.readTaskIDs(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	outcome := c.CancelTasks(ctx, tasks)
	if cmd.Bool(flagJSON) {
		err = a.printJSON(outcome.Answer)
	} else {
		_, err = fmt.Fprintf(a.streams.Out, "cancelled %d of %d tasks\n", outcome.Cancelled, len(tasks))
	}
	if err != nil {
		return err
	}
	return outcomeError(outcome)
}

// readTaskIDs returns the task ids given as arguments and those in the file, if one is given.
func (a *app) readTaskIDs(cmd *cli.Command) ([]cell.TaskID, error) {
	ids := cmd.Args().Slice()
	if path := cmd.String(flagFile); path != "" {
		data, err := a.readFile(path, maxIDFileBytes)
		if err != nil {
			return nil, err
		}
		ids = append(ids, strings.Fields(string(data))...)
	}
	if len(ids) == 0 {
		return nil, errors.New("cancel: no task id given as an argument or with --" + flagFile)
	}
	tasks := make([]cell.TaskID, len(ids))
	for i, id := range ids {
		tasks[i] = cell.TaskID(id)
	}
	return tasks, nil
}
