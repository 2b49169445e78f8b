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

// Write prints the table over time, with a plot of the starts, and the waits by queue.
func (r *Report) Write(out io.Writer) error {
	if err := r.writeRows(out); err != nil {
		return err
	}
	if err := r.writeWaits(out); err != nil {
		return err
	}
	if r.SkippedLines > 0 {
		_, err := fmt.Fprintf(out, "\n%d lines held no log entry\n", r.SkippedLines)
		return err
	}
	return nil
}

func (r *Report) writeRows(out io.Writer) error {
	rows := r.Rows()
	most := 1
	for _, row := range rows {
		most = max(most, row.StartedRuns)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "second\trefused\tqueued\tpermits\tunanswered\tstarts\tnot started\tdone\tinterrupted\trecorded\t")
	for _, row := range rows {
		fmt.Fprintf(w, "%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Offset.Seconds(), row.RefusedSubmits, row.QueuedJobs, row.PermitAnswers,
			row.UnansweredPermitRequests, row.StartedRuns, row.FailedStarts, row.DoneRuns, row.InterruptedRuns, row.RecordedJobs,
			fmt.Sprintf(" %-*s", plotWidth, strings.Repeat("#", row.StartedRuns*plotWidth/most)))
	}
	return w.Flush()
}

func (r *Report) writeWaits(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nqueue\tuntil\tjobs\tnot yet\tp50\tp90")
	for _, wait := range r.StageDurations() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", wait.Queue, wait.To, wait.Jobs, wait.NotReached,
			wait.P50.Round(time.Millisecond), wait.P90.Round(time.Millisecond))
	}
	return w.Flush()
}
