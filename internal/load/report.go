package load

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
)

// Report sums up what the callers were told.
type Report struct {
	// Elapsed is the time from the first call to the last answer.
	Elapsed time.Duration
	// Skipped counts the calls that were never sent because too many waited.
	Skipped int
	// WrongAnswers counts the completed calls that were given another answer than their own, whole.
	WrongAnswers int
	// Resent counts the calls that were sent more than once.
	Resent  int
	Results map[cell.Result]int
	// Reasons counts the calls that did not complete by their reason.
	Reasons map[cell.ReasonCode]int
	Classes map[cell.PriorityClass]*ClassReport
	// Examples are the first outcomes other than completed, at most maxExamples.
	Examples []client.Outcome
}

// maxExamples bounds the examples of a report.
const maxExamples = 5

// ClassReport holds the times of one class's calls that ran.
type ClassReport struct {
	// WaitTimes holds the cell's own figures from arrival to start.
	WaitTimes []time.Duration
	// ResponseTimes holds the callers' times from sending to answer.
	ResponseTimes []time.Duration
}

// DurationSummary is a distribution in brief.
type DurationSummary struct {
	Count         int
	P50, P99, Max time.Duration
}

func newReport() Report {
	return Report{
		Results: make(map[cell.Result]int),
		Reasons: make(map[cell.ReasonCode]int),
		Classes: make(map[cell.PriorityClass]*ClassReport),
	}
}

func (r *Report) add(class cell.PriorityClass, o client.Outcome, responseTime time.Duration, wrong bool) {
	r.Results[o.Result]++
	if o.Tries > 1 {
		r.Resent++
	}
	if wrong {
		r.WrongAnswers++
	}
	if o.Result != cell.ResultCompleted {
		r.Reasons[o.Reason.Code]++
		r.addExample(o)
	}
	if o.Result != cell.ResultCompleted && o.Result != cell.ResultFailed {
		return
	}
	c := r.Classes[class]
	if c == nil {
		c = &ClassReport{}
		r.Classes[class] = c
	}
	c.WaitTimes = append(c.WaitTimes, time.Duration(o.WaitedMS*float64(time.Millisecond)))
	c.ResponseTimes = append(c.ResponseTimes, responseTime)
}

func (r *Report) addExample(o client.Outcome) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, o)
	}
}

// SummarizeDurations returns the distribution of times.
func SummarizeDurations(times []time.Duration) DurationSummary {
	if len(times) == 0 {
		return DurationSummary{}
	}
	sorted := slices.Sorted(slices.Values(times))
	return DurationSummary{
		Count: len(sorted),
		P50:   quantile(sorted, 0.50),
		P99:   quantile(sorted, 0.99),
		Max:   sorted[len(sorted)-1],
	}
}

// quantile returns the smallest of sorted that at least the fraction q is not above.
func quantile(sorted []time.Duration, q float64) time.Duration {
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
