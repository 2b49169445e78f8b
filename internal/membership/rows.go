package membership

import (
	"strings"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// Prefixes of the keys of this package's rows in the table.
const (
	memberPrefix = "member/"
	shardPrefix  = "shard/"
)

// memberRow is a member's row. Each refresh gives it a new version in the table.
type memberRow struct {
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	// RefreshMS is the time in milliseconds within which the member writes the row again.
	RefreshMS int64 `json:"refresh_ms"`
}

func (r memberRow) refreshInterval() time.Duration {
	return time.Duration(r.RefreshMS) * time.Millisecond
}

// shardRow is the row of a shard's ownership. An empty Owner means that the last owner has released the shard.
type shardRow struct {
	Owner cell.MemberID `json:"owner,omitempty"`
	Addr  string        `json:"addr,omitempty"`
	Epoch cell.Epoch    `json:"epoch"`
	// NextOwner is the member that the shard was released to. Until it acquires the shard, Assign treats it as the
	// current owner.
	NextOwner cell.MemberID `json:"next,omitempty"`
}

// olderThan reports whether r was written before other. Within an epoch, the row of the release is the last.
func (r shardRow) olderThan(other shardRow) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch < other.Epoch
	}
	return r.Owner != "" && other.Owner == ""
}

func memberKey(id cell.MemberID) string  { return memberPrefix + string(id) }
func shardKey(shard cell.ShardID) string { return shardPrefix + string(shard) }

func memberFromKey(key string) cell.MemberID {
	return cell.MemberID(strings.TrimPrefix(key, memberPrefix))
}

func shardFromKey(key string) cell.ShardID {
	return cell.ShardID(strings.TrimPrefix(key, shardPrefix))
}

func decodeShardRow(row platformapi.Row) (shardRow, error) {
	var r shardRow
	err := platformapi.DecodeRow(row, &r)
	return r, err
}

func decodeMemberRow(row platformapi.Row) (memberRow, error) {
	var r memberRow
	err := platformapi.DecodeRow(row, &r)
	return r, err
}
