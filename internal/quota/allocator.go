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
	teamKeyPrefix     = "quota/team/"
	shortfallsKey     = "quota/wants"
	rebalanceInterval = time.Second
	tableTimeout      = 2 * time.Second
	// pauses between writes of one team's wants from one process.
	shortfallWriteInterval = 2 * time.Second
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

	shortfallWrittenAt map[string]time.Time
}

type shareKey struct {
	shard cell.ShardID
	team  string
}

// NewAllocator returns a keeper that owns no shards yet.
func NewAllocator(table platform.Table, current func() (config.Versioned, bool), logger *log.Logger) *Allocator {
	return &Allocator{
		table:              table,
		config:             current,
		log:                logger,
		shards:             make(map[cell.ShardID]Shard),
		shares:             make(map[shareKey]cell.Resources),
		shortfallWrittenAt: make(map[string]time.Time),
	}
}

// Add makes the keeper look after a shard; its shares are none until the table has been read.
func (a *Allocator) Add(id cell.ShardID, s Shard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shards[id] = s
}

// Remove forgets a shard. Its shares stay in the table for its next owner.
func (a *Allocator) Remove(id cell.ShardID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.shards, id)
	for key := range a.shares {
		if key.shard == id {
			delete(a.shares, key)
		}
	}
}

// Limit returns the bound of a team in a shard, in the form of function Limit.
func (a *Allocator) Limit(shard cell.ShardID, team string, quota cell.Resources) cell.Resources {
	if quota.IsZero() {
		return quota
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return schedulerLimit(quota, minPerDimension(a.shares[shareKey{shard, team}], quota))
}

// Run moves shares until ctx ends.
func (a *Allocator) Run(ctx context.Context) {
	tick := time.NewTicker(rebalanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.Rebalance(ctx)
		}
	}
}

// Rebalance moves what is due now. A table that does not answer leaves the shares as they are.
func (a *Allocator) Rebalance(ctx context.Context) {
	v, _ := a.config()
	if v.Version == 0 || len(a.ownedShards()) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	shortfalls, shortfallsVersion, err := a.readShortfalls(ctx)
	if err != nil {
		return
	}
	a.loadMissingShares(ctx, v.Document)
	for _, id := range a.ownedShards() {
		a.rebalanceShard(ctx, id, v.Document, &shortfalls, &shortfallsVersion)
	}
}

func (a *Allocator) rebalanceShard(ctx context.Context, id cell.ShardID, doc config.Document, shortfalls *Shortfalls, shortfallsVersion *uint64) {
	s := a.ownedShard(id)
	if s == nil {
		return
	}
	own := a.ownedShards()
	byTeam := make(map[string]Demand)
	for _, d := range s.Demand() {
		byTeam[d.Team] = d
	}
	for _, team := range teamsWithQuota(doc) {
		d := byTeam[team]
		d.Team = team
		quota := doc.Teams[team].Quota
		a.adjustShare(ctx, id, s, quota, d, shortfalls.ofOthers(team, own))
		lacking := shortfall(a.shareOf(id, team), quota, d)
		if a.shouldWriteShortfall(*shortfalls, team, id, lacking) {
			a.writeShortfall(ctx, shortfalls, shortfallsVersion, team, id, lacking)
		}
	}
}

// adjustShare raises or yields one share.
func (a *Allocator) adjustShare(ctx context.Context, id cell.ShardID, s Shard, quota cell.Resources, d Demand, wantedByOthers cell.Resources) {
	share := a.shareOf(id, d.Team)
	short := !minPerDimension(d.Used.Add(d.Queued), quota).Fits(share)
	spare := !wantedByOthers.IsZero() && !share.Sub(d.Used).Sub(d.Queued).Fits(cell.Resources{})
	if !short && !spare && share.Fits(quota) {
		return
	}
	shares, version, err := a.readTeamShares(ctx, d.Team)
	if err != nil {
		return
	}
	a.setShare(id, d.Team, minPerDimension(share, shares.ByShard[id]))
	reduced := shares.reduced(id, quota, d, wantedByOthers)
	if reduced != shares.ByShard[id] {
		a.shrinkShare(ctx, id, s, shares, version, d.Team, reduced)
		return
	}
	increased := shares.increased(id, quota, d)
	if increased != shares.ByShard[id] {
		a.writeShare(ctx, id, shares.withShare(id, increased), version, d.Team)
		s.ApplyShares()
		return
	}
	a.setShare(id, d.Team, shares.ByShard[id])
	s.ApplyShares()
}

// shrinkShare stops using the part of a share before the table says that it is free.
func (a *Allocator) shrinkShare(ctx context.Context, id cell.ShardID, s Shard, shares TeamShares, version uint64, team string, kept cell.Resources) {
	a.setShare(id, team, kept)
	s.ApplyShares()
	for _, d := range s.Demand() {
		if d.Team == team {
			kept = maxPerDimension(kept, minPerDimension(d.Used, shares.ByShard[id]))
		}
	}
	a.writeShare(ctx, id, shares.withShare(id, kept), version, team)
	s.ApplyShares()
}

