package graphproto

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/rowstore"
)

// Tables beside those of the ledger.
const (
	workersTable = "laburnumpoint-workers"
	queuesTable  = "laburnumpoint-queues"
	queuesName   = "queues"
	// followWait is how long a call for changes waits; a new configuration is heard of at once.
	followWait = 700 * time.Millisecond
)

// QueueConfigKey names the row with the configuration of queues.
func QueueConfigKey() rowstore.Key { return rowstore.Key{Table: queuesTable, Name: queuesName} }

// WorkerRow returns the row by which a worker registers.
func WorkerRow(w dispatch.Worker) (rowstore.Row, error) {
	value, err := json.Marshal(w)
	return rowstore.Row{Key: rowstore.Key{Table: workersTable, Name: string(w.ID)}, Value: value}, err
}

// QueueConfig is a version of the configuration of queues.
type QueueConfig struct {
	Version uint64  `json:"version"`
	Queues  []Queue `json:"queues"`
}

// Queue is a queue's policy as operators write it. The fields are those of graph.Queue.
type Queue struct {
	Name        string  `json:"name"`
	Pool        string  `json:"pool"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"attempts"`
	Stretch     float64 `json:"stretch"`
	TargetMS    int64   `json:"target_ms"`
}

var errBadQueues = errors.New("each queue needs a name, a pool and at least one attempt, and the version is above 0")

// Validate reports whether the configuration can be put in force.
func (q *QueueConfig) Validate() error {
	for _, queue := range q.Queues {
		if queue.Name == "" || queue.Pool == "" || queue.MaxAttempts < 1 || queue.Stretch < 0 || queue.TargetMS < 0 {
			return errBadQueues
		}
	}
	if q.Version == 0 {
		return errBadQueues
	}
	return nil
}

// EntryConfig returns the queues as callers reach them: the path of a job is its queue's name and its id.
func (q *QueueConfig) EntryConfig() *entry.Config {
	routes := &entry.Config{Version: q.Version}
	for _, queue := range q.Queues {
		policy := graph.Queue{
			Name: queue.Name, Pool: queue.Pool, Priority: queue.Priority, MaxAttempts: queue.MaxAttempts,
			Stretch: queue.Stretch, Target: time.Duration(queue.TargetMS) * time.Millisecond,
		}
		routes.Routes = append(routes.Routes, entry.Route{Prefix: "/" + queue.Name + "/", Queue: policy})
	}
	return routes
}

// FollowQueueConfig keeps the service's queues current until ctx ends. A version that can't be read is left out.
func FollowQueueConfig(ctx context.Context, store rowstore.Store, clock monotime.Clock, logger *log.Logger, service *entry.Service) {
	f := &rowstore.Follower{Store: store, Clock: clock, Log: logger, Table: queuesTable, Parts: []string{""}, Wait: followWait}
	f.Apply = func(u rowstore.Update) {
		for _, change := range u.Changes {
			var q QueueConfig
			if change.Removed || change.Name != queuesName {
				continue
			}
			if err := errors.Join(json.Unmarshal(change.Value, &q), q.Validate()); err != nil {
				logger.Error().Uint64("version", change.Version).Err(err).Msg("configuration can't be read, the last one stays in force")
				continue
			}
			service.SetConfig(q.EntryConfig())
		}
	}
	f.Done = service.MarkConfigCurrent
	f.Run(ctx)
}

// WorkerRegistry is the register of workers in the store.
type WorkerRegistry struct {
	Store rowstore.Store
	Clock monotime.Clock
	Log   *log.Logger
}

// Follow implements owner.Register.
func (r *WorkerRegistry) Follow(ctx context.Context, changed func(owner.RegistryChange)) {
	f := rowstore.Follower{Store: r.Store, Clock: r.Clock, Log: r.Log, Table: workersTable, Parts: []string{""}, Wait: followWait}
	f.Apply = func(u rowstore.Update) { changed(r.decode(u.Changes, u.Full)) }
	f.Run(ctx)
}

func (r *WorkerRegistry) decode(changes []rowstore.Change, full bool) owner.RegistryChange {
	out := owner.RegistryChange{Full: full}
	for _, change := range changes {
		var w dispatch.Worker
		if change.Removed {
			out.Removed = append(out.Removed, dispatch.WorkerID(change.Name))
		} else if err := json.Unmarshal(change.Value, &w); err != nil || string(w.ID) != change.Name {
			r.Log.Warn().Str("worker", change.Name).Uint64("version", change.Version).Err(err).Msg("register entry skipped")
		} else {
			out.Put = append(out.Put, w)
		}
	}
	return out
}

// errNoPolicy is answered where a queue asks for permits that nobody gives.
var errNoPolicy = errors.New("no policy service")

// NoPolicyService stands where there is no policy service.
type NoPolicyService struct{}

// RequestPermits implements owner.Policy.
func (NoPolicyService) RequestPermits(_ context.Context, step dispatch.StepID, _ []dispatch.WorkerID) (owner.PermitAnswer, error) {
	return owner.PermitAnswer{}, fmt.Errorf("%s: %w", step.Job, errNoPolicy)
}
