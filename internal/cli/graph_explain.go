package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graphapi"
)

// graphExplainCommand returns the command that tells where a graph job's tasks would go.
func (a *app) graphExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell where the tasks of a graph job would go now, and why, without submitting it",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{queueFlag()},
		Action:    a.graphExplain,
	}
}

func (a *app) graphExplain(ctx context.Context, cmd *cli.Command) error {
	job, err := a.readGraphJob(cmd)
	if err != nil {
		return err
	}
	answer, err := newGraphClient(cmd).Preview(ctx, cmd.String(flagQueue), job)
	if err != nil {
		return graphCallError(err)
	}
	return a.print(cmd, answer, previewTable(answer))
}

// previewTable has a row for each worker, wait and reason of refusal of each step.
func previewTable(answer graphapi.PreviewAnswer) table {
	var t table
	t.add("STEP", "TASKS", "WHERE", "RACK", "REASON", "START", "END")
	for _, s := range answer.Steps {
		if s.Permits != nil {
			t.add(s.Step, "", fmt.Sprintf("%d workers asked about", s.Permits.Workers), "", fmt.Sprintf("permits, %.0f%% allowed so far", 100*s.Permits.AllowedShare), "", formatMillis(&s.Permits.LatencyMS))
		}
		for _, p := range s.Places {
			t.add(s.Step, p.Tasks, p.Worker, p.Rack, p.Reason, formatMillis(p.StartMS), formatMillis(p.EndMS))
		}
		if s.Wait != nil {
			t.add(s.Step, s.Wait.Tasks, "wait", s.Wait.Rack, fmt.Sprintf("ends %d ms sooner than elsewhere", s.Wait.GainMS), "by "+formatMillis(&s.Wait.DeadlineMS), "")
		}
		if s.OverLimit > 0 {
			t.add(s.Step, s.OverLimit, "no start", "", "limit of the organisation", "", "")
		}
		if s.NoRoom != nil {
			t.add(s.Step, s.NoRoom.Tasks, "no room", "", "", formatMillis(s.NoRoom.FirstStartMS)+" to "+formatMillis(s.NoRoom.LastStartMS), "")
		}
		for _, r := range s.Refused {
			t.add(s.Step, 0, fmt.Sprintf("%d other workers", r.Workers), nearCount(s, r), r.Reason, "", "")
		}
		if len(s.After) > 0 {
			t.add(s.Step, "", "", "", fmt.Sprintf("starts after steps %v", s.After), "", "")
		}
	}
	return t
}

// nearCount tells how many of the refused workers are on the rack that the step's tasks prefer.
func nearCount(s dispatch.StepPreview, r dispatch.RefusedPreview) string {
	if s.Rack == "" {
		return ""
	}
	return fmt.Sprintf("%d on %s", r.Near, s.Rack)
}

// formatMillis formats a time in milliseconds; one that is not known is "?".
func formatMillis(ms *int64) string {
	if ms == nil {
		return "?"
	}
	return fmt.Sprintf("%d ms", *ms)
}
