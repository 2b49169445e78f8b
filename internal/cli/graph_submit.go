package cli

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graphapi"
)

// graphSubmitCommand returns the command that submits a graph job.
func (a *app) graphSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a graph job; it is durable when the command ends with code 0",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			queueFlag(),
			&cli.StringFlag{Name: flagID, Usage: "`ID` of the job, 16 hexadecimal digits; a new one if none is given"},
		},
		Action: a.graphSubmit,
	}
}

func (a *app) graphSubmit(ctx context.Context, cmd *cli.Command) error {
	job, err := a.readGraphJob(cmd)
	if err != nil {
		return err
	}
	id := cmd.String(flagID)
	if id == "" {
		id = fmt.Sprintf("%016x", rand.Uint64())
	}
	answer, err := newGraphClient(cmd).Submit(ctx, cmd.String(flagQueue), id, job)
	if err != nil {
		return graphCallError(err)
	}
	return a.printGraphAnswer(cmd, answer)
}

// readGraphJob reads a job from the file that is the command's argument.
func (a *app) readGraphJob(cmd *cli.Command) (*graphapi.Job, error) {
	path, err := oneArg(cmd, "file")
	if err != nil {
		return nil, err
	}
	data, err := a.readFile(path, maxPayloadBytes)
	if err != nil {
		return nil, err
	}
	job, err := graphapi.ParseJob(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return job, nil
}
