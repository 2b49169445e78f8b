package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// plotWidth is the length of the longest bar of the plot, in characters.
const plotWidth = 40

// Write writes the table of intervals, with a plot of the started runs, and the stage durations of each queue.
func (r *Report) Write(out io.Writer) error {
	if err := r.writeRows(out); err != nil {
		return err
	}
	if err := r.writeStageDurations(out); err != nil {
		return err
	}
	if r.SkippedLines > 0 {
		_, err := fmt.Fprintf(out, "\n%d lines held no log entry\n", r.SkippedLines)
		return err
	}
	return nil
}

// writeRows writes one line for each interval, with a bar for its started runs.
func (r *Report) writeRows(out io.Writer) error {
	rows := r.Rows()
	maxStarts := 1
	for _, row := range rows {
		maxStarts = max(maxStarts, row.StartedRuns)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "second\trefused\tqueued\tpermits\tunanswered\tstarts\tnot started\tdone\tinterrupted\trecorded\t")
	for _, row := range rows {
		fmt.Fprintf(w, "%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Offset.Seconds(), row.RefusedSubmits, row.QueuedJobs, row.PermitAnswers,
			row.UnansweredPermitRequests, row.StartedRuns, row.FailedStarts, row.DoneRuns, row.InterruptedRuns, row.RecordedJobs,
			fmt.Sprintf(" %-*s", plotWidth, strings.Repeat("#", row.StartedRuns*plotWidth/maxStarts)))
	}
	return w.Flush()
}

// writeStageDurations writes one line for each queue and stage.
func (r *Report) writeStageDurations(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nqueue\tuntil\tjobs\tnot yet\tp50\tp90")
	for _, d := range r.StageDurations() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", d.Queue, d.To, d.Jobs, d.NotReached,
			d.P50.Round(time.Millisecond), d.P90.Round(time.Millisecond))
	}
	return w.Flush()
}
