package cli

import (
	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/api"
)

// jobCommand returns the group of commands for jobs.
func (a *app) jobCommand() *cli.Command {
	return &cli.Command{
		Name:     "job",
		Usage:    "submit, follow and cancel services, batches and gangs",
		Commands: []*cli.Command{a.jobSubmitCommand(), a.jobStatusCommand(), a.jobCancelCommand()},
	}
}

// printJob prints the number of a job's tasks in each state, and the reasons that the status gives.
func (a *app) printJob(cmd *cli.Command, s api.JobStatus) error {
	var t table
	t.add("JOB", "KIND", "COUNT", "QUEUED", "RUNNING", "SUCCEEDED", "FAILED", "CANCELLED")
	t.add(s.ID, s.Kind, s.Count, s.Queued, s.Running, s.Succeeded, s.Failed, s.Cancelled)
	for _, reason := range s.Reasons {
		t.add(reason)
	}
	return a.print(cmd, s, t)
}