// writeShare stores a row and takes over the shard's share from it. A write that may not have taken effect leaves the
// lower of the two shares in use until the row is read again.
func (a *Allocator) writeShare(ctx context.Context, id cell.ShardID, shares TeamShares, version uint64, team string) {
	op := platform.Op{Key: teamKeyPrefix + team, IfVersion: version, Value: platform.EncodeRow(shares)}
	_, err := a.table.Apply(ctx, []platform.Op{op})
	if err != nil {
		return
	}
	a.setShare(id, team, shares.ByShard[id])
	a.log.Info().Str("shard", string(id)).Str("team", team).Str("share", shares.ByShard[id].String()).Msg("quota share moved")
}

// loadMissingShares reads the shares of shards that the keeper has not read yet, creating rows that do not exist.
func (a *Allocator) loadMissingShares(ctx context.Context, doc config.Document) {
	for _, team := range teamsWithQuota(doc) {
		for _, id := range a.ownedShards() {
			if a.hasShare(id, team) {
				continue
			}
			if !a.loadTeamShares(ctx, doc, team) {
				return
			}
		}
	}
}

func (a *Allocator) loadTeamShares(ctx context.Context, doc config.Document, team string) bool {
	shares, version, err := a.readTeamShares(ctx, team)
	if err != nil {
		return false
	}
	if version == 0 {
		shares = evenShares(doc.Teams[team].Quota, doc.Shards())
		op := platform.Op{Key: teamKeyPrefix + team, Value: platform.EncodeRow(shares)}
		if _, err := a.table.Apply(ctx, []platform.Op{op}); err != nil {
			return errors.Is(err, platform.ErrConflict)
		}
	}
	for _, id := range a.ownedShards() {
		if !a.hasShare(id, team) {
			a.setShare(id, team, shares.ByShard[id])
			if s := a.ownedShard(id); s != nil {
				s.ApplyShares()
			}
		}
	}
	return true
}

// shouldWriteShortfall reports whether the wants row is worth a write. It is written at most once a pause for each team.
func (a *Allocator) shouldWriteShortfall(shortfalls Shortfalls, team string, id cell.ShardID, lacking cell.Resources) bool {
	if shortfalls[team][id] == lacking {
		return false
	}
	if !lacking.IsZero() && time.Since(a.shortfallWrittenAt[team]) < shortfallWriteInterval {
		return false
	}
	a.shortfallWrittenAt[team] = time.Now()
	return true
}

func (a *Allocator) writeShortfall(ctx context.Context, shortfalls *Shortfalls, version *uint64, team string, id cell.ShardID, lacking cell.Resources) {
	next := shortfalls.withShortfall(team, id, lacking)
	op := platform.Op{Key: shortfallsKey, IfVersion: *version, Value: platform.EncodeRow(next)}
	versions, err := a.table.Apply(ctx, []platform.Op{op})
	if err != nil {
		return
	}
	*shortfalls = next
	*version = versions[0]
}

func (a *Allocator) readShortfalls(ctx context.Context) (Shortfalls, uint64, error) {
	var shortfalls Shortfalls
	version, err := platform.ReadRow(ctx, a.table, shortfallsKey, &shortfalls)
	return shortfalls, version, err
}

func (a *Allocator) readTeamShares(ctx context.Context, team string) (TeamShares, uint64, error) {
	var shares TeamShares
	version, err := platform.ReadRow(ctx, a.table, teamKeyPrefix+team, &shares)
	return shares, version, err
}

func (a *Allocator) ownedShards() []cell.ShardID {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]cell.ShardID, 0, len(a.shards))
	for id := range a.shards {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (a *Allocator) ownedShard(id cell.ShardID) Shard {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shards[id]
}

func (a *Allocator) shareOf(id cell.ShardID, team string) cell.Resources {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares[shareKey{id, team}]
}

func (a *Allocator) hasShare(id cell.ShardID, team string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.shares[shareKey{id, team}]
	return ok
}

// setShare changes the share in use, unless the shard has been removed meanwhile.
func (a *Allocator) setShare(id cell.ShardID, team string, share cell.Resources) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shards[id] != nil {
		a.shares[shareKey{id, team}] = share
	}
}

// teamsWithQuota lists the teams that have a quota, in name order.
func teamsWithQuota(doc config.Document) []string {
	var out []string
	for name, t := range doc.Teams {
		if !t.Quota.IsZero() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func maxPerDimension(a, b cell.Resources) cell.Resources {
	return perDimension(a, b, func(x, y int64) int64 { return max(x, y) })
}
