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

// Tables and rows in the store beside those of the ledger.
const (
	workersTable  = "laburnumpoint-workers"
	queuesTable   = "laburnumpoint-queues"
	queuesRowName = "queues"
	// feedWait is how long a call to the store's feed waits if there is no change; it returns at once when there is one.
	feedWait = 700 * time.Millisecond
)

// QueueConfigKey returns the key of the row with the configuration of queues.
func QueueConfigKey() rowstore.Key { return rowstore.Key{Table: queuesTable, Name: queuesRowName} }

// WorkerRow returns the row of w in the worker registry.
func WorkerRow(w dispatch.Worker) (rowstore.Row, error) {
	value, err := json.Marshal(w)
	return rowstore.Row{Key: rowstore.Key{Table: workersTable, Name: string(w.ID)}, Value: value}, err
}

// QueueConfig is one version of the configuration of queues.
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

var errInvalidQueueConfig = errors.New("queue configuration: the version must be above 0 and each queue needs a name, a pool, at least one attempt, and a stretch and a target of 0 or more")

// Validate returns an error if the configuration can't be put in force.
func (c *QueueConfig) Validate() error {
	for _, queue := range c.Queues {
		if queue.Name == "" || queue.Pool == "" || queue.MaxAttempts < 1 || queue.Stretch < 0 || queue.TargetMS < 0 {
			return errInvalidQueueConfig
		}
	}
	if c.Version == 0 {
		return errInvalidQueueConfig
	}
	return nil
}

// EntryConfig returns the configuration of package entry. It routes each path of the form /queue/id to the queue.
func (c *QueueConfig) EntryConfig() *entry.Config {
	config := &entry.Config{Version: c.Version}
	for _, queue := range c.Queues {
		policy := graph.Queue{
			Name: queue.Name, Pool: queue.Pool, Priority: queue.Priority, MaxAttempts: queue.MaxAttempts,
			Stretch: queue.Stretch, Target: time.Duration(queue.TargetMS) * time.Millisecond,
		}
		config.Routes = append(config.Routes, entry.Route{Prefix: "/" + queue.Name + "/", Queue: policy})
	}
	return config
}

// FollowQueueConfig keeps the service's queues current until ctx ends. It skips a version that can't be decoded or is
// invalid.
func FollowQueueConfig(ctx context.Context, store rowstore.Store, clock monotime.Clock, logger *log.Logger, service *entry.Service) {
	follower := &rowstore.Follower{Store: store, Clock: clock, Log: logger, Table: queuesTable, Parts: []string{""}, FeedWait: feedWait}
	follower.OnUpdate = func(u rowstore.Update) {
		for _, change := range u.Changes {
			var config QueueConfig
			if change.Removed || change.Name != queuesRowName {
				continue
			}
			if err := errors.Join(json.Unmarshal(change.Value, &config), config.Validate()); err != nil {
				logger.Error().Uint64("version", change.Version).Err(err).Msg("invalid queue configuration skipped, the previous version stays in force")
				continue
			}
			service.SetConfig(config.EntryConfig())
		}
	}
	follower.OnCurrent = service.MarkConfigCurrent
	follower.Run(ctx)
}

// WorkerRegistry reads the registry of workers in the row store.
type WorkerRegistry struct {
	Store rowstore.Store
	Clock monotime.Clock
	Log   *log.Logger
}

// Follow implements owner.WorkerRegistry.
func (r *WorkerRegistry) Follow(ctx context.Context, changed func(owner.RegistryChange)) {
	follower := rowstore.Follower{Store: r.Store, Clock: r.Clock, Log: r.Log, Table: workersTable, Parts: []string{""}, FeedWait: feedWait}
	follower.OnUpdate = func(u rowstore.Update) { changed(r.decode(u.Changes, u.Full)) }
	follower.Run(ctx)
}

func (r *WorkerRegistry) decode(changes []rowstore.Change, full bool) owner.RegistryChange {
	out := owner.RegistryChange{Full: full}
	for _, change := range changes {
		var w dispatch.Worker
		if change.Removed {
			out.Removed = append(out.Removed, dispatch.WorkerID(change.Name))
		} else if err := json.Unmarshal(change.Value, &w); err != nil || string(w.ID) != change.Name {
			r.Log.Warn().Str("worker", change.Name).Uint64("version", change.Version).Err(err).Msg("invalid entry of the worker registry skipped")
		} else {
			out.Put = append(out.Put, w)
		}
	}
	return out
}

// errNoPolicy is the answer to a permit request in a cell without a policy service.
var errNoPolicy = errors.New("the cell has no policy service")

// NoPolicyService is the owner.PolicyService of a cell without a policy service. It refuses every permit request.
type NoPolicyService struct{}

// RequestPermits implements owner.PolicyService.
func (NoPolicyService) RequestPermits(_ context.Context, step dispatch.StepID, _ []dispatch.WorkerID) (owner.PermitAnswer, error) {
	return owner.PermitAnswer{}, fmt.Errorf("permits for step %d of job %s: %w", step.Step, step.Job, errNoPolicy)
}
