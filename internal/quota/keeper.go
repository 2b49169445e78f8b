package quota

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/platform"
)

const (
	teamPrefix   = "quota/team/"
	wantsKey     = "quota/wants"
	interval     = time.Second
	tableTimeout = 2 * time.Second
	// pauses between writes of one team's wants from one process.
	wantsPause = 2 * time.Second
)

// Shard is an owned shard as the keeper works with it.
type Shard interface {
	// Demand returns what each team holds and waits for, as of now.
	Demand() []Demand
	// ApplyShares makes the shard's decisions follow the keeper's shares, and returns once they do.
	ApplyShares()
}

// Allocator holds the shares of the shards that this process owns. One goroutine changes them; Limit may be called from any.
type Allocator struct {
	table  platform.Table
	config func() (config.Versioned, bool)
	log    *log.Logger

	mu     sync.Mutex
	shards map[cell.ShardID]Shard
	shares map[shareKey]cell.Resources

	wantsAt map[string]time.Time
}

type shareKey struct {
	shard cell.ShardID
	team  string
}

// NewAllocator returns a keeper that owns no shards yet.
func NewAllocator(table platform.Table, current func() (config.Versioned, bool), logger *log.Logger) *Allocator {
	return &Allocator{
		table:   table,
		config:  current,
		log:     logger,
		shards:  make(map[cell.ShardID]Shard),
		shares:  make(map[shareKey]cell.Resources),
		wantsAt: make(map[string]time.Time),
	}
}

// Add makes the keeper look after a shard; its shares are none until the table has been read.
func (k *Allocator) Add(id cell.ShardID, s Shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[id] = s
}

// Remove forgets a shard. Its shares stay in the table for its next owner.
func (k *Allocator) Remove(id cell.ShardID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.shards, id)
	for key := range k.shares {
		if key.shard == id {
			delete(k.shares, key)
		}
	}
}

// Limit returns the bound of a team in a shard, in the form of function Limit.
func (k *Allocator) Limit(shard cell.ShardID, team string, quota cell.Resources) cell.Resources {
	if quota.IsZero() {
		return quota
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return schedulerLimit(quota, lower(k.shares[shareKey{shard, team}], quota))
}

// Run moves shares until ctx ends.
func (k *Allocator) Run(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.Rebalance(ctx)
		}
	}
}

