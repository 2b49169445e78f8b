package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/job"
	"laburnumpoint/internal/shard"
	"laburnumpoint/internal/wire"
)

// ownedShard is a shard that this process owns, under one epoch.
type ownedShard struct {
	shard cell.ShardID
	epoch cell.Epoch
	owner *shard.Owner
	jobs  *job.Controller
}

// shardHost holds the shards that this process owns. It implements membership.ShardHost.
type shardHost struct {
	startShard func(cell.ShardID, cell.Epoch) *ownedShard
	// onStopped is called when a shard is lost or released.
	onStopped func(cell.ShardID)
	log       *log.Logger

	// releases counts the released shards whose work is still in flight; cancelReleases ends the wait for that work.
	releases       sync.WaitGroup
	releaseCtx     context.Context
	cancelReleases context.CancelFunc

	mu sync.Mutex
	// digests are those of the last heartbeat.
	digests map[cell.ShardID]*wire.ShardDigest
	shards  map[cell.ShardID]*ownedShard
	// workers is the platform's VM list, read with the configuration doc in force.
	workers []cell.Worker
	// workersReadAt is when the last successful read of workers began.
	workersReadAt  time.Time
	leavingWorkers []cell.WorkerID
	doc            config.Document
}

func newShardHost(logger *log.Logger, startShard func(cell.ShardID, cell.Epoch) *ownedShard, onStopped func(cell.ShardID)) *shardHost {
	ctx, cancel := context.WithCancel(context.Background())
	return &shardHost{
		startShard:     startShard,
		onStopped:      onStopped,
		log:            logger,
		releaseCtx:     ctx,
		cancelReleases: cancel,
		shards:         make(map[cell.ShardID]*ownedShard),
	}
}

// get returns the shard if this process owns it, or nil.
func (h *shardHost) get(id cell.ShardID) *ownedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[id]
}

// all returns the owned shards in id order.
func (h *shardHost) all() []*ownedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*ownedShard, 0, len(h.shards))
	for _, s := range h.shards {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *ownedShard) int { return compareShardIDs(a.shard, b.shard) })
	return out
}

// OnShardAcquired implements membership.ShardHost: this process owns the shard under epoch.
func (h *shardHost) OnShardAcquired(id cell.ShardID, epoch cell.Epoch) {
	s := h.startShard(id, epoch)
	h.mu.Lock()
	old := h.shards[id]
	h.shards[id] = s
	workers := workersOf(h.doc, h.workers, id)
	workersReadAt := h.workersReadAt
	h.mu.Unlock()
	if old != nil {
		h.supersede(old)
	}
	s.owner.SetWorkersAsOf(workers, workersReadAt)
	h.log.Info().Str("shard", string(id)).Uint64("epoch", uint64(epoch)).Msg("shard acquired")
}

// OnShardLost implements membership.ShardHost: another process owns the shard under a higher epoch.
func (h *shardHost) OnShardLost(id cell.ShardID, epoch cell.Epoch) {
	s := h.remove(id, epoch)
	if s == nil {
		return
	}
	h.onStopped(id)
	h.supersede(s)
	h.log.Warn().Str("shard", string(id)).Uint64("epoch", uint64(epoch)).Msg("shard lost")
}

// ReleaseShard implements membership.ShardHost: it returns when this process has stopped deciding for the shard. Runs
// in flight continue here, so that a long task doesn't delay the next owner; waitForReleases waits for them.
func (h *shardHost) ReleaseShard(ctx context.Context, id cell.ShardID, epoch cell.Epoch) {
	s := h.remove(id, epoch)
	if s == nil {
		return
	}
	h.onStopped(id)
	s.jobs.Stop(ctx)
	h.releases.Go(func() { s.owner.Release(h.releaseCtx) })
	// The owner handles events in order, so it has processed the release once it answers this query.
	s.owner.Status()
	h.log.Info().Str("shard", string(id)).Uint64("epoch", uint64(epoch)).Msg("shard released")
}

// waitForReleases waits until every request in flight in a released shard is answered. When ctx ends, the remaining
// ones are answered as unknown.
func (h *shardHost) waitForReleases(ctx context.Context) {
	stop := context.AfterFunc(ctx, h.cancelReleases)
	defer stop()
	h.releases.Wait()
}

func (h *shardHost) remove(id cell.ShardID, epoch cell.Epoch) *ownedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.shards[id]
	if s == nil || s.epoch != epoch {
		return nil
	}
	delete(h.shards, id)
	return s
}

// supersede stops a shard that another process owns. Its job progress isn't flushed: that would conflict with the new
// owner's writes.
func (h *shardHost) supersede(s *ownedShard) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.jobs.Stop(ctx)
	s.owner.Supersede()
}

// ShardDigests implements membership.ShardHost.
func (h *shardHost) ShardDigests() []*wire.ShardDigest {
	var out []*wire.ShardDigest
	byShard := make(map[cell.ShardID]*wire.ShardDigest)
	for _, s := range h.all() {
		d := s.digest()
		out = append(out, d)
		byShard[s.shard] = d
	}
	h.mu.Lock()
	h.digests = byShard
	h.mu.Unlock()
	return out
}

// lastDigest returns the digest of an owned shard as of the last heartbeat, or nil.
func (h *shardHost) lastDigest(id cell.ShardID) *wire.ShardDigest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digests[id]
}

// LeavingWorkers implements membership.ShardHost.
func (h *shardHost) LeavingWorkers() []cell.WorkerID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.leavingWorkers)
}

// MarkWorkersLeaving implements membership.ShardHost: another process has seen these workers leaving or removed.
func (h *shardHost) MarkWorkersLeaving(ids []cell.WorkerID) {
	for _, s := range h.all() {
		s.owner.MarkLeaving(ids)
	}
}

// setWorkers stores the platform's VM list, whose read began at readAt, and passes its own workers to each owned shard.
func (h *shardHost) setWorkers(doc config.Document, workers []cell.Worker, readAt time.Time) {
	var leaving []cell.WorkerID
	for _, w := range workers {
		if w.State != cell.WorkerLive {
			leaving = append(leaving, w.ID)
		}
	}
	h.mu.Lock()
	h.doc = doc
	h.workers = workers
	h.workersReadAt = readAt
	h.leavingWorkers = leaving
	h.mu.Unlock()
	for _, s := range h.all() {
		s.owner.SetWorkersAsOf(workersOf(doc, workers, s.shard), readAt)
	}
}

// allWorkers returns the platform's VM list as last read.
func (h *shardHost) allWorkers() []cell.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers
}

func workersOf(doc config.Document, workers []cell.Worker, id cell.ShardID) []cell.Worker {
	var out []cell.Worker
	for _, w := range workers {
		if doc.ShardOf(w) == id {
			out = append(out, w)
		}
	}
	return out
}

func (s *ownedShard) digest() *wire.ShardDigest {
	totals, claimed, _, _ := s.owner.Status()
	return &wire.ShardDigest{
		Shard:          string(s.shard),
		Epoch:          uint64(s.epoch),
		Free:           wire.FromResources(totals.Available),
		Capacity:       wire.FromResources(totals.Capacity),
		LargestFree:    wire.FromResources(totals.LargestAvailable),
		Queued:         uint32(totals.Queued),
		Running:        uint32(totals.Placed),
		Workers:        uint32(totals.Workers),
		WorkersClaimed: uint32(claimed),
	}
}

func compareShardIDs(a, b cell.ShardID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
