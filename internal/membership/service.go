package membership

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/wire"
)

// Service keeps this member's row, exchanges heartbeats and moves ownership. One event loop owns its state; everything
// that waits runs outside the loop and reports back by an event. Its methods are safe for concurrent use.
type Service struct {
	opts    Options
	events  chan event
	view    atomic.Pointer[view]
	leaving atomic.Bool
	// takes is whether this member can acquire shards.
	takes atomic.Bool
	// rowChanges counts the shard rows this member has written.
	rowChanges atomic.Uint64
	sequence   atomic.Uint64
	// done is closed when Run returns.
	done chan struct{}
	// left is closed when a graceful leave is complete.
	left     chan struct{}
	leftOnce sync.Once
}

// event is something that the loop has to take note of.
type event interface {
	apply(l *loop)
}

// New returns a service that does nothing before Run.
func New(opts Options) *Service {
	if opts.Log == nil {
		opts.Log = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	}
	s := &Service{
		opts:   opts,
		events: make(chan event, eventBacklog),
		done:   make(chan struct{}),
		left:   make(chan struct{}),
	}
	s.view.Store(&view{})
	return s
}

// Run keeps the membership until ctx ends. Shards still owned then stay in this member's name until others judge it
// dead; Leave comes before a planned stop.
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

// post hands an event to the loop. It waits for room, unless the loop has ended.
func (s *Service) post(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// Members lists the members that have a row or have been heard, this one included.
func (s *Service) Members() []Member {
	return s.view.Load().members
}

// Owner returns who owns the shard, and false if nobody is known to.
func (s *Service) Owner(shard cell.ShardID) (Ownership, bool) {
	o, ok := s.view.Load().owners[shard]
	return o, ok
}

// OwnedShards lists the shards that this member owns.
func (s *Service) OwnedShards() []Ownership {
	return s.view.Load().owned
}

// Digest returns what the shard's owner last told of it, and false if nothing is known.
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

// RecheckOwner makes the service read the rows again soon: a call to the shard's owner failed or was refused.
func (s *Service) RecheckOwner(shard cell.ShardID) {
	s.post(suspected{shard: shard})
}

// BroadcastHeartbeat sends every live member a heartbeat at once, to spread a change of the configuration or of workers.
func (s *Service) BroadcastHeartbeat() {
	s.post(refreshAsked{})
}

// ConfirmOwnership reads the shard's row. It returns nil if this member owns the shard under the epoch, which was true at some
// instant after the call began.
// Errors: ErrSuperseded; those of platform.Table if the row can't be read.
func (s *Service) ConfirmOwnership(ctx context.Context, shard cell.ShardID, epoch cell.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := s.opts.Table.Get(ctx, shardKey(shard))
	if err != nil {
		return err
	}
	r, err := decodeShard(row)
	if err != nil {
		return err
	}
	s.post(shardRead{shard: shard, row: row, decoded: r})
	if r.Owner != s.opts.ID || r.Epoch != epoch {
		return ErrSuperseded
	}
	return nil
}

// Leave hands every shard over to other members, removes this member's row and returns, or returns ctx's error once
// it ends. The service goes on answering heartbeats until Run's context ends.
func (s *Service) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	s.post(leaveAsked{ctx: ctx})
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
func (s *Service) HandleHeartbeat(hb *wire.Heartbeat) *wire.Reply {
	s.post(heartbeatReceived{hb: hb})
	s.opts.ConfigStore.LearnVersion(hb.GetAddr(), hb.GetConfigVersion())
	return &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: s.heartbeat()}}
}

// heartbeat describes this member and its shards as they are now.
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
		TakesShards:    s.takes.Load(),
	}
}

// view is what the loop last published for readers. It is never changed afterwards.
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

// shardRead reports one shard's row.
type shardRead struct {
	shard   cell.ShardID
	row     platform.Row
	decoded shardRow
}

func (e shardRead) apply(l *loop) {
	l.observeShard(e.shard, e.row.Version, e.decoded)
}

// suspected reports that the shard's owner does not serve.
type suspected struct {
	shard cell.ShardID
}

func (e suspected) apply(l *loop) {
	l.readRowsSoon()
}

// refreshAsked asks for heartbeats at once.
type refreshAsked struct{}

func (refreshAsked) apply(l *loop) {
	l.spreadNow()
}

// leaveAsked begins a graceful leave that ends with ctx at the latest.
type leaveAsked struct {
	ctx context.Context
}

func (e leaveAsked) apply(l *loop) {
	l.leaveCtx = e.ctx
	l.spreadNow()
	l.continueLeave()
}
