package membership

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/wire"
)

// Service maintains this member's row, exchanges heartbeats, and acquires and releases shards. One event loop owns its
// state. Operations that block run outside of the loop and report their result as an event. Its methods are safe for
// concurrent use.
type Service struct {
	opts    Options
	events  chan event
	view    atomic.Pointer[view]
	leaving atomic.Bool
	// canAcquire means that this member can acquire shards.
	canAcquire atomic.Bool
	// rowChanges counts this member's acquisitions and releases; when it rises, the others read the rows again.
	rowChanges atomic.Uint64
	sequence   atomic.Uint64
	// done is closed when Run returns.
	done chan struct{}
	// left is closed when a graceful leave is complete.
	left     chan struct{}
	leftOnce sync.Once
}

// event is a message to the event loop. Only the loop calls apply.
type event interface {
	apply(l *loop)
}

// New returns a service. It does nothing until Run is called.
func New(opts Options) *Service {
	if opts.Log == nil {
		opts.Log = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	s := &Service{
		opts:   opts,
		events: make(chan event, eventQueueSize),
		done:   make(chan struct{}),
		left:   make(chan struct{}),
	}
	s.view.Store(&view{})
	return s
}

// Run runs the service until ctx ends. Shards that are still owned then remain this member's until others consider
// it dead, so call Leave before a planned stop.
func (s *Service) Run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l := newLoop(ctx, s)
	l.step(tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			l.step(e)
		case <-ticker.C:
			l.step(tick{})
		}
	}
}

// post sends an event to the loop. It blocks while the queue is full, unless the loop has ended.
func (s *Service) post(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// Members lists the members that had a row when the rows were last read, and this one.
func (s *Service) Members() []Member {
	return s.view.Load().members
}

// Owner returns the shard's ownership, or false if no owner is known.
func (s *Service) Owner(shard cell.ShardID) (Ownership, bool) {
	o, ok := s.view.Load().owners[shard]
	return o, ok
}

// OwnedShards lists the ownerships of the shards that this member owns.
func (s *Service) OwnedShards() []Ownership {
	return s.view.Load().owned
}

// Digest returns the shard's digest as its owner last announced it, or false if none is known.
func (s *Service) Digest(shard cell.ShardID) (*wire.ShardDigest, bool) {
	v := s.view.Load()
	if v.owners[shard].Owner != s.opts.ID {
		d, ok := v.digests[shard]
		return d, ok
	}
	for _, d := range s.opts.ShardHost.ShardDigests() {
		if d.GetShard() == string(shard) {
			return d, true
		}
	}
	return nil, false
}

// RecheckOwner makes the service read the rows again soon, after a call to the shard's owner failed or was refused.
func (s *Service) RecheckOwner(shard cell.ShardID) {
	s.post(recheckRequested{shard: shard})
}

// BroadcastHeartbeat sends every other member a heartbeat at once, to spread a change of the configuration or of
// workers.
func (s *Service) BroadcastHeartbeat() {
	s.post(broadcastRequested{})
}

// ConfirmOwnership reads the shard's row. It returns nil if the row names this member and the epoch: that was true at
// some time after the call began.
// Errors: ErrSuperseded, and those of platformapi.Table if the row can't be read.
func (s *Service) ConfirmOwnership(ctx context.Context, shard cell.ShardID, epoch cell.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := s.opts.Table.Get(ctx, shardKey(shard))
	if err != nil {
		return err
	}
	r, err := decodeShardRow(row)
	if err != nil {
		return err
	}
	s.post(shardRowRead{shard: shard, row: row, decoded: r})
	if r.Owner != s.opts.ID || r.Epoch != epoch {
		return ErrSuperseded
	}
	return nil
}

// Leave releases every shard to other members and deletes this member's row. It returns ctx's error if ctx ends first.
// The service goes on answering heartbeats until Run's context ends.
func (s *Service) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.post(leaveRequested{ctx: ctx})
	select {
	case <-s.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return context.Canceled
	}
}

// HandleHeartbeat answers another member's heartbeat.
func (s *Service) HandleHeartbeat(heartbeat *wire.Heartbeat) *wire.Reply {
	s.post(heartbeatReceived{heartbeat: heartbeat})
	s.opts.ConfigStore.LearnVersion(heartbeat.GetAddr(), heartbeat.GetConfigVersion())
	return &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: s.heartbeat()}}
}

// heartbeat returns a heartbeat with the current state of this member and its shards.
func (s *Service) heartbeat() *wire.Heartbeat {
	version, pending := s.opts.ConfigStore.AnnouncedVersion()
	return &wire.Heartbeat{
		Member:         string(s.opts.ID),
		Addr:           s.opts.Addr,
		Zone:           s.opts.Zone,
		ConfigVersion:  version,
		ConfigPending:  pending,
		Leaving:        s.leaving.Load(),
		Shards:         s.opts.ShardHost.ShardDigests(),
		LeavingWorkers: workerNames(s.opts.ShardHost.LeavingWorkers()),
		Sequence:       s.sequence.Add(1),
		RowChanges:     s.rowChanges.Load(),
		TakesShards:    s.canAcquire.Load(),
	}
}

// view is the state that the loop last published for readers. It is immutable.
type view struct {
	members []Member
	owners  map[cell.ShardID]Ownership
	owned   []Ownership
	digests map[cell.ShardID]*wire.ShardDigest
}

func workerNames(ids []cell.WorkerID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

func workerIDs(names []string) []cell.WorkerID {
	out := make([]cell.WorkerID, len(names))
	for i, name := range names {
		out[i] = cell.WorkerID(name)
	}
	return out
}

// shardRowRead reports a shard's row that was read outside of the loop.
type shardRowRead struct {
	shard   cell.ShardID
	row     platformapi.Row
	decoded shardRow
}

func (e shardRowRead) apply(l *loop) {
	l.applyShardRow(e.shard, e.row.Version, e.decoded)
}

// recheckRequested requests that the rows be read again, since the shard's owner does not serve.
type recheckRequested struct {
	shard cell.ShardID
}

func (e recheckRequested) apply(l *loop) {
	l.readRowsSoon()
}

// broadcastRequested requests heartbeats to all members at once.
type broadcastRequested struct{}

func (broadcastRequested) apply(l *loop) {
	l.broadcastHeartbeat()
}

// leaveRequested begins a graceful leave that ends when ctx ends at the latest.
type leaveRequested struct {
	ctx context.Context
}

func (e leaveRequested) apply(l *loop) {
	l.leaveCtx = e.ctx
	l.broadcastHeartbeat()
	l.continueLeave()
}
