package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/overload"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/wire"
)

// Result is the result of a command or a query.
type Result int

// The results of commands and queries.
const (
	// OK means that the command is stored durably, or that the query has an answer.
	OK Result = iota
	// NoQueue means that no such queue exists.
	NoQueue
	// NoJob means that no such job exists.
	NoJob
	// Invalid means that the request is malformed; nothing was stored.
	Invalid
	// Unavailable means that nothing was stored and nothing will be.
	Unavailable
	// Uncertain means that the command may or may not take effect.
	Uncertain
	// Unauthorized means that the request needs a key and has none that an organisation holds; nothing was stored.
	Unauthorized
	// Overloaded means that the job could not be completed in time; nothing was stored and nothing will be.
	Overloaded
)

// resultNames are the names of the results in logs and metrics.
var resultNames = map[Result]string{
	OK: "ok", NoQueue: "no_queue", NoJob: "no_job", Invalid: "invalid", Unavailable: "unavailable", Uncertain: "uncertain",
	Unauthorized: "unauthorized",
	Overloaded:   "overloaded",
}

// String returns the result's name in logs and metrics.
func (r Result) String() string { return resultNames[r] }

// Answer is a result with the values that the caller asked for, or with the reason why there are none.
type Answer struct {
	Result  Result
	State   graph.JobState
	Pending int
	// Reasons say why a job is in its state.
	Reasons []string
	// RetryAfter is how long the caller should wait before it tries again. Set with Unavailable and Overloaded.
	RetryAfter time.Duration
	// Detail says why the result is not OK.
	Detail string
}

// Timeouts, retries and the age limit of the replica.
const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 800 * time.Millisecond
	// relayTimeout bounds one call to another daemon.
	relayTimeout = 700 * time.Millisecond
	// ownerStateTimeout bounds a query for a job's state at the owner, which answers from memory.
	ownerStateTimeout = 250 * time.Millisecond
	// retryInterval is the pause between two tries.
	retryInterval = 120 * time.Millisecond
	// maxTries bounds the tries of one command. A store that fails them all is down for longer than a caller waits.
	maxTries = 4
	// notReadyRetryAfter is the Retry-After of a daemon that is starting or whose replica or configuration is outdated.
	// It is short because other daemons can answer.
	notReadyRetryAfter = 1 * time.Second
	// maxAdmissionAge is how long the key and the queue of a request stay checked while its body arrives.
	maxAdmissionAge = 100 * time.Millisecond
	// marksPerSecond bounds the cancellations of unknown jobs that all daemons store, marksBurst those that one stores at once. Each takes two of
	// the store's some hundred writes a second, and a row for some minutes.
	marksPerSecond = 20
	marksBurst     = 10
	// markRetryAfter is the Retry-After of a cancellation beyond these bounds.
	markRetryAfter = 2 * time.Second
	// maxReplicaAge is the greatest age of the replica at which jobs are counted in it.
	maxReplicaAge = 2500 * time.Millisecond
)

// Options holds the dependencies of a service. All fields but Backlog and ConfigChanged are required.
type Options struct {
	Replica *ledger.Replica
	Clock   monotime.Clock
	Log     *log.Logger
	Peers   peer.Sender
	// Incarnation identifies this run of the daemon, as in the ownership row.
	Incarnation string
	// MaxConfigAge is the age above which the configuration may lack a queue that a newer version has.
	MaxConfigAge time.Duration
	// DecodeConfig decodes the document of a configuration.
	DecodeConfig func(document []byte) (*Config, error)
	// RequireKeys and MaxKeyUse are those of access.Rules.
	RequireKeys bool
	MaxKeyUse   time.Duration
	// ExplainIfOwner says why a job is in its state if this daemon owns the cell; ok is false otherwise.
	ExplainIfOwner func(ctx context.Context, id graph.JobID) (reasons []string, ok bool)
	// PreviewIfOwner says where a job's tasks would go if this daemon owns the cell; ok is false otherwise.
	PreviewIfOwner func(ctx context.Context, queue graph.Queue, organisation string, spec *graph.Spec) (outcome PreviewOutcome, ok bool)
	// StoreDown reports whether the store has stopped answering, StoreUp whether it answered the last call.
	StoreDown, StoreUp func() bool
	// StoreAge returns how long ago the store last answered this daemon.
	StoreAge func() time.Duration
	// OtherDaemons returns the addresses of the live daemons apart from this one, with those that the store has lately not
	// answered last. The caller must not change the list.
	OtherDaemons func() []string
	// SinceStoreFailure returns how long ago the store last failed a call of this daemon; ever is false if it has not.
	SinceStoreFailure func() (age time.Duration, ever bool)
	// Backlog returns a recent summary of the owner's backlog; ok is false if there is none. It is nil if no job is refused for
	// overload.
	Backlog func() (summary *overload.Summary, ok bool)
	// ConfigChanged is called after another configuration has come into force. It may be called by several goroutines at once, and may be
	// nil.
	ConfigChanged func()
	Metrics       *metrics.Set
}

