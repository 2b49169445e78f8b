package quota

import (
	"context"
	"flag"
	"fmt"
	"io"
	"testing"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/standin"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
}

// fakeShard places queued tasks within its limit whenever its shares are applied or its demand is read.
type fakeShard struct {
	id        cell.ShardID
	allocator *Allocator
	quota     *cell.Resources
	used      int64
	queued    int64
	// arrivesLate is the number of tasks that are queued right after the demand is read the next time.
	arrivesLate int64
}

func (f *fakeShard) Demand() []Demand {
	d := Demand{Team: "t", Used: cell.Resources{Slots: f.used}, Queued: cell.Resources{Slots: f.queued}}
	f.queued += f.arrivesLate
	f.arrivesLate = 0
	f.place()
	return []Demand{d}
}

func (f *fakeShard) ApplyShares() {
	f.place()
}

func (f *fakeShard) place() {
	limit := f.allocator.Limit(f.id, "t", *f.quota).Slots
	for f.queued > 0 && f.used+1 <= limit {
		f.used++
		f.queued--
	}
}

// cluster is a table and several allocators with shards, all of which share one team's quota.
type cluster struct {
	table      *standin.Table
	quota      cell.Resources
	allocators []*Allocator
	shards     []*fakeShard
}

func newCluster(quota int64, allocators, shardsPerAllocator int) *cluster {
	c := &cluster{table: standin.NewTable(), quota: cell.Resources{Slots: quota}}
	for m := range allocators {
		a := NewAllocator(c.table, c.current, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		c.allocators = append(c.allocators, a)
		for s := range shardsPerAllocator {
			id := cell.ShardID(fmt.Sprintf("z%d-%d", m, s))
			f := &fakeShard{id: id, allocator: a, quota: &c.quota}
			c.shards = append(c.shards, f)
			a.Add(id, f)
		}
	}
	return c
}

func (c *cluster) current() (config.Versioned, bool) {
	d := config.Default()
	d.Zones = nil
	for _, f := range c.shards {
		d.Zones = append(d.Zones, string(f.id[:len(f.id)-2]))
	}
	d.Teams = map[string]config.Team{"t": {Weight: 1, Quota: c.quota}}
	return config.Versioned{Version: 1, Document: d}, true
}

// used sums up what the team uses in all shards.
func (c *cluster) used() int64 {
	var sum int64
	for _, f := range c.shards {
		sum += f.used
	}
	return sum
}

// settle rebalances often enough for shares to reach the shards that need them.
func (c *cluster) settle(ctx context.Context) {
	for range 6 {
		for _, a := range c.allocators {
			clear(a.shortfallWrittenAt)
			a.Rebalance(ctx)
		}
	}
}

func TestIdleSharesMoveToTheShardThatWaits(t *testing.T) {
	c := newCluster(9, 3, 1)
	c.settle(t.Context())
	c.shards[1].queued = 9
	c.settle(t.Context())
	if got := c.shards[1].used; got != 9 {
		t.Errorf("used %d of a quota of 9 that no other shard uses", got)
	}
}

func TestQuotaBelowTheNumberOfShardsIsUsable(t *testing.T) {
	c := newCluster(1, 3, 1)
	c.shards[2].queued = 1
	c.settle(t.Context())
	if got := c.shards[2].used; got != 1 {
		t.Errorf("used %d, want 1", got)
	}
}

func TestRowsAreNotWrittenWhileNothingMoves(t *testing.T) {
	c := newCluster(9, 3, 1)
	c.shards[0].queued = 2
	c.settle(t.Context())
	before := c.table.Counts().Writes
	c.settle(t.Context())
	if got := c.table.Counts().Writes - before; got != 0 {
		t.Errorf("%d writes while no share changed", got)
	}
}

func TestSharesStayInUseWhileTheTableIsDown(t *testing.T) {
	c := newCluster(9, 3, 1)
	c.settle(t.Context())
	c.table.SetFaults(standin.TableFaults{Down: true})
	c.shards[0].queued = 9
	c.settle(t.Context())
	c.shards[0].place()
	if got := c.shards[0].used; got != 3 {
		t.Errorf("used %d, want the share of 3", got)
	}
}

func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.Int64Range(1, 20).Draw(rt, "quota"), 3, 1)
		ctx := context.Background()
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				f := rapid.SampledFrom(c.shards).Draw(rt, "shard")
				f.queued += rapid.Int64Range(1, 8).Draw(rt, "tasks")
				f.place()
			},
			"arrive late": func(rt *rapid.T) {
				rapid.SampledFrom(c.shards).Draw(rt, "shard").arrivesLate = rapid.Int64Range(1, 8).Draw(rt, "tasks")
			},
			"finish": func(rt *rapid.T) {
				f := rapid.SampledFrom(c.shards).Draw(rt, "shard")
				f.used -= rapid.Int64Range(0, f.used).Draw(rt, "tasks")
			},
			"step": func(rt *rapid.T) {
				rapid.SampledFrom(c.allocators).Draw(rt, "allocator").Rebalance(ctx)
			},
			"fault": func(rt *rapid.T) {
				c.table.SetFaults(standin.TableFaults{
					Down:        rapid.Bool().Draw(rt, "down"),
					LoseAnswers: rapid.IntRange(0, 2).Draw(rt, "lost"),
				})
			},
			"": func(rt *rapid.T) {
				if c.used() > c.quota.Slots {
					rt.Fatalf("used %d, over the quota of %d", c.used(), c.quota.Slots)
				}
			},
		})
	})
}
