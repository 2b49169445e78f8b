package cli

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/graphapi"
)

const (
	flagQueue = "queue"
	flagKey   = "key"
)

// graphPollInterval is the time between two queries of a job while the tool waits for its end.
const graphPollInterval = 100 * time.Millisecond

// graphCommand returns the group of commands for graph jobs.
func (a *app) graphCommand() *cli.Command {
	return &cli.Command{
		Name:  "graph",
		Usage: "submit, follow and cancel graph jobs",
		Flags: []cli.Flag{keyFlag()},
		Commands: []*cli.Command{
			a.graphSubmitCommand(), a.graphStatusCommand(), a.graphCancelCommand(), a.graphPendingCommand(), a.graphWhyCommand(),
			a.graphExplainCommand(),
		},
	}
}

// queueFlag returns the required flag for the name of a queue.
func queueFlag() cli.Flag {
	return &cli.StringFlag{Name: flagQueue, Usage: "`NAME` of the queue", Required: true}
}

// keyFlag returns the flag for the caller's key.
func keyFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    flagKey,
		Usage:   "`KEY` of the caller's organisation; the variable keeps it out of the list of processes",
		Sources: cli.EnvVars("LABURNUMPOINT_KEY"),
	}
}

// newGraphClient returns a client with the servers and the retry time of the global flags and the caller's key.
func newGraphClient(cmd *cli.Command) *graphapi.Client {
	return &graphapi.Client{Servers: cmd.StringSlice(flagServer), RetryFor: cmd.Duration(flagRetryFor), Key: cmd.String(flagKey), HTTP: &http.Client{}}
}

// graphJobAction returns the action of a command that makes one call for one job and prints the answer.
func (a *app) graphJobAction(call func(c *graphapi.Client, ctx context.Context, queue, id string) (graphapi.Answer, error)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		id, err := oneArg(cmd, "job")
		if err != nil {
			return err
		}
		answer, err := call(newGraphClient(cmd), ctx, cmd.String(flagQueue), id)
		if err != nil {
			return graphCallError(err)
		}
		return a.printGraphAnswer(cmd, answer)
	}
}

// printGraphAnswer prints a queue's number of pending jobs if the answer has it, and a job's state and reasons otherwise.
func (a *app) printGraphAnswer(cmd *cli.Command, answer graphapi.Answer) error {
	var t table
	if answer.Pending != nil {
		t.add("QUEUE", "PENDING")
		t.add(answer.Queue, *answer.Pending)
		return a.print(cmd, answer, t)
	}
	t.add("QUEUE", "JOB", "STATE")
	t.add(answer.Queue, answer.ID, answer.State)
	for _, reason := range answer.Reasons {
		t.add(reason)
	}
	return a.print(cmd, answer, t)
}

// graphCallError returns an error with the exit code for a failed call.
func graphCallError(err error) error {
	var refused *graphapi.RefusedError
	if !errors.As(err, &refused) {
		return &exitError{code: ExitUnknown, message: err.Error()}
	}
	message := strings.TrimSuffix(refused.Error(), ": ") // left by an answer without an error text
	switch {
	case refused.Status < http.StatusInternalServerError:
		return &exitError{code: ExitUsage, message: message}
	case refused.Status == http.StatusServiceUnavailable:
		return &exitError{code: ExitNotRun, message: message}
	}
	return &exitError{code: ExitUnknown, message: message}
}
