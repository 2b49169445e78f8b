package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// Result is what a caller is told.
type Result int

// The results of commands and queries.
const (
	// OK means that the command is durable, or that the query has an answer.
	OK Result = iota
	// NoQueue means that no such queue exists.
	NoQueue
	// NoJob means that no such job exists.
	NoJob
	// Invalid means that the request can't be understood; nothing was stored.
	Invalid
	// Unavailable means that nothing was stored and nothing will be.
	Unavailable
	// Uncertain means that the command may or may not take effect.
	Uncertain
)

// resultNames are the results as logs and metrics have them.
var resultNames = map[Result]string{
	OK: "ok", NoQueue: "no_queue", NoJob: "no_job", Invalid: "invalid", Unavailable: "unavailable", Uncertain: "uncertain",
}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// Answer is a result with what belongs to it.
type Answer struct {
	Result  Result
	State   graph.JobState
	Pending int
	// Reasons tell why a job is where it is.
	Reasons []string
	// RetryAfter is when the caller may come back, with Unavailable.
	RetryAfter time.Duration
	Detail     string
}

// Bounds of commands.
const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 800 * time.Millisecond
	// relayTimeout bounds one call to the owner in the store's place.
	relayTimeout = 700 * time.Millisecond
	// ownerStateTimeout bounds the question for a job's state to the owner; it answers from memory.
	ownerStateTimeout = 250 * time.Millisecond
	// retryInterval is kept between two tries.
	retryInterval = 120 * time.Millisecond
	// maxTries bounds the tries of one command. A store that fails them all is down for longer than a caller waits.
	maxTries = 4
	// notReadyRetryAfter is when a caller may come back to a daemon that is starting or whose copies are outdated, and which others can
	// answer for.
	notReadyRetryAfter = 1 * time.Second
	// maxReplicaAge is the age of the ledger's copy from which counts are not answered from it.
	maxReplicaAge = 2500 * time.Millisecond
)

// Options are what a service needs. All fields are required.
type Options struct {
	Replica *ledger.Replica
	Clock   monotime.Clock
	Log     *log.Logger
	Peers   peer.Caller
	// Incarnation is the daemon's own, as in the ownership row.
	Incarnation string
	// MaxConfigAge is the age of the configuration from which an unknown queue may be one that should be in force.
	MaxConfigAge time.Duration
	// ExplainIfOwner tells why a job is where it is if this daemon owns the cell; ok is false otherwise.
	ExplainIfOwner func(ctx context.Context, id graph.JobID) (lines []string, ok bool)
	// StoreDown reports whether the store has lately answered nothing.
	StoreDown func() bool
	Metrics   *metrics.Set
}

// Service answers callers. It is safe for concurrent use.
type Service struct {
	Options

	outage          outage
	config          atomic.Pointer[Config]
	configCurrentAt atomic.Int64
	answerCounts    map[Result]*metrics.Counter
	// answerSeconds is how long answers answerSeconds, by command.
	answerSeconds map[string]*metrics.Histogram
}

// Names of commands and queries in logs and metrics.
const (
	labelSubmit  = "submit"
	labelCancel  = "cancel"
	labelState   = "state"
	labelExplain = "why"
	labelPending = "pending"
)

// NewService returns a service without configuration.
func NewService(o Options) *Service {
	s := &Service{Options: o}
	s.answerCounts = make(map[Result]*metrics.Counter)
	for r, name := range resultNames {
		s.answerCounts[r] = o.Metrics.NewCounter(`laburnumpoint_answers_total{result="` + name + `"}`)
	}
	s.answerSeconds = make(map[string]*metrics.Histogram)
	for _, name := range []string{labelSubmit, labelCancel, labelState, labelExplain} {
		s.answerSeconds[name] = o.Metrics.NewHistogram(`laburnumpoint_answer_seconds{command="` + name + `"}`)
	}
	return s
}

// SetConfig puts a version of the configuration in force unless a newer one is.
func (s *Service) SetConfig(config *Config) {
	for {
		current := s.config.Load()
		if current != nil && current.Version >= config.Version {
			return
		}
		if s.config.CompareAndSwap(current, config) {
			s.Log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Msg("configuration in force")
			return
		}
	}
}

// MarkConfigCurrent notes that the configuration was the newest at the given time.
func (s *Service) MarkConfigCurrent(at monotime.Instant) { s.configCurrentAt.Store(int64(at)) }

// Config returns the configuration in force, nil if there is none yet.
func (s *Service) Config() *Config { return s.config.Load() }

// Queue returns the policy in force of a queue.
func (s *Service) Queue(name string) (graph.Queue, bool) {
	config := s.config.Load()
	if config == nil {
		return graph.Queue{}, false
	}
	return config.Queue(name)
}

