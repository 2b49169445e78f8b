// Package config holds the versioned configuration of a cell: its document, the patches that operators submit against
// a version, and this process's copy of the newest version.
//
// The version in force is the one that the head row of the table names. The local version is the newest that this process
// has read or fetched; it may be older.
package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
)

// Team holds one team's weight, quota and permissions in the whole cell.
type Team struct {
	// Weight is the team's weight in fair sharing among teams; 1 is the usual weight.
	Weight float64 `json:"weight"`
	// Quota limits the resources that the team's tasks may occupy in the cell. A zero dimension is unlimited.
	Quota cell.Resources `json:"quota"`
	// AllowUrgent allows the team to submit urgent work.
	AllowUrgent bool `json:"may_urgent"`
}

// Document is one version of the configuration. It is immutable once in force.
type Document struct {
	// PackingWeight balances waiting time (0: only that counts) against packing (1: only that counts).
	PackingWeight float64 `json:"packing_weight"`
	// MaxQueuedPerShard is the maximum length of each shard's queue, in tasks.
	MaxQueuedPerShard int `json:"max_queued_per_shard"`
	// UrgentWaitMS is the longest time, in milliseconds, that urgent work is to wait for its start.
	UrgentWaitMS int64 `json:"urgent_wait_ms"`
	// AgeingStepMS is the waiting time, in milliseconds, after which a task is raised by one priority class.
	AgeingStepMS int64 `json:"ageing_step_ms"`
	// Zones lists the availability zones that hold workers. Fixed by version 1, since the shard of a
	// request with a key is derived from them.
	Zones []string `json:"zones"`
	// ShardsPerZone is the number of shards that the racks of each availability zone are spread over. Fixed by version 1.
	ShardsPerZone int `json:"shards_per_zone"`
	// CellShards, if not 0, is the number of shards that the racks of the whole cell are spread over; there are then no
	// shards per availability zone. Fixed by version 1.
	CellShards int `json:"cell_shards,omitempty"`
	// Teams maps team names to teams. Work of any other team is refused.
	Teams map[string]Team `json:"teams"`
	// Drained is the set of workers that get no new work.
	Drained map[cell.WorkerID]bool `json:"drained,omitempty"`
}

// Versioned is a document with its version number, which starts at 1.
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

// Encode returns the document's canonical JSON encoding.
func (d Document) Encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(fmt.Sprintf("config: encoding a document: %v", err))
	}
	return data
}

// Shards returns the cell's shards in a fixed order: that of the availability zones, then the number within the zone.
func (d Document) Shards() []cell.ShardID {
	var shards []cell.ShardID
	for _, group := range d.shardGroups() {
		for n := range d.shardsPerGroup() {
			shards = append(shards, shardID(group, n))
		}
	}
	return shards
}

// ShardZones maps each shard to its availability zone, which is empty if the shards span the whole cell.
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

// cellGroup is the name prefix of shards that span the whole cell. No availability zone may have this name.
const cellGroup = "cell"

// shardGroups returns the groups within which shards are numbered: the availability zones, or the whole cell.
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