// Service carries out callers' commands and answers their queries. It is safe for concurrent use.
type Service struct {
	Options

	config atomic.Pointer[Config]
	// configCurrentAt is the latest time at which config was known to be the newest version, a monotime.Instant.
	configCurrentAt atomic.Int64
	answerCounts    map[Result]*metrics.Counter
	// answerSeconds is the time that commands and queries took, by name.
	answerSeconds map[string]*metrics.Histogram
	// organisationAnswers counts the answers of each organisation.
	organisationAnswers *organisationCounters
	// marks bounds the cancellations of unknown jobs that are stored.
	marks *rate.Limiter
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
	s := &Service{Options: o, organisationAnswers: newOrganisationCounters(o.Metrics), marks: rate.NewLimiter(marksPerSecond, marksBurst)}
	s.answerCounts = make(map[Result]*metrics.Counter)
	for r, name := range resultNames {
		s.answerCounts[r] = o.Metrics.NewCounter(`laburnumpoint_answers_total{result="` + name + `"}`)
	}
	s.answerSeconds = make(map[string]*metrics.Histogram)
	for _, name := range []string{labelSubmit, labelCancel, labelState, labelExplain, labelPreview} {
		s.answerSeconds[name] = o.Metrics.NewHistogram(`laburnumpoint_answer_seconds{command="` + name + `"}`)
	}
	return s
}

// SetConfig puts a version of the configuration in force unless it is older than the current one or the same.
func (s *Service) SetConfig(config *Config) {
	for {
		current := s.config.Load()
		if current != nil && current.Version >= config.Version {
			return
		}
		if s.config.CompareAndSwap(current, config) {
			s.registerPoolMetrics(config)
			s.Log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Msg("configuration in force")
			if s.ConfigChanged != nil {
				s.ConfigChanged()
			}
			return
		}
	}
}

