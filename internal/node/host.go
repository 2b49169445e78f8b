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

// hosted is a shard that this process owns.
type hosted struct {
	shard cell.ShardID
	epoch cell.Epoch
	owner *shard.Owner
	jobs  *job.Controller
}

// host holds the shards that this process owns. It implements membership.Host.
type host struct {
	start func(cell.ShardID, cell.Epoch) *hosted
	// stopped is called when a shard is given up.
	stopped func(cell.ShardID)
	log     *log.Logger

	draining     sync.WaitGroup
	drainCtx     context.Context
	stopDraining context.CancelFunc

	mu      sync.Mutex
	digests map[cell.ShardID]*wire.ShardDigest
	shards  map[cell.ShardID]*hosted
	workers []cell.Worker
	// asOf is when the reading of workers began.
	asOf    time.Time
	leaving []cell.WorkerID
	doc     config.Document
}

func newHost(logger *log.Logger, start func(cell.ShardID, cell.Epoch) *hosted, stopped func(cell.ShardID)) *host {
	ctx, cancel := context.WithCancel(context.Background())
	return &host{
		start:        start,
		stopped:      stopped,
		log:          logger,
		drainCtx:     ctx,
		stopDraining: cancel,
		shards:       make(map[cell.ShardID]*hosted),
	}
}

// get returns the shard if this process owns it, or nil.
func (h *host) get(id cell.ShardID) *hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[id]
}

// all returns the owned shards in id order.
func (h *host) all() []*hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*hosted, 0, len(h.shards))
	for _, s := range h.shards {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *hosted) int { return cmpShard(a.shard, b.shard) })
	return out
}

// OnShardAcquired implements membership.Host: this process owns the shard under epoch.
func (h *host) OnShardAcquired(id cell.ShardID, epoch cell.Epoch) {
	s := h.start(id, epoch)
	h.mu.Lock()
	old := h.shards[id]
	h.shards[id] = s
	mine := workersOf(h.doc, h.workers, id)
	asOf := h.asOf
	h.mu.Unlock()
	if old != nil {
		h.end(old)
	}
	s.owner.SetWorkersAsOf(mine, asOf)
	h.log.Info().Str("shard", string(id)).Uint64("epoch", uint64(epoch)).Msg("shard acquired")
}

// OnShardLost implements membership.Host: another process has a higher epoch.
func (h *host) OnShardLost(id cell.ShardID, epoch cell.Epoch) {
	s := h.remove(id, epoch)
	if s == nil {
		return
	}
	h.stopped(id)
	h.end(s)
	h.log.Warn().Str("shard", string(id)).Uint64("epoch", uint64(epoch)).Msg("shard lost")
}

// ReleaseShard implements membership.Host: it returns when this process has stopped deciding for the shard. What is in flight
// goes on here, so that a long task does not keep the shard from its next owner; Drain waits for it.
func (h *host) ReleaseShard(ctx context.Context, id cell.ShardID, epoch cell.Epoch) {
	s := h.remove(id, epoch)
	if s == nil {
		return
	}
	h.stopped(id)
	s.jobs.Stop(ctx)
	h.draining.Go(func() { s.owner.Release(h.drainCtx) })
	// The owner answers queries in order, so an answer means that it has taken in the release.
	s.owner.Status()
	h.log.Info().Str("shard", string(id)).Uint64("epoch", uint64(epoch)).Msg("shard released")
}

// Drain waits until everything in flight in released shards has been answered, or until ctx ends and what is left is
// answered as unknown.
func (h *host) Drain(ctx context.Context) {
	stop := context.AfterFunc(ctx, h.stopDraining)
	defer stop()
	h.draining.Wait()
}

func (h *host) remove(id cell.ShardID, epoch cell.Epoch) *hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.shards[id]
	if s == nil || s.epoch != epoch {
		return nil
	}
	delete(h.shards, id)
	return s
}

// end gives up a shard that another process owns. A flush of job progress would only meet the new owner's.
func (h *host) end(s *hosted) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.jobs.Stop(ctx)
	s.owner.Supersede()
}

// ShardDigests implements membership.Host.
func (h *host) ShardDigests() []*wire.ShardDigest {
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
func (h *host) lastDigest(id cell.ShardID) *wire.ShardDigest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.digests[id]
}

// LeavingWorkers implements membership.Host.
func (h *host) LeavingWorkers() []cell.WorkerID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.leaving)
}

// MarkWorkersLeaving implements membership.Host: another process has seen these workers leave.
func (h *host) MarkWorkersLeaving(ids []cell.WorkerID) {
	for _, s := range h.all() {
		s.owner.MarkLeaving(ids)
	}
}

// setWorkers takes in the platform's list, whose reading began at asOf, and tells each owned shard of its part.
func (h *host) setWorkers(doc config.Document, workers []cell.Worker, asOf time.Time) {
	var leaving []cell.WorkerID
	for _, w := range workers {
		if w.State != cell.WorkerLive {
			leaving = append(leaving, w.ID)
		}
	}
	h.mu.Lock()
	h.doc = doc
	h.workers = workers
	h.asOf = asOf
	h.leaving = leaving
	h.mu.Unlock()
	for _, s := range h.all() {
		s.owner.SetWorkersAsOf(workersOf(doc, workers, s.shard), asOf)
	}
}

// allWorkers returns the platform's list as last read.
func (h *host) allWorkers() []cell.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers
}

func workersOf(doc config.Document, workers []cell.Worker, id cell.ShardID) []cell.Worker {
	var mine []cell.Worker
	for _, w := range workers {
		if doc.ShardOf(w) == id {
			mine = append(mine, w)
		}
	}
	return mine
}

func (s *hosted) digest() *wire.ShardDigest {
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

func cmpShard(a, b cell.ShardID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
