package config

import (
	"fmt"
	"slices"
	"testing"

	"laburnumpoint/internal/cell"
)

func TestEveryWorkerHasAShard(t *testing.T) {
	for _, c := range []struct {
		shardsPerZone, cellShards int
		shards                    string
	}{
		{1, 0, "[a-0 b-0]"},
		{2, 0, "[a-0 a-1 b-0 b-1]"},
		{1, 1, "[cell-0]"},
		{2, 3, "[cell-0 cell-1 cell-2]"},
	} {
		d := Default()
		d.Zones, d.ShardsPerZone, d.CellShards = []string{"a", "b"}, c.shardsPerZone, c.cellShards
		if err := d.Validate(); err != nil {
			t.Fatal(err)
		}
		shards := d.Shards()
		if got := fmt.Sprint(shards); got != c.shards {
			t.Errorf("shards = %s, want %s", got, c.shards)
		}
		used := make(map[cell.ShardID]bool)
		for i := range 100 {
			w := cell.Worker{Zone: d.Zones[i%2], Rack: fmt.Sprint("r", i), Pool: "p"}
			shard := d.ShardOf(w)
			if !slices.Contains(shards, shard) {
				t.Errorf("worker of zone %s belongs to %s, which is not a shard of the cell", w.Zone, shard)
			}
			if zone := d.ShardZones()[shard]; zone != "" && zone != w.Zone {
				t.Errorf("worker of zone %s belongs to a shard of zone %s", w.Zone, zone)
			}
			used[shard] = true
		}
		if len(used) != len(shards) {
			t.Errorf("%d of %d shards have workers", len(used), len(shards))
		}
	}
}

func TestZoneMayNotHaveTheNameOfTheCellsShards(t *testing.T) {
	d := Default()
	d.Zones = []string{"cell"}
	if d.Validate() == nil {
		t.Error("Validate accepted a zone named \"cell\"")
	}
}
