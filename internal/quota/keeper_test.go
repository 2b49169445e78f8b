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

// fakeShard places within its limit whatever waits, each time it is refreshed.
type fakeShard struct {
	id     cell.ShardID
	keeper *Allocator
	quota  *cell.Resources
	held   int64
	queued int64
	// late arrives right after the next reading of the demand.
	late int64
}

func (f *fakeShard) Demand() []Demand {
	d := Demand{Team: "t", Used: cell.Resources{Slots: f.held}, Queued: cell.Resources{Slots: f.queued}}
	f.queued += f.late
	f.late = 0
	f.place()
	return []Demand{d}
}

func (f *fakeShard) ApplyShares() {
	f.place()
}

func (f *fakeShard) place() {
	limit := f.keeper.Limit(f.id, "t", *f.quota).Slots
	for f.queued > 0 && f.held+1 <= limit {
		f.held++
		f.queued--
	}
}

type world struct {
	table   *standin.Table
	quota   cell.Resources
	keepers []*Allocator
	shards  []*fakeShard
}

func newWorld(quota int64, members, perMember int) *world {
	w := &world{table: standin.NewTable(), quota: cell.Resources{Slots: quota}}
	for m := range members {
		k := NewAllocator(w.table, w.current, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
		w.keepers = append(w.keepers, k)
		for s := range perMember {
			id := cell.ShardID(fmt.Sprintf("z%d-%d", m, s))
			f := &fakeShard{id: id, keeper: k, quota: &w.quota}
			w.shards = append(w.shards, f)
			k.Add(id, f)
		}
	}
	return w
}

func (w *world) current() (config.Versioned, bool) {
	d := config.Default()
	d.Zones = nil
	for _, f := range w.shards {
		d.Zones = append(d.Zones, string(f.id[:len(f.id)-2]))
	}
	d.Teams = map[string]config.Team{"t": {Weight: 1, Quota: w.quota}}
	return config.Versioned{Version: 1, Document: d}, true
}

func (w *world) held() int64 {
	var sum int64
	for _, f := range w.shards {
		sum += f.held
	}
	return sum
}

func (w *world) settle(ctx context.Context) {
	for range 6 {
		for _, k := range w.keepers {
			clear(k.wantsAt)
			k.Rebalance(ctx)
		}
	}
}

func TestIdleSharesMoveToTheShardThatWaits(t *testing.T) {
	w := newWorld(9, 3, 1)
	w.settle(t.Context())
	w.shards[1].queued = 9
	w.settle(t.Context())
	if got := w.shards[1].held; got != 9 {
		t.Errorf("held %d of a quota of 9 that nobody else uses", got)
	}
}

func TestQuotaBelowTheNumberOfShardsIsUsable(t *testing.T) {
	w := newWorld(1, 3, 1)
	w.shards[2].queued = 1
	w.settle(t.Context())
	if got := w.shards[2].held; got != 1 {
		t.Errorf("held %d, want 1", got)
	}
}

func TestRowsAreNotWrittenWhileNothingMoves(t *testing.T) {
	w := newWorld(9, 3, 1)
	w.shards[0].queued = 2
	w.settle(t.Context())
	before := w.table.Counts().Writes
	w.settle(t.Context())
	if got := w.table.Counts().Writes - before; got != 0 {
		t.Errorf("%d writes while nothing moved", got)
	}
}

func TestSharesStayInUseWhileTheTableIsDown(t *testing.T) {
	w := newWorld(9, 3, 1)
	w.settle(t.Context())
	w.table.SetFaults(standin.TableFaults{Down: true})
	w.shards[0].queued = 9
	w.settle(t.Context())
	w.shards[0].place()
	if got := w.shards[0].held; got != 3 {
		t.Errorf("held %d, want the share of 3", got)
	}
}

func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Int64Range(1, 20).Draw(rt, "quota"), 3, 1)
		ctx := context.Background()
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				f := rapid.SampledFrom(w.shards).Draw(rt, "shard")
				f.queued += rapid.Int64Range(1, 8).Draw(rt, "tasks")
				f.place()
			},
			"arrive late": func(rt *rapid.T) {
				rapid.SampledFrom(w.shards).Draw(rt, "shard").late = rapid.Int64Range(1, 8).Draw(rt, "tasks")
			},
			"finish": func(rt *rapid.T) {
				f := rapid.SampledFrom(w.shards).Draw(rt, "shard")
				f.held -= rapid.Int64Range(0, f.held).Draw(rt, "tasks")
			},
			"step": func(rt *rapid.T) {
				rapid.SampledFrom(w.keepers).Draw(rt, "keeper").Rebalance(ctx)
			},
			"fault": func(rt *rapid.T) {
				w.table.SetFaults(standin.TableFaults{
					Down:        rapid.Bool().Draw(rt, "down"),
					LoseAnswers: rapid.IntRange(0, 2).Draw(rt, "lost"),
				})
			},
			"": func(rt *rapid.T) {
				if w.held() > w.quota.Slots {
					rt.Fatalf("held %d over a quota of %d", w.held(), w.quota.Slots)
				}
			},
		})
	})
}