// MarkConfigCurrent records that the configuration in force was the newest version at the given time.
func (s *Service) MarkConfigCurrent(at monotime.Instant) {
	for {
		known := s.configCurrentAt.Load()
		if int64(at) <= known || s.configCurrentAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ConfigState returns the version and the document of the configuration in force, and the time since it was known to be the newest;
// version 0 if there is none.
func (s *Service) ConfigState() (version uint64, document []byte, age time.Duration) {
	confirmedAt := monotime.Instant(s.configCurrentAt.Load()) // read first, as in admit
	config := s.config.Load()
	if config == nil {
		return 0, nil, 0
	}
	return config.Version, config.Document, s.Clock.Now().Sub(confirmedAt)
}

// ObserveConfig takes in what another daemon knows of the configuration: its version, which was the newest at the given time, and its
// document if it is newer than this daemon's. The other daemon's word suffices, since daemons trust each other; without it a daemon
// that the store alone does not answer would soon refuse all callers.
func (s *Service) ObserveConfig(version uint64, document []byte, newestAt monotime.Instant) {
	if len(document) > 0 && version > s.configVersion() {
		config, err := s.DecodeConfig(document)
		if err != nil || config.Version != version {
			s.Log.Error().Uint64("version", version).Err(err).Msg("invalid configuration from another daemon skipped, the previous version stays in force")
			return
		}
		s.SetConfig(config)
	}
	if version == s.configVersion() {
		s.MarkConfigCurrent(newestAt)
	}
}

// Config returns the configuration in force, nil if there is none yet.
func (s *Service) Config() *Config { return s.config.Load() }

// Organisations returns the configuration's version and its organisations; version 0 if there is none yet.
func (s *Service) Organisations() (version uint64, organisations []graph.Organisation) {
	config := s.config.Load()
	if config == nil {
		return 0, nil
	}
	return config.Version, config.Organisations
}

// Queue returns the policy of the named queue in the configuration in force.
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

// Ready reports whether the service can answer callers. One that must refuse all keys is not ready, so that new connections go to other
// daemons.
func (s *Service) Ready() bool {
	if !s.Replica.Ready() || s.config.Load() == nil {
		return false
	}
	age := s.Clock.Now().Sub(monotime.Instant(s.configCurrentAt.Load()))
	return !s.accessRules().RefusesAllKeys(age)
}

// Submit accepts a job. decode returns the job's description; it is called only if the key and the queue let the request through, and may
// take as long as the caller takes to send it.
func (s *Service) Submit(ctx context.Context, req Request, decode func() (*graph.Spec, error)) Answer {
	defer s.observeDuration(labelSubmit, s.Clock.Now())
	admitted, refusal := s.admit(req)
	if refusal != nil {
		return s.recordAnswer(labelSubmit, admitted, *refusal)
	}
	bounded, cancel := admitted.bound(ctx)
	defer func() { cancel() }()
	id, ok := parseJobID(admitted.rest)
	if !ok {
		return s.recordAnswer(labelSubmit, admitted, Answer{Result: Invalid, Detail: "job id is not 16 hexadecimal digits"})
	}
	decodeStart := s.Clock.Now()
	spec, refusal := decodeValid(decode)
	if refusal == nil && s.Clock.Now().Sub(decodeStart) > maxAdmissionAge {
		cancel()
		admitted, refusal = s.admit(req)
		bounded, cancel = admitted.bound(ctx)
	}
	if refusal == nil && admitted.rest != string(id) {
		refusal = &Answer{Result: NoQueue} // another queue's prefix matches by now
	}
	if refusal != nil {
		return s.recordAnswer(labelSubmit, admitted, *refusal)
	}
	record := ledger.NewJobRecord(admitted.route.Queue, admitted.organisation, spec, time.Now())
	return s.recordAnswer(labelSubmit, admitted, s.accept(bounded, req, id, record))
}

// decodeValid returns the job that decode returns if it is valid, or else the answer for the caller.
func decodeValid(decode func() (*graph.Spec, error)) (*graph.Spec, *Answer) {
	spec, err := decode()
	if err == nil {
		err = spec.Validate()
	}
	switch {
	case err == nil:
		return spec, nil
	case errors.Is(err, inbound.ErrNoRoom):
		return nil, &Answer{Result: Unavailable, RetryAfter: inbound.RetryAfter(), Detail: err.Error()}
	}
	return nil, &Answer{Result: Invalid, Detail: err.Error()}
}

func (s *Service) accept(ctx context.Context, req Request, id graph.JobID, record ledger.JobRecord) Answer {
	if refusal := s.refuseOverload(ctx, id, &record); refusal != nil {
		return *refusal
	}
	data, err := json.Marshal(record)
	if err != nil {
		return Answer{Result: Invalid, Detail: err.Error()}
	}
	if most := s.Replica.MaxRowBytes(); len(data) > most {
		return Answer{Result: Invalid, Detail: fmt.Sprintf("the job's record takes %d bytes, want at most %d", len(data), most)}
	}
	return s.storeOrRelay(ctx, req,
		func(ctx context.Context) error { return s.Replica.Accept(ctx, id, record) },
		&wire.IntakeRequest{Command: commandAccept, Job: string(id), Record: data}, timesOf(&record))
}

// withJob calls op with the id of the job that a request names. It counts, logs and times the answer.
func (s *Service) withJob(ctx context.Context, command string, req Request, op func(context.Context, admission, graph.JobID) Answer) Answer {
	defer s.observeDuration(command, s.Clock.Now())
	admitted, refusal := s.admit(req)
	if refusal != nil {
		return s.recordAnswer(command, admitted, *refusal)
	}
	id, ok := parseJobID(admitted.rest)
	if !ok {
		return s.recordAnswer(command, admitted, Answer{Result: NoJob})
	}
	ctx, cancel := admitted.bound(ctx)
	defer cancel()
	return s.recordAnswer(command, admitted, op(ctx, admitted, id))
}

// Cancel cancels a job. After NoJob a job of the queue with this id that is accepted in the next minutes is cancelled too.
func (s *Service) Cancel(ctx context.Context, req Request) Answer {
	return s.withJob(ctx, labelCancel, req, func(ctx context.Context, admitted admission, id graph.JobID) Answer {
		found := s.findJob(ctx, id)
		cancel := func(ctx context.Context) error { return s.Replica.Cancel(ctx, id) }
		command := &wire.IntakeRequest{Command: commandCancel, Job: string(id)}
		switch found.Result {
		case OK:
		case NoJob:
			// A write that accepts the job may be under way.
			if !s.mayMark() {
				return Answer{Result: Unavailable, RetryAfter: markRetryAfter, Detail: "too many cancellations of unknown jobs"}
			}
			mark := ledger.NewCancelMark(admitted.route.Queue.Name, admitted.organisation)
			data, err := json.Marshal(mark)
			if err != nil {
				return Answer{Result: Invalid, Detail: err.Error()}
			}
			cancel = func(ctx context.Context) error { return s.Replica.CancelUnknown(ctx, id, mark) }
			command.Record = data
		default:
			return found
		}
		return s.storeOrRelay(ctx, req, cancel, command, timesOfCommand)
	})
}

// mayMark reports whether the cancellation of an unknown job may be stored now.
func (s *Service) mayMark() bool {
	daemons := len(s.OtherDaemons()) + 2 // with the owner, which lists them, and this one
	s.marks.SetLimit(marksPerSecond / rate.Limit(daemons))
	return s.marks.Allow()
}

// State returns a job's state, or the number of pending jobs if the path names only a queue.
func (s *Service) State(ctx context.Context, req Request) Answer {
	defer s.observeDuration(labelState, s.Clock.Now())
	admitted, refusal := s.admit(req)
	if refusal != nil {
		return s.recordAnswer(labelState, admitted, *refusal)
	}
	ctx, cancel := admitted.bound(ctx)
	defer cancel()
	if admitted.rest == "" {
		return s.countPending(ctx, admitted)
	}
	id, ok := parseJobID(admitted.rest)
	if !ok {
		return s.recordAnswer(labelState, admitted, Answer{Result: NoJob})
	}
	return s.recordAnswer(labelState, admitted, s.currentState(ctx, id))
}

// currentState returns a job's state as the owner knows it. This daemon's replica lags, which would delay a caller that
// waits for its job's end; it is used only if the owner doesn't answer within ownerStateTimeout.
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

// Explain says why a job is in its state, as the owner knows it.
func (s *Service) Explain(ctx context.Context, req Request) Answer {
	return s.withJob(ctx, labelExplain, req, s.explainJob)
}

func (s *Service) explainJob(ctx context.Context, _ admission, id graph.JobID) Answer {
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
		return Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "no owner answered"}
	}
	answer.Reasons = reply.GetDetail()
	return answer
}

