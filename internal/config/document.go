// Package config holds the numbered configuration of a cell: its document, the patches that operators submit against
// a version, and the version in force at this process.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
)

// Team is what operators allow one team, over the whole cell.
type Team struct {
	// Weight is the team's share against other teams; 1 is ordinary.
	Weight float64 `json:"weight"`
	// Quota bounds what the team may hold in the cell. A zero dimension is unbounded.
	Quota cell.Resources `json:"quota"`
	// AllowUrgent allows the team to submit urgent work.
	AllowUrgent bool `json:"may_urgent"`
}

// Document is one version of the configuration. It is immutable once in force.
type Document struct {
	// PackingWeight is between 0 (waiting time only) and 1 (packing only).
	PackingWeight float64 `json:"packing_weight"`
	// MaxQueuedPerShard bounds each shard's queue, in tasks.
	MaxQueuedPerShard int `json:"max_queued_per_shard"`
	// UrgentWaitMS is the waiting time, in milliseconds, within which urgent work starts.
	UrgentWaitMS int64 `json:"urgent_wait_ms"`
	// AgeingStepMS is the waiting time, in milliseconds, that raises a task by one class.
	AgeingStepMS int64 `json:"ageing_step_ms"`
	// Zones lists the availability zones that hold workers. Fixed by version 1, since a keyed request finds its shard by them.
	Zones []string `json:"zones"`
	// ShardsPerZone is the number of shards that the racks of each availability zone are spread over. Fixed by version 1.
	ShardsPerZone int `json:"shards_per_zone"`
	// CellShards, if not 0, is the number of shards that the racks of the whole cell are spread over, in place of shards
	// for each availability zone. Fixed by version 1.
	CellShards int `json:"cell_shards,omitempty"`
	// Teams holds the known teams by name. Work of other teams is refused.
	Teams map[string]Team `json:"teams"`
	// Drained lists workers that get no new work.
	Drained map[cell.WorkerID]bool `json:"drained,omitempty"`
}

// Versioned is a document with its version, counted from 1.
type Versioned struct {
	Version  uint64   `json:"version"`
	Document Document `json:"document"`
}

// UrgentWait returns UrgentWaitMS as a duration.
func (d Document) UrgentWait() time.Duration {
	return time.Duration(d.UrgentWaitMS) * time.Millisecond
}

// AgeingStep returns AgeingStepMS as a duration.
func (d Document) AgeingStep() time.Duration {
	return time.Duration(d.AgeingStepMS) * time.Millisecond
}

// Default returns the document that a new cell starts with.
func Default() Document {
	return Document{
		PackingWeight:     0.5,
		MaxQueuedPerShard: 20_000,
		UrgentWaitMS:      2_200,
		AgeingStepMS:      1_800_000,
		Zones:             []string{"a"},
		ShardsPerZone:     1,
		Teams:             map[string]Team{"default": {Weight: 1, AllowUrgent: true}},
	}
}

// Parse decodes and validates a whole document. Unknown fields are an error.
func Parse(data []byte) (Document, error) {
	return parse(data)
}

// Encode returns the document's canonical form.
func (d Document) Encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("config: a document always encodes: %v", err))
	}
	return data
}

// Shards lists the cell's shards in a fixed order: the zones' order, then the number within the zone.
func (d Document) Shards() []cell.ShardID {
	var shards []cell.ShardID
	for _, group := range d.shardGroups() {
		for n := range d.shardsPerGroup() {
			shards = append(shards, shardID(group, n))
		}
	}
	return shards
}

// ShardZones returns the availability zone of each shard; it is empty for a shard of the whole cell.
func (d Document) ShardZones() map[cell.ShardID]string {
	zones := make(map[cell.ShardID]string)
	for _, group := range d.shardGroups() {
		for n := range d.shardsPerGroup() {
			zone := group
			if d.CellShards > 0 {
				zone = ""
			}
			zones[shardID(group, n)] = zone
		}
	}
	return zones
}

// ShardOf returns the shard that a worker belongs to, by its availability zone, pool and rack.
func (d Document) ShardOf(w cell.Worker) cell.ShardID {
	if d.CellShards > 0 {
		rackHash := xxhash.Sum64String(w.Pool + "/" + w.Zone + "/" + w.Rack)
		return shardID(cellGroup, int(rackHash%uint64(d.CellShards)))
	}
	rackHash := xxhash.Sum64String(w.Pool + "/" + w.Rack)
	return shardID(w.Zone, int(rackHash%uint64(d.ShardsPerZone)))
}

// cellGroup names the shards of the whole cell. No availability zone may have the name.
const cellGroup = "cell"

// shardGroups lists what the shards are numbered within.
func (d Document) shardGroups() []string {
	if d.CellShards > 0 {
		return []string{cellGroup}
	}
	return d.Zones
}

func (d Document) shardsPerGroup() int {
	if d.CellShards > 0 {
		return d.CellShards
	}
	return d.ShardsPerZone
}

func shardID(group string, n int) cell.ShardID {
	return cell.ShardID(fmt.Sprintf("%s-%d", group, n))
}
