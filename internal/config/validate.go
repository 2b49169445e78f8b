package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Limits of a document.
const (
	maxTeams         = 1_000
	maxShardsPerZone = 16
	maxZones         = 64
	maxCellShards    = 64
	maxQueuedLimit   = 1_000_000
	maxDocumentBytes = 1 << 20
)

func parse(data []byte) (Document, error) {
	var d Document
	if len(data) > maxDocumentBytes {
		return d, fmt.Errorf("document is larger than %d bytes", maxDocumentBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return d, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return d, errors.New("unexpected data after the document")
	}
	return d, d.Validate()
}

// Validate returns all errors in the document, joined, or nil.
func (d Document) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(d.PackingWeight >= 0 && d.PackingWeight <= 1, "packing_weight %v is not between 0 and 1", d.PackingWeight)
	check(d.MaxQueuedPerShard >= 1 && d.MaxQueuedPerShard <= maxQueuedLimit, "max_queued_per_shard %d is not between 1 and %d", d.MaxQueuedPerShard, maxQueuedLimit)
	check(d.UrgentWaitMS > 0, "urgent_wait_ms %d is not positive", d.UrgentWaitMS)
	check(d.AgeingStepMS > 0, "ageing_step_ms %d is not positive", d.AgeingStepMS)
	check(d.ShardsPerZone >= 1 && d.ShardsPerZone <= maxShardsPerZone, "shards_per_zone %d is not between 1 and %d", d.ShardsPerZone, maxShardsPerZone)
	check(d.CellShards >= 0 && d.CellShards <= maxCellShards, "cell_shards %d is not between 0 and %d", d.CellShards, maxCellShards)
	check(!slices.Contains(d.Zones, cellGroup), "no availability zone may be named %q", cellGroup)
	check(len(d.Zones) >= 1 && len(d.Zones) <= maxZones, "number of zones %d is not between 1 and %d", len(d.Zones), maxZones)
	check(distinctNames(d.Zones), "zones contain an empty or repeated name")
	check(len(d.Teams) >= 1 && len(d.Teams) <= maxTeams, "number of teams %d is not between 1 and %d", len(d.Teams), maxTeams)
	for _, name := range sortedTeams(d.Teams) {
		t := d.Teams[name]
		check(name != "", "a team has no name")
		check(t.Weight > 0, "team %q: weight %v is not positive", name, t.Weight)
		check(!t.Quota.Negative(), "team %q: quota %s is negative", name, t.Quota)
	}
	return errors.Join(errs...)
}

func sortedTeams(teams map[string]Team) []string {
	names := make([]string, 0, len(teams))
	for name := range teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func distinctNames(names []string) bool {
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if name == "" || seen[name] {
			return false
		}
		seen[name] = true
	}
	return true
}
