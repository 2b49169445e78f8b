package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/overload"
)

const (
	// maxRefusalReadTime is the time of a read above which the store counts as slow. An earlier try of the same job may then
	// still be stored, so that the job is not refused.
	maxRefusalReadTime = 100 * time.Millisecond
	// storeCalmTime is how long the store must not have failed a call before a job is refused, for the same reason.
	storeCalmTime = 8 * time.Second
)

// refuseOverload returns the refusal of a job that can't be completed in time, or nil. It writes nothing. A job that may have been
// accepted already is not refused: its row is looked up in the store, which has to be up and fast.
func (s *Service) refuseOverload(ctx context.Context, id graph.JobID, record *ledger.JobRecord) *Answer {
	if s.Backlog == nil {
		return nil
	}
	job, mayRefuse := overload.NewJob(&record.Queue, record.Spec)
	summary, known := s.Backlog()
	if !mayRefuse || !known {
		return nil
	}
	decision := summary.Decide(&job, rand.Float64())
	s.predictedWait(job.Pool).Set(decision.Wait.Seconds())
	if !decision.Refuse || s.mayBeAccepted(ctx, id) {
		return nil
	}
	s.refusedJobs(job.Pool).Inc()
	s.Log.Info().Str("job", string(id)).Str("queue", job.Queue).Str("pool", job.Pool).Dur("predicted_wait", decision.Wait).Dur("objective", job.Objective()).Dur("retry_after", decision.RetryAfter).Msg("refused for overload")
	return &Answer{Result: Overloaded, RetryAfter: decision.RetryAfter, Detail: "the job could not be completed in time"}
}

// registerPoolMetrics makes the metrics of the configuration's pools appear before the first refusal.
func (s *Service) registerPoolMetrics(config *Config) {
	for i := range config.Routes {
		s.refusedJobs(config.Routes[i].Queue.Pool)
		s.predictedWait(config.Routes[i].Queue.Pool)
	}
}

// refusedJobs counts the jobs refused for overload of a pool.
func (s *Service) refusedJobs(pool string) *metrics.Counter {
	return s.Metrics.GetOrCreateCounter(fmt.Sprintf("laburnumpoint_refused_total{pool=%q}", pool))
}

// predictedWait is the predicted wait of the job that was last submitted for a pool, in seconds.
func (s *Service) predictedWait(pool string) *metrics.Gauge {
	return s.Metrics.GetOrCreateGauge(fmt.Sprintf("laburnumpoint_predicted_wait_seconds{pool=%q}", pool), nil)
}

// mayBeAccepted reports whether the job is stored, or whether an earlier try of it may yet be.
func (s *Service) mayBeAccepted(ctx context.Context, id graph.JobID) bool {
	if _, known := s.Replica.Job(id); known {
		return true
	}
	if age, ever := s.SinceStoreFailure(); ever && age < storeCalmTime {
		return true
	}
	start := s.Clock.Now()
	_, found, err := s.findWithTimeout(ctx, id)
	return err != nil || found || s.Clock.Now().Sub(start) > maxRefusalReadTime
}