// Rebalance moves what is due now. A table that does not answer leaves the shares as they are.
func (k *Allocator) Rebalance(ctx context.Context) {
	v, _ := k.config()
	if v.Version == 0 || len(k.owned()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	wants, wantsVersion, err := k.readWants(ctx)
	if err != nil {
		return
	}
	k.loadNew(ctx, v.Document)
	for _, id := range k.owned() {
		k.stepShard(ctx, id, v.Document, &wants, &wantsVersion)
	}
}

func (k *Allocator) stepShard(ctx context.Context, id cell.ShardID, doc config.Document, wants *Shortfalls, wantsVersion *uint64) {
	s := k.shard(id)
	if s == nil {
		return
	}
	own := k.owned()
	byTeam := make(map[string]Demand)
	for _, d := range s.Demand() {
		byTeam[d.Team] = d
	}
	for _, team := range bounded(doc) {
		d := byTeam[team]
		d.Team = team
		q := doc.Teams[team].Quota
		k.stepTeam(ctx, id, s, q, d, wants.others(team, own))
		lack := lacking(k.share(id, team), q, d)
		if k.wantsChanged(*wants, team, id, lack) {
			k.writeWants(ctx, wants, wantsVersion, team, id, lack)
		}
	}
}

// stepTeam raises or yields one share.
func (k *Allocator) stepTeam(ctx context.Context, id cell.ShardID, s Shard, q cell.Resources, d Demand, wanted cell.Resources) {
	share := k.share(id, d.Team)
	short := !lower(d.Used.Add(d.Queued), q).Fits(share)
	spare := !wanted.IsZero() && !share.Sub(d.Used).Sub(d.Queued).Fits(cell.Resources{})
	if !short && !spare && share.Fits(q) {
		return
	}
	row, version, err := k.readRow(ctx, d.Team)
	if err != nil {
		return
	}
	k.setShare(id, d.Team, lower(share, row.ByShard[id]))
	kept := row.yield(id, q, d, wanted)
	if kept != row.ByShard[id] {
		k.give(ctx, id, s, row, version, d.Team, kept)
		return
	}
	raised := row.raise(id, q, d)
	if raised != row.ByShard[id] {
		k.write(ctx, id, row.with(id, raised), version, d.Team)
		s.ApplyShares()
		return
	}
	k.setShare(id, d.Team, row.ByShard[id])
	s.ApplyShares()
}

// give stops using the part of a share before the table says that it is free.
func (k *Allocator) give(ctx context.Context, id cell.ShardID, s Shard, row TeamShares, version uint64, team string, kept cell.Resources) {
	k.setShare(id, team, kept)
	s.ApplyShares()
	for _, d := range s.Demand() {
		if d.Team == team {
			kept = higher(kept, lower(d.Used, row.ByShard[id]))
		}
	}
	k.write(ctx, id, row.with(id, kept), version, team)
	s.ApplyShares()
}

// write stores a row and takes over the shard's share from it. A write that may not have taken effect leaves the
// lower of the two shares in use until the row is read again.
func (k *Allocator) write(ctx context.Context, id cell.ShardID, row TeamShares, version uint64, team string) {
	op := platform.Op{Key: teamPrefix + team, IfVersion: version, Value: platform.EncodeRow(row)}
	_, err := k.table.Apply(ctx, []platform.Op{op})
	if err != nil {
		return
	}
	k.setShare(id, team, row.ByShard[id])
	k.log.Info().Str("shard", string(id)).Str("team", team).Str("share", row.ByShard[id].String()).Msg("quota share moved")
}

// loadNew reads the shares of shards that the keeper has not read yet, creating rows that do not exist.
func (k *Allocator) loadNew(ctx context.Context, doc config.Document) {
	for _, team := range bounded(doc) {
		for _, id := range k.owned() {
			if k.known(id, team) {
				continue
			}
			if !k.loadTeam(ctx, doc, team) {
				return
			}
		}
	}
}

func (k *Allocator) loadTeam(ctx context.Context, doc config.Document, team string) bool {
	row, version, err := k.readRow(ctx, team)
	if err != nil {
		return false
	}
	if version == 0 {
		row = firstRow(doc.Teams[team].Quota, doc.Shards())
		op := platform.Op{Key: teamPrefix + team, Value: platform.EncodeRow(row)}
		if _, err := k.table.Apply(ctx, []platform.Op{op}); err != nil {
			return errors.Is(err, platform.ErrConflict)
		}
	}
	for _, id := range k.owned() {
		if !k.known(id, team) {
			k.setShare(id, team, row.ByShard[id])
			if s := k.shard(id); s != nil {
				s.ApplyShares()
			}
		}
	}
	return true
}

// wantsChanged reports whether the wants row is worth a write. It is written at most once a pause for each team.
func (k *Allocator) wantsChanged(w Shortfalls, team string, id cell.ShardID, lack cell.Resources) bool {
	if w[team][id] == lack {
		return false
	}
	if !lack.IsZero() && time.Since(k.wantsAt[team]) < wantsPause {
		return false
	}
	k.wantsAt[team] = time.Now()
	return true
}

func (k *Allocator) writeWants(ctx context.Context, w *Shortfalls, version *uint64, team string, id cell.ShardID, lack cell.Resources) {
	next := w.with(team, id, lack)
	op := platform.Op{Key: wantsKey, IfVersion: *version, Value: platform.EncodeRow(next)}
	versions, err := k.table.Apply(ctx, []platform.Op{op})
	if err != nil {
		return
	}
	*w = next
	*version = versions[0]
}

func (k *Allocator) readWants(ctx context.Context) (Shortfalls, uint64, error) {
	var w Shortfalls
	version, err := platform.ReadRow(ctx, k.table, wantsKey, &w)
	return w, version, err
}

func (k *Allocator) readRow(ctx context.Context, team string) (TeamShares, uint64, error) {
	var r TeamShares
	version, err := platform.ReadRow(ctx, k.table, teamPrefix+team, &r)
	return r, version, err
}

func (k *Allocator) owned() []cell.ShardID {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]cell.ShardID, 0, len(k.shards))
	for id := range k.shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (k *Allocator) shard(id cell.ShardID) Shard {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[id]
}

func (k *Allocator) share(id cell.ShardID, team string) cell.Resources {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shares[shareKey{id, team}]
}

func (k *Allocator) known(id cell.ShardID, team string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.shares[shareKey{id, team}]
	return ok
}

// setShare changes the share in use, unless the shard has been removed meanwhile.
func (k *Allocator) setShare(id cell.ShardID, team string, share cell.Resources) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.shards[id] != nil {
		k.shares[shareKey{id, team}] = share
	}
}

// bounded lists the teams that have a quota, in name order.
func bounded(doc config.Document) []string {
	var out []string
	for name, t := range doc.Teams {
		if !t.Quota.IsZero() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func higher(a, b cell.Resources) cell.Resources {
	return perDimension(a, b, func(x, y int64) int64 { return max(x, y) })
}
