package load

import (
	"slices"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
)

// Report summarises the outcomes that the callers received.
type Report struct {
	// Elapsed is the time from the first call to the last answer.
	Elapsed time.Duration
	// Skipped counts the calls that were not sent because MaxInFlight calls were already in flight.
	Skipped int
	// WrongAnswers counts the completed calls whose answer was incomplete or another call's.
	WrongAnswers int
	// Resent counts the calls that were sent more than once.
	Resent  int
	Results map[cell.Result]int
	// Reasons counts, by reason, the calls that did not complete.
	Reasons map[cell.ReasonCode]int
	Classes map[cell.PriorityClass]*ClassReport
	// Examples are the first outcomes other than completed, at most maxExamples.
	Examples []client.Outcome
}

// maxExamples bounds the examples of a report.
const maxExamples = 5

// ClassReport holds the times of one class's calls that completed or failed.
type ClassReport struct {
	// WaitTimes holds the times from arrival to start, as reported by the cell.
	WaitTimes []time.Duration
	// ResponseTimes holds the times from sending to answer, as measured by the callers.
	ResponseTimes []time.Duration
}

// DurationSummary summarises a distribution of durations.
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

// SummarizeDurations returns the count, quantiles and maximum of times.
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

// quantile returns the smallest element of sorted that is at least as large as the fraction q of the elements.
func quantile(sorted []time.Duration, q float64) time.Duration {
	i := int(q*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