// replicaIsCurrent reports whether this daemon's replica is complete and recent enough to count jobs in it.
func (s *Service) replicaIsCurrent() bool {
	return s.Replica.HasFullCopy() && s.Replica.Age() <= maxReplicaAge
}

// countPending counts a queue's jobs that have not started. It asks the owner if this daemon's replica is outdated.
func (s *Service) countPending(ctx context.Context, admitted admission) Answer {
	queue := admitted.route.Queue.Name
	if s.replicaIsCurrent() {
		return s.countAnswer(admitted, Answer{Result: OK, Pending: s.Replica.PendingJobs(queue)})
	}
	reply := s.relay(ctx, &wire.IntakeRequest{Command: commandPending, Job: queue})
	if reply.GetResult() == resultOK {
		return s.countAnswer(admitted, Answer{Result: OK, Pending: int(reply.GetPending())})
	}
	return s.recordAnswer(labelPending, admitted, Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "this daemon's replica is outdated and no owner answered"})
}

// findJob looks a job up in the replica, then in the store, then at the owner.
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
	return s.storeUnavailable(timesOfCommand)
}

func (s *Service) findWithTimeout(ctx context.Context, id graph.JobID) (ledger.Job, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.Replica.Find(ctx, id)
}

// observeDuration records the time since start in the histogram of the command.
func (s *Service) observeDuration(command string, start monotime.Instant) {
	s.answerSeconds[command].Update(s.Clock.Now().Sub(start).Seconds())
}

// maxLoggedPath bounds what a log line has of a path that may be any text, in bytes.
const maxLoggedPath = 64

// recordAnswer counts an answer and logs it, except for the OK answers of State.
func (s *Service) recordAnswer(command string, admitted admission, a Answer) Answer {
	if a.Result != OK || command != labelState {
		line := s.Log.Info().Str("job", admitted.rest[:min(len(admitted.rest), maxLoggedPath)]).Str("command", command).Str("result", a.Result.String()).Str("detail", a.Detail).Dur("retry_after", a.RetryAfter).Uint64("config", s.configVersion()).Dur("ledger_age", s.Replica.Age())
		if admitted.organisation != "" {
			line = line.Str("organisation", admitted.organisation)
		}
		line.Msg("answered")
	}
	return s.countAnswer(admitted, a)
}

func (s *Service) countAnswer(admitted admission, a Answer) Answer {
	s.answerCounts[a.Result].Inc()
	s.organisationAnswers.count(admitted.organisation)
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
