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
	"laburnumpoint/internal/platformapi"
)

const (
	teamKeyPrefix     = "quota/team/"
	shortfallsKey     = "quota/wants"
	rebalanceInterval = time.Second
	tableTimeout      = 2 * time.Second
	// shortfallWriteInterval is the shortest time between two attempts to write a team's shortfalls by this process.
	shortfallWriteInterval = 2 * time.Second
)

// Shard is a shard that this process owns.
type Shard interface {
	// Demand returns the current demand of each team.
	Demand() []Demand
	// ApplyShares makes the shard place within the allocator's current shares, and returns once it does.
	ApplyShares()
}

// Allocator holds the shares of the shards that this process owns and moves them according to demand.
// Rebalance must not be called concurrently with itself or Run; the other methods are safe for concurrent use.
type Allocator struct {
	table  platformapi.Table
	config func() (config.Versioned, bool)
	log    *log.Logger

	mu     sync.Mutex
	shards map[cell.ShardID]Shard
	shares map[shareKey]cell.Resources

	// shortfallWrittenAt is when this process last tried to write a shortfall of each team.
	shortfallWrittenAt map[string]time.Time
}

type shareKey struct {
	shard cell.ShardID
	team  string
}

// NewAllocator returns an allocator without shards.
func NewAllocator(table platformapi.Table, current func() (config.Versioned, bool), logger *log.Logger) *Allocator {
	return &Allocator{
		table:              table,
		config:             current,
		log:                logger,
		shards:             make(map[cell.ShardID]Shard),
		shares:             make(map[shareKey]cell.Resources),
		shortfallWrittenAt: make(map[string]time.Time),
	}
}

// Add adds a shard. Its shares are zero until they have been read from the table.
func (a *Allocator) Add(id cell.ShardID, s Shard) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shards[id] = s
}

// Remove forgets a shard. Its shares stay in the table for the shard's next owner.
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

// Limit returns what a team may use in a shard, in the form of scheduler.TeamPolicy.Quota.
func (a *Allocator) Limit(shard cell.ShardID, team string, quota cell.Resources) cell.Resources {
	if quota.IsZero() {
		return quota
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return schedulerLimit(quota, minPerDimension(a.shares[shareKey{shard, team}], quota))
}

// Run rebalances the shares regularly until ctx ends.
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

// Rebalance adjusts the shares of the owned shards to their demand and to the shortfalls of other shards. If the table
// doesn't answer, the shares stay as they are.
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

// rebalanceShard adjusts the shares of one shard and writes its shortfalls.
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

// adjustShare increases or reduces one share, or does nothing if neither is needed.
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

// shrinkShare applies a smaller share to the shard before it writes it to the table. What the team has come to use
// meanwhile stays part of the share.
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

// writeShare writes a team's shares and, if the write succeeds, uses the shard's new share. After a write with an error,
// which may have taken effect, the smaller of the two shares stays in use until the row is read again.
func (a *Allocator) writeShare(ctx context.Context, id cell.ShardID, shares TeamShares, version uint64, team string) {
	op := platformapi.Op{Key: teamKeyPrefix + team, IfVersion: version, Value: platformapi.EncodeRow(shares)}
	_, err := a.table.Apply(ctx, []platformapi.Op{op})
	if err != nil {
		return
	}
	a.setShare(id, team, shares.ByShard[id])
	a.log.Info().Str("shard", string(id)).Str("team", team).Str("share", shares.ByShard[id].String()).Msg("quota share changed")
}

// loadMissingShares reads the shares of the owned shards that are not known yet, creating rows that don't exist.
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

// loadTeamShares reads a team's row, or creates it, and takes the missing shares from it. It reports whether loading may
// go on with other rows.
func (a *Allocator) loadTeamShares(ctx context.Context, doc config.Document, team string) bool {
	shares, version, err := a.readTeamShares(ctx, team)
	if err != nil {
		return false
	}
	if version == 0 {
		shares = evenShares(doc.Teams[team].Quota, doc.Shards())
		op := platformapi.Op{Key: teamKeyPrefix + team, Value: platformapi.EncodeRow(shares)}
		if _, err := a.table.Apply(ctx, []platformapi.Op{op}); err != nil {
			return errors.Is(err, platformapi.ErrConflict)
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

// shouldWriteShortfall reports whether to write a shortfall: if it has changed, at most once per shortfallWriteInterval
// for each team. A shortfall that has ended is written at once.
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
	op := platformapi.Op{Key: shortfallsKey, IfVersion: *version, Value: platformapi.EncodeRow(next)}
	versions, err := a.table.Apply(ctx, []platformapi.Op{op})
	if err != nil {
		return
	}
	*shortfalls = next
	*version = versions[0]
}

func (a *Allocator) readShortfalls(ctx context.Context) (Shortfalls, uint64, error) {
	var shortfalls Shortfalls
	version, err := platformapi.ReadRow(ctx, a.table, shortfallsKey, &shortfalls)
	return shortfalls, version, err
}

func (a *Allocator) readTeamShares(ctx context.Context, team string) (TeamShares, uint64, error) {
	var shares TeamShares
	version, err := platformapi.ReadRow(ctx, a.table, teamKeyPrefix+team, &shares)
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

// setShare changes the share in use, unless the shard has been removed.
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
