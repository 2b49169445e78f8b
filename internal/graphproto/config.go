package graphproto

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/access"
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

// QueueConfig is one version of the configuration of queues and organisations.
type QueueConfig struct {
	Version       uint64         `json:"version"`
	Queues        []Queue        `json:"queues"`
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Queue is a queue's policy as operators write it. The fields are those of graph.Queue.
type Queue struct {
	Name        string  `json:"name"`
	Pool        string  `json:"pool"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"attempts"`
	Stretch     float64 `json:"stretch"`
	TargetMS    int64   `json:"target_ms"`
	// Public means that callers need no key.
	Public bool `json:"public,omitempty"`
}

func (q *Queue) policy() graph.Queue {
	return graph.Queue{
		Name: q.Name, Pool: q.Pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, Target: time.Duration(q.TargetMS) * time.Millisecond,
	}
}

// Organisation is an organisation's policy as operators write it. The fields are those of graph.Organisation.
type Organisation struct {
	Name string `json:"name"`
	// Keys are the keys by which its callers are known. No two organisations have the same key.
	Keys   []string `json:"keys"`
	Weight float64  `json:"weight"`
	// Limit bounds what the organisation has running; a resource of 0 is not bounded.
	Limit Limit `json:"limit,omitzero"`
}

func (o *Organisation) policy() graph.Organisation {
	limit := graph.Resources{MilliCPU: o.Limit.MilliCPU, MemoryMB: o.Limit.MemoryMB, Accelerators: o.Limit.Accelerators}
	return graph.Organisation{Name: o.Name, Weight: o.Weight, Limit: limit}
}

// Limit is a limit in the units of a step's claim.
type Limit struct {
	MilliCPU     int64 `json:"milli_cpu,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Errors of organisations. They don't contain a key.
var (
	errInvalidOrganisation = errors.New("each organisation needs a name of its own and a weight above 0")
	errUnusableKey         = errors.New("a key must consist of visible ASCII characters, since it is sent in a header")
)

var errInvalidQueueConfig = errors.New("queue configuration: the version must be above 0 and each queue needs a name, a pool, at least one attempt, and a target within its range")

// maxTargetMS is the longest target in milliseconds.
const maxTargetMS = int64(graph.MaxTarget / time.Millisecond)

// Validate returns an error if the configuration can't be put in force.
func (c *QueueConfig) Validate() error {
	for _, queue := range c.Queues {
		if queue.Name == "" || queue.Pool == "" || queue.MaxAttempts < 1 || queue.TargetMS > maxTargetMS {
			return errInvalidQueueConfig
		}
		policy := queue.policy()
		if err := policy.CheckRange(); err != nil {
			return fmt.Errorf("queue %q: %w", queue.Name, err)
		}
	}
	if c.Version == 0 {
		return errInvalidQueueConfig
	}
	return c.validateOrganisations()
}

func (c *QueueConfig) validateOrganisations() error {
	names := make(map[string]bool)
	for _, o := range c.Organisations {
		if o.Name == "" || names[o.Name] || o.Weight <= 0 {
			return fmt.Errorf("organisation %q: %w", o.Name, errInvalidOrganisation)
		}
		policy := o.policy()
		if err := policy.CheckRange(); err != nil {
			return fmt.Errorf("organisation %q: %w", o.Name, err)
		}
		names[o.Name] = true
		for _, key := range o.Keys {
			if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
				return fmt.Errorf("organisation %q: %w", o.Name, errUnusableKey)
			}
		}
	}
	_, err := c.keys()
	return err
}

// keys returns the keys of all organisations.
// Errors: those of access.Keys.Add.
func (c *QueueConfig) keys() (access.Keys, error) {
	var keys access.Keys
	for _, o := range c.Organisations {
		for _, key := range o.Keys {
			if err := keys.Add(o.Name, access.NewKey(key)); err != nil {
				return access.Keys{}, fmt.Errorf("organisation %q: %w", o.Name, err)
			}
		}
	}
	return keys, nil
}

// EntryConfig returns the configuration of package entry. It routes each path of the form /queue/id to the queue.
// Errors: those of Validate that concern keys.
func (c *QueueConfig) EntryConfig() (*entry.Config, error) {
	keys, err := c.keys()
	if err != nil {
		return nil, err
	}
	config := &entry.Config{Version: c.Version, Keys: keys}
	for _, queue := range c.Queues {
		config.Routes = append(config.Routes, entry.Route{Prefix: "/" + queue.Name + "/", Queue: queue.policy(), Public: queue.Public})
	}
	for _, o := range c.Organisations {
		config.Organisations = append(config.Organisations, o.policy())
	}
	return config, nil
}

// DecodeQueueConfig decodes and validates a configuration.
func DecodeQueueConfig(value []byte) (*entry.Config, error) {
	var config QueueConfig
	if err := json.Unmarshal(value, &config); err != nil {
		return nil, err
	}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	decoded, err := config.EntryConfig()
	if err != nil {
		return nil, err
	}
	decoded.Document = value
	return decoded, nil
}

// FollowQueueConfig keeps the service's queues current until ctx ends. It skips a version that can't be decoded or is
// invalid.
func FollowQueueConfig(ctx context.Context, store rowstore.Store, clock monotime.Clock, logger *log.Logger, service *entry.Service) {
	follower := &rowstore.Follower{Store: store, Clock: clock, Log: logger, Table: queuesTable, Parts: []string{""}, FeedWait: feedWait}
	follower.OnUpdate = func(u rowstore.Update) {
		for _, change := range u.Changes {
			if change.Removed || change.Name != queuesRowName {
				continue
			}
			config, err := DecodeQueueConfig(change.Value)
			if err != nil {
				logger.Error().Uint64("version", change.Version).Err(err).Msg("invalid queue configuration skipped, the previous version stays in force")
				continue
			}
			service.SetConfig(config)
		}
	}
	follower.OnCurrent = service.MarkConfigCurrent
	follower.Run(ctx)
}

// WorkerRegistry reads the registry of workers in the row store.
type WorkerRegistry struct {
	store   rowstore.Store
	clock   monotime.Clock
	decoder owner.RegistryDecoder
}

// NewWorkerRegistry returns the registry that the store holds.
func NewWorkerRegistry(store rowstore.Store, clock monotime.Clock, logger *log.Logger) *WorkerRegistry {
	return &WorkerRegistry{store: store, clock: clock, decoder: owner.RegistryDecoder{Log: logger, DecodeRow: decodeWorker}}
}

// Follow implements owner.WorkerRegistry.
func (r *WorkerRegistry) Follow(ctx context.Context, changed func(owner.RegistryChange)) {
	follower := rowstore.Follower{Store: r.store, Clock: r.clock, Log: r.decoder.Log, Table: workersTable, Parts: []string{""}, FeedWait: feedWait}
	follower.OnUpdate = func(u rowstore.Update) { changed(r.decoder.Decode(u)) }
	follower.Run(ctx)
}

func decodeWorker(_ string, value []byte) (w dispatch.Worker, err error) {
	err = json.Unmarshal(value, &w)
	return w, err
}

// errNoPolicy is the answer to a permit request in a cell without a policy service.
var errNoPolicy = errors.New("the cell has no policy service")

// NoPolicyService is the owner.PolicyService of a cell without a policy service. It refuses every permit request.
type NoPolicyService struct{}

// RequestPermits implements owner.PolicyService.
func (NoPolicyService) RequestPermits(_ context.Context, step dispatch.StepID, _ []dispatch.WorkerID) (owner.PermitAnswer, error) {
	return owner.PermitAnswer{}, fmt.Errorf("permits for step %d of job %s: %w", step.Step, step.Job, errNoPolicy)
}
