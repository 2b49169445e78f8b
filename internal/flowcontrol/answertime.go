package flowcontrol

import "time"

// Bounds of the typical answer time.
const (
	// initialAnswerTime is the typical answer time before the first answer.
	initialAnswerTime = 5 * time.Millisecond
	// minAnswerTime keeps the estimate from going so far down that it would take long to rise again.
	minAnswerTime = 1 * time.Millisecond
	maxAnswerTime = 2 * time.Second
	// answerTimeStep is the relative change of the typical answer time with each call.
	answerTimeStep = 1.0 / 16
)

// median follows the median of a sequence of times: each observation moves it up or down by the same factor. Calls without an
// answer count as slow ones, which leaves the median near the answer time as long as most calls are answered.
type median struct{ value time.Duration }

func newMedian() median { return median{initialAnswerTime} }

func (m *median) observe(took time.Duration) {
	step := time.Duration(float64(m.value) * answerTimeStep)
	if took < m.value {
		step = -step
	}
	m.value = min(max(m.value+step, minAnswerTime), maxAnswerTime)
}

// Weights of a new answer in AnswerTime, as TCP has them for round-trip times.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviationFactor is how many mean deviations above the mean an answer is expected at the latest.
	deviationFactor = 4
)

// AnswerTime is the smoothed mean and mean deviation of one server's answer times. The zero value has no answers yet.
type AnswerTime struct {
	mean, deviation time.Duration
	known           bool
}

// Observe adds the time of one answer.
func (a *AnswerTime) Observe(took time.Duration) {
	if !a.known {
		a.mean, a.deviation, a.known = took, took/2, true
		return
	}
	difference := took - a.mean
	a.mean += time.Duration(meanWeight * float64(difference))
	a.deviation += time.Duration(deviationWeight * float64(max(difference, -difference)-a.deviation))
}

// Latest returns the time by which an answer is expected; 0 before the first answer.
func (a *AnswerTime) Latest() time.Duration { return a.mean + deviationFactor*a.deviation }