func (s *Service) configVersion() uint64 {
	if config := s.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// Ready reports whether the service can answer callers.
func (s *Service) Ready() bool { return s.Replica.Ready() && s.config.Load() != nil }

// matchRoute finds the queue that a request is for. The answer is set if there is none.
func (s *Service) matchRoute(host, path string) (*Route, string, *Answer) {
	config := s.config.Load()
	if config == nil {
		return nil, "", &Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "no configuration yet"}
	}
	route, rest, ok := config.Match(host, path)
	if ok {
		return route, rest, nil
	}
	if s.Clock.Now().Sub(monotime.Instant(s.configCurrentAt.Load())) > s.MaxConfigAge {
		return nil, "", &Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "configuration may be outdated"}
	}
	return nil, "", &Answer{Result: NoQueue}
}

// Submit accepts a job. decode returns the job's description.
func (s *Service) Submit(ctx context.Context, host, path string, decode func() (*graph.Spec, error)) Answer {
	defer s.observeDuration(labelSubmit, s.Clock.Now())
	route, rest, refusal := s.matchRoute(host, path)
	if refusal != nil {
		return s.recordAnswer(labelSubmit, rest, *refusal)
	}
	id, ok := parseJobID(rest)
	if !ok {
		return s.recordAnswer(labelSubmit, rest, Answer{Result: Invalid, Detail: "malformed job id"})
	}
	spec, err := decode()
	if err == nil {
		err = spec.Validate()
	}
	if err != nil {
		return s.recordAnswer(labelSubmit, rest, Answer{Result: Invalid, Detail: err.Error()})
	}
	record := ledger.NewJobRecord(route.Queue, spec, time.Now())
	return s.recordAnswer(labelSubmit, rest, s.accept(ctx, id, record))
}

func (s *Service) accept(ctx context.Context, id graph.JobID, record ledger.JobRecord) Answer {
	data, err := json.Marshal(record)
	if err != nil {
		return Answer{Result: Invalid, Detail: err.Error()}
	}
	return s.storeOrRelay(ctx,
		func(ctx context.Context) error { return s.Replica.Accept(ctx, id, record) },
		&wire.IntakeRequest{Command: commandAccept, Job: string(id), Record: data})
}

// storeOrRelay carries out a command by the store, or through the owner if the store turns this daemon away. The owner is told
// what the store has, since it would hear of it later.
func (s *Service) storeOrRelay(ctx context.Context, write func(context.Context) error, req *wire.IntakeRequest) Answer {
	uncertain := false
	for try := 0; ; try++ {
		if !s.StoreDown() {
			err := s.writeToStore(ctx, write)
			if err == nil {
				s.outage.recordSuccess()
				s.notifyOwner(req)
				return Answer{Result: OK}
			}
			uncertain = uncertain || !errors.Is(err, rowstore.ErrUnavailable)
		}
		switch s.relay(ctx, req).GetResult() {
		case resultOK:
			s.outage.recordSuccess()
			return Answer{Result: OK}
		case resultUncertain:
			uncertain = true
		}
		// What was not sent while the store is down can be refused at once. What may have been stored is settled by
		// further tries as long as the caller waits: a refusal might be untrue.
		if ctx.Err() != nil || (!uncertain && (try >= maxTries-1 || s.StoreDown())) {
			break
		}
		monotime.Sleep(ctx, retryInterval)
	}
	if uncertain {
		return Answer{Result: Uncertain, Detail: "store gave no answer"}
	}
	return Answer{Result: Unavailable, RetryAfter: s.retryAfter(), Detail: "store unavailable"}
}

func (s *Service) writeToStore(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return write(ctx)
}

// retryAfter returns when a caller may come back of whom nothing could be stored.
func (s *Service) retryAfter() time.Duration {
	return s.outage.recordFailure(s.Clock.Now(), rand.Float64())
}

// withJob carries out a command on the job that a request names, and counts and logs the answer.
func (s *Service) withJob(command, host, path string, op func(graph.JobID) Answer) Answer {
	defer s.observeDuration(command, s.Clock.Now())
	_, rest, refusal := s.matchRoute(host, path)
	if refusal != nil {
		return s.recordAnswer(command, rest, *refusal)
	}
	id, ok := parseJobID(rest)
	if !ok {
		return s.recordAnswer(command, rest, Answer{Result: NoJob})
	}
	return s.recordAnswer(command, rest, op(id))
}

// Cancel cancels a job.
func (s *Service) Cancel(ctx context.Context, host, path string) Answer {
	return s.withJob(labelCancel, host, path, func(id graph.JobID) Answer {
		if found := s.findJob(ctx, id); found.Result != OK {
			return found
		}
		return s.storeOrRelay(ctx,
			func(ctx context.Context) error { return s.Replica.Cancel(ctx, id) },
			&wire.IntakeRequest{Command: commandCancel, Job: string(id)})
	})
}

// State tells a job's state.
func (s *Service) State(ctx context.Context, host, path string) Answer {
	defer s.observeDuration(labelState, s.Clock.Now())
	route, rest, refusal := s.matchRoute(host, path)
	if refusal != nil {
		return s.recordAnswer(labelState, rest, *refusal)
	}
	if rest == "" {
		return s.countPending(ctx, route)
	}
	id, ok := parseJobID(rest)
	if !ok {
		return s.recordAnswer(labelState, rest, Answer{Result: NoJob})
	}
	return s.recordAnswer(labelState, rest, s.currentState(ctx, id))
}

