package entry

import (
	"math"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/overload"
)

// Retry-After of commands that could not be stored.
const (
	// minRetryAfter is the smallest positive value of the Retry-After header, which has whole seconds.
	minRetryAfter = 1 * time.Second
	// maxRetryAfter bounds how long a caller still waits after a long outage has ended.
	maxRetryAfter = 10 * time.Second
	// shortOutage is the age of an outage up to which every caller returns after minRetryAfter.
	shortOutage = 1 * time.Second
	// usualWait is the mean wait of callers whose jobs have enough slack. Four such waits outlast six seconds with the spread
	// of wholeSeconds, and a caller that waits three seconds in all still has two or three more tries.
	usualWait = 1800 * time.Millisecond
	// ageDivisor makes the waits grow by this fraction of the outage's age (a fifth) once it is older than the usual ones,
	// which end after nine seconds.
	ageDivisor = 5
	// slackTries is the number of tries over which a job's slack is spread: callers have five, the first of which has failed.
	slackTries = 4
	// commandSlack is the slack of commands without an objective, such as a cancellation. Callers wait about three seconds
	// for them.
	commandSlack = 3 * time.Second
)

// jobTimes are the times of a job that bound the Retry-After of its submission.
type jobTimes struct {
	// slack is how much later than at once the job may start and still complete within its objective.
	slack time.Duration
	// lateSlack is the same for three times the objective, after which the job is worthless.
	lateSlack time.Duration
}

// timesOf returns the times of a job.
func timesOf(record *ledger.JobRecord) jobTimes {
	var shortest time.Duration
	for _, path := range record.Spec.CriticalPaths(record.Queue.ExpectedPermitLatency()) {
		shortest = max(shortest, path)
	}
	objective := record.Queue.Objective(record.Spec)
	return jobTimes{slack: objective - shortest, lateSlack: overload.LateObjectives*objective - shortest}
}

// timesOfCommand are the times of commands without an objective.
var timesOfCommand = jobTimes{slack: commandSlack, lateSlack: commandSlack}

// storeUnavailable returns the answer to a command that was certainly not stored.
func (s *Service) storeUnavailable(times jobTimes) Answer {
	return Answer{Result: Unavailable, RetryAfter: retryAfter(s.StoreAge(), times, rand.Float64()), Detail: "store unavailable"}
}

// retryAfter returns how long a caller should wait before it tries again, in whole seconds, if the store has not answered
// for age. random is from 0 to 1.
//
// How long an outage will last is unknown, and a caller has five tries and often waits no longer than three seconds in all.
// Jobs with a slack of up to four seconds return each second, which loses none of the moments at which they could still be
// accepted in time. Jobs with more slack spread their tries over it: with one try a second a caller that could wait longer
// would have used all of its tries after four seconds, and outages last up to nine.
func retryAfter(age time.Duration, times jobTimes, random float64) time.Duration {
	if times.lateSlack < minRetryAfter {
		// The job is worthless at any time that Retry-After can name. The answer is the likely end of the outage, so that
		// its caller does not return together with those whose jobs can still complete.
		return wholeSeconds(age, random)
	}
	if age < shortOutage {
		return minRetryAfter
	}
	wait := min(times.slack/slackTries, max(usualWait, age/ageDivisor))
	return min(wholeSeconds(wait, random), times.lateSlack.Truncate(time.Second))
}

// wholeSeconds rounds d up or down to whole seconds within the limits of Retry-After. It rounds at random, in proportion to
// the fraction, so that callers that failed together don't return together.
func wholeSeconds(d time.Duration, random float64) time.Duration {
	seconds := math.Floor(d.Seconds() + random)
	return min(max(minRetryAfter, time.Duration(seconds)*time.Second), maxRetryAfter)
}
