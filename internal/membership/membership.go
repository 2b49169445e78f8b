// Package membership keeps track of the cell's daemons and of which of them owns each shard.
//
// A member writes a row in the table and exchanges heartbeats with the others. A shard's ownership is a row with an
// epoch that only conditional transactions change. Considering a member dead only leads to such a transaction: if the
// member still runs, the workers refuse what the old owner still sends, because they fence by epoch (docs/LEASES.md).
package membership

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/wire"
)

// ErrSuperseded means that the shard's row names another owner or epoch.
var ErrSuperseded = errors.New("membership: shard ownership superseded")

// Member is a daemon of the cell as this daemon sees it.
type Member struct {
	ID cell.MemberID
	// Addr is the IP address and port that its peer server listens on.
	Addr string
	// Zone is its availability zone.
	Zone string
	// Live is false for a member that counts as dead. It may still run.
	Live bool
	// Leaving means that the member is shutting down and acquires no shards.
	Leaving       bool
	ConfigVersion uint64
	// Self means that the member is this daemon.
	Self bool
}

// Ownership says who owns a shard, according to the shard's row when this process last read it.
type Ownership struct {
	Shard cell.ShardID
	Owner cell.MemberID
	Addr  string
	Epoch cell.Epoch
	// Live is false if the owner counts as dead.
	Live bool
}

// ShardHost runs the shards that this member owns. The service calls OnShardAcquired, OnShardLost and
// MarkWorkersLeaving from its event loop; they must not block. ShardDigests and LeavingWorkers are called concurrently.
type ShardHost interface {
	// OnShardAcquired is called when this member has become the owner of the shard under the epoch.
	OnShardAcquired(shard cell.ShardID, epoch cell.Epoch)
	// OnShardLost is called when another owner has superseded the epoch.
	OnShardLost(shard cell.ShardID, epoch cell.Epoch)
	// ReleaseShard stops deciding for the shard under the epoch. It returns when that is done or when ctx ends.
	ReleaseShard(ctx context.Context, shard cell.ShardID, epoch cell.Epoch)
	// ShardDigests returns a digest of each shard that the host decides for.
	ShardDigests() []*wire.ShardDigest
	// LeavingWorkers lists the workers that this member last saw leaving or removed.
	LeavingWorkers() []cell.WorkerID
	// MarkWorkersLeaving passes on the workers that another member has seen leaving or removed.
	MarkWorkersLeaving(workers []cell.WorkerID)
}

// ConfigStore supplies and receives the configuration versions that heartbeats carry; *config.Store implements it.
type ConfigStore interface {
	// AnnouncedVersion returns this process's version and whether this process may have made a newer one.
	AnnouncedVersion() (version uint64, pending bool)
	// RecordPeerVersion records the version with which another member answered a heartbeat.
	RecordPeerVersion(h config.PeerVersion)
	// LearnVersion processes the version that the member at addr announced in its own heartbeat.
	LearnVersion(addr string, version uint64)
	// SetMembers sets which other members have a row.
	SetMembers(ids []cell.MemberID)
}

// PeerSender sends a request to another member's daemon; *peer.Client implements it.
type PeerSender interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// Shard is a shard of the cell and its availability zone.
type Shard struct {
	ID   cell.ShardID
	Zone string
}

// Options configure a Service. All fields but Log are required.
type Options struct {
	// ID, Addr and Zone describe this daemon. ID is new at each start. The peer server already listens on Addr.
	ID          cell.MemberID
	Addr        string
	Zone        string
	Table       platformapi.Table
	Peers       PeerSender
	Clock       monotime.Clock
	ShardHost   ShardHost
	ConfigStore ConfigStore
	// Shards lists the cell's shards. The list is empty while there is no configuration.
	Shards func() []Shard
	// Log may be nil; then nothing is logged.
	Log *log.Logger
}

// ShardsOf lists the shards that a configuration defines.
func ShardsOf(d config.Document) []Shard {
	zones := d.ShardZones()
	ids := d.Shards()
	out := make([]Shard, 0, len(ids))
	for _, id := range ids {
		out = append(out, Shard{ID: id, Zone: zones[id]})
	}
	return out
}

// Intervals and limits of the service.
const (
	tickInterval = 250 * time.Millisecond
	// minHeartbeatInterval and heartbeatIntervalPerMember determine how often each pair of members exchanges a
	// heartbeat. The interval grows with the number of members, so that each node's traffic stays bounded.
	minHeartbeatInterval       = 1 * time.Second
	heartbeatIntervalPerMember = 50 * time.Millisecond
	heartbeatTimeout           = 1 * time.Second
	// ownExchangeInterval is how often a member begins an exchange itself with a member that already sends it
	// heartbeats. The configuration's freshness counts only from the start of exchanges that this member began.
	ownExchangeInterval = 5 * time.Second
	tableTimeout        = 2 * time.Second
	// rowReadInterval is the time between two reads of the rows; minRowReadInterval applies if a read was requested.
	rowReadInterval    = 2 * time.Second
	minRowReadInterval = 200 * time.Millisecond
	// tableUnreachableAfter is the time since the last successful read of the rows after which the table counts as
	// unreachable and no shard is released.
	tableUnreachableAfter = 5 * time.Second
	// minRowRefreshInterval and rowRefreshIntervalPerMember determine how often a member writes its row, so that all
	// members together write at most ten rows a second.
	minRowRefreshInterval       = 2 * time.Second
	rowRefreshIntervalPerMember = 100 * time.Millisecond
	// minFailureTimeout is the time without a heartbeat after which a member may count as dead, for heartbeats at
	// minHeartbeatInterval.
	minFailureTimeout = 3 * time.Second
	// rowRefreshSlack is how much later than its row announces a member may refresh it.
	rowRefreshSlack = 1500 * time.Millisecond
	// refusedHeartbeatLimit is the number of consecutive refused connections after which a member counts as dead,
	// because nothing listens on its address.
	refusedHeartbeatLimit = 2
	// pauseThreshold is the time without a tick after which this process assumes that it was paused.
	pauseThreshold = 1500 * time.Millisecond
	// acquireDelay is how long a member waits before it acquires shards once it is able to, so that daemons that start
	// together share them.
	acquireDelay = 2 * time.Second
	// stableBeforeRebalance is how long the set of candidates must have been unchanged before shards are rebalanced.
	stableBeforeRebalance = 15 * time.Second
	// rebalanceInterval is the minimum time between two releases for rebalancing by one owner.
	rebalanceInterval = 5 * time.Second
	// deadRowRetention is how long a dead member's row must have been unchanged before it is deleted.
	deadRowRetention = 2 * time.Minute
	// rebalanceReleaseTimeout bounds ShardHost.ReleaseShard for rebalancing.
	rebalanceReleaseTimeout = 10 * time.Second
	// leaveReleaseTimeout bounds ShardHost.ReleaseShard during Leave, whose context usually ends sooner.
	leaveReleaseTimeout = 1 * time.Hour
	eventQueueSize      = 1024
)