// currentState tells a job's state as its owner has it. The copy at hand lags, which would keep a caller waiting for a job that
// has ended; it serves if the owner gives no answer soon.
func (s *Service) currentState(ctx context.Context, id graph.JobID) Answer {
	j, known := s.Replica.Job(id)
	if known && j.State().Ended() {
		return Answer{Result: OK, State: j.State()}
	}
	owner := s.Replica.Owner()
	if known && (owner.Version == 0 || owner.Incarnation == s.Incarnation) {
		return Answer{Result: OK, State: j.State()}
	}
	ownerCtx, cancel := context.WithTimeout(ctx, ownerStateTimeout)
	defer cancel()
	if reply := s.relay(ownerCtx, &wire.IntakeRequest{Command: commandFind, Job: string(id)}); reply.GetResult() == resultOK {
		return Answer{Result: OK, State: graph.JobState(reply.GetState())}
	}
	return s.findJob(ctx, id)
}

// Explain tells why a job is where it is, as its owner has it.
func (s *Service) Explain(ctx context.Context, host, path string) Answer {
	return s.withJob(labelExplain, host, path, func(id graph.JobID) Answer { return s.explainJob(ctx, id) })
}

func (s *Service) explainJob(ctx context.Context, id graph.JobID) Answer {
	answer := s.currentState(ctx, id)
	if answer.Result != OK || answer.State.Ended() {
		return answer
	}
	if reasons, owns := s.ExplainIfOwner(ctx, id); owns {
		answer.Reasons = reasons
		return answer
	}
	reply := s.relay(ctx, &wire.IntakeRequest{Command: commandExplain, Job: string(id)})
	if reply.GetResult() != resultOK {
		return Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "no owner answers"}
	}
	answer.Reasons = reply.GetDetail()
	return answer
}

// replicaIsCurrent reports whether jobs may be counted in the copy at hand.
func (s *Service) replicaIsCurrent() bool {
	return s.Replica.HasFullCopy() && s.Replica.Age() <= maxReplicaAge
}

// countPending counts a queue's jobs that have not started, at the owner if there is no current copy at hand.
func (s *Service) countPending(ctx context.Context, route *Route) Answer {
	if s.replicaIsCurrent() {
		s.answerCounts[OK].Inc()
		return Answer{Result: OK, Pending: s.Replica.PendingJobs(route.Queue.Name)}
	}
	reply := s.relay(ctx, &wire.IntakeRequest{Command: commandPending, Job: route.Queue.Name})
	if reply.GetResult() == resultOK {
		s.answerCounts[OK].Inc()
		return Answer{Result: OK, Pending: int(reply.GetPending())}
	}
	return s.recordAnswer(labelPending, "", Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "ledger copy outdated"})
}

// findJob looks a job up, in the store or at the owner if this daemon doesn't know it.
func (s *Service) findJob(ctx context.Context, id graph.JobID) Answer {
	if j, ok := s.Replica.Job(id); ok {
		return Answer{Result: OK, State: j.State()}
	}
	for try := range maxTries {
		j, ok, err := s.findWithTimeout(ctx, id)
		if err == nil && ok {
			return Answer{Result: OK, State: j.State()}
		}
		if err == nil {
			return Answer{Result: NoJob}
		}
		reply := s.relay(ctx, &wire.IntakeRequest{Command: commandFind, Job: string(id)})
		switch reply.GetResult() {
		case resultOK:
			return Answer{Result: OK, State: graph.JobState(reply.GetState())}
		case resultNoJob:
			return Answer{Result: NoJob}
		}
		if ctx.Err() != nil || try == maxTries-1 {
			break
		}
		monotime.Sleep(ctx, retryInterval)
	}
	return Answer{Result: Unavailable, RetryAfter: s.retryAfter(), Detail: "store unavailable"}
}

func (s *Service) findWithTimeout(ctx context.Context, id graph.JobID) (ledger.Job, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.Replica.Find(ctx, id)
}

// observeDuration notes how long an answer took.
func (s *Service) observeDuration(command string, start monotime.Instant) {
	s.answerSeconds[command].Update(s.Clock.Now().Sub(start).Seconds())
}

// recordAnswer counts an recordAnswer and logs what is not plain success.
func (s *Service) recordAnswer(command, rest string, a Answer) Answer {
	s.answerCounts[a.Result].Inc()
	if a.Result != OK || command != labelState {
		s.Log.Info().Str("job", rest).Str("command", command).Str("result", a.Result.String()).Str("detail", a.Detail).Dur("retry_after", a.RetryAfter).Uint64("config", s.configVersion()).Dur("ledger_age", s.Replica.Age()).Msg("answered")
	}
	return a
}

// jobIDLength is the number of hexadecimal digits of a job's id.
const jobIDLength = 16

func parseJobID(s string) (graph.JobID, bool) {
	if len(s) != jobIDLength {
		return "", false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return "", false
		}
	}
	return graph.JobID(s), true
}
