package config

import (
	"context"
	"fmt"
	"strconv"

	"laburnumpoint/internal/platformapi"
)

// Keys of the configuration's rows.
const (
	headKey       = "config/head"
	versionPrefix = "config/v/"
	patchPrefix   = "config/patch/"
)

// headRow names the version in force.
type headRow struct {
	Version uint64 `json:"version"`
	Patch   string `json:"patch,omitempty"`
}

// versionRow holds one version; it is never changed.
type versionRow struct {
	Version  uint64   `json:"version"`
	Patch    string   `json:"patch,omitempty"`
	Document Document `json:"document"`
}

// patchRow records which version an accepted patch became.
type patchRow struct {
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

func versionKey(version uint64) string {
	return versionPrefix + strconv.FormatUint(version, 10)
}

func patchKey(id string) string {
	return patchPrefix + id
}

// readVersion reads the row of a version. Errors: platformapi.ErrNotFound, platformapi.ErrUnavailable.
func readVersion(ctx context.Context, table platformapi.Table, version uint64) (versionRow, error) {
	var row versionRow
	rowVersion, err := platformapi.ReadRow(ctx, table, versionKey(version), &row)
	if err != nil {
		return row, err
	}
	if rowVersion == 0 {
		return row, fmt.Errorf("configuration version %d: %w", version, platformapi.ErrNotFound)
	}
	return row, nil
}
