// Package membership knows the daemons of the cell and which of them owns each shard.
//
// A member is a row in the table and a heartbeat each second; a shard's ownership is a row with an epoch, moved by
// conditional transactions only. Judging a member dead is never more than a reason to try such a transaction: what a
// wrongly judged owner still sends is refused by the workers, which fence by epoch (docs/LEASES.md).
package membership

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/wire"
)

// ErrSuperseded means that the shard's row names another owner or epoch.
var ErrSuperseded = errors.New("membership: shard ownership superseded")

// Member is one daemon as this one sees it.
type Member struct {
	ID cell.MemberID
	// Addr is where its peer server listens, an IP number and a port.
	Addr string
	// Zone is its availability zone.
	Zone string
	// Live is false for a member that is judged dead. A judgement may be wrong.
	Live bool
	// Leaving means that the member shuts down and takes no shards.
	Leaving       bool
	ConfigVersion uint64
	Self          bool
}

// Ownership is who owns a shard, as the table said when this process last read it.
type Ownership struct {
	Shard cell.ShardID
	Owner cell.MemberID
	Addr  string
	Epoch cell.Epoch
	// Live is false if the owner is judged dead.
	Live bool
}

// ShardHost runs the shards that this member owns. The service calls Acquired, Lost and NoteLeaving from its event loop;
// they must return at once. Digests and LeavingWorkers are called concurrently.
type ShardHost interface {
	// OnShardAcquired tells that this member owns the shard under the epoch.
	OnShardAcquired(shard cell.ShardID, epoch cell.Epoch)
	// OnShardLost tells that another owner has superseded the epoch.
	OnShardLost(shard cell.ShardID, epoch cell.Epoch)
	// ReleaseShard returns when the host has stopped deciding for the shard under the epoch, or when ctx ends.
	ReleaseShard(ctx context.Context, shard cell.ShardID, epoch cell.Epoch)
	// ShardDigests describes the shards that the host decides for.
	ShardDigests() []*wire.ShardDigest
	// LeavingWorkers lists workers lately seen leaving or gone.
	LeavingWorkers() []cell.WorkerID
	// MarkWorkersLeaving tells which workers another member has seen leaving or gone.
	MarkWorkersLeaving(workers []cell.WorkerID)
}

// ConfigStore is what heartbeats carry of the configuration; *config.Store implements it.
type ConfigStore interface {
	// AnnouncedVersion returns the version at hand and whether this process may have made a newer one.
	AnnouncedVersion() (version uint64, pending bool)
	// RecordPeerVersion takes what another member answered.
	RecordPeerVersion(h config.Heard)
	// LearnVersion takes the version that another member announced.
	LearnVersion(addr string, version uint64)
	// SetMembers takes the other members that have a row.
	SetMembers(ids []cell.MemberID)
}

// PeerClient sends a request to another member's daemon; *peer.Client implements it.
type PeerClient interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// Shard is a shard of the cell and its availability zone.
type Shard struct {
	ID   cell.ShardID
	Zone string
}

// Options are what a service works with. All but Log are needed.
type Options struct {
	// Self names this daemon; ID is new at each start, Addr is where its peer server already listens.
	ID          cell.MemberID
	Addr        string
	Zone        string
	Table       platform.Table
	PeerClient  PeerClient
	Clock       monotime.Clock
	ShardHost   ShardHost
	ConfigStore ConfigStore
	// Shards lists the cell's shards; empty while there is no configuration.
	Shards func() []Shard
	// Log may be nil.
	Log *log.Logger
}

// ShardsOf lists the shards of a configuration.
func ShardsOf(d config.Document) []Shard {
	zones := d.ShardZones()
	ids := d.Shards()
	out := make([]Shard, 0, len(ids))
	for _, id := range ids {
		out = append(out, Shard{ID: id, Zone: zones[id]})
	}
	return out
}

// Times of the service.
const (
	tickInterval = 250 * time.Millisecond
	// heartbeatMin and heartbeatPerMember set how often each pair of members exchanges a heartbeat, so that the traffic
	// of a node stays bounded however many members there are.
	heartbeatMin       = 1 * time.Second
	heartbeatPerMember = 50 * time.Millisecond
	heartbeatTimeout   = 1 * time.Second
	// ownExchangeInterval is how often a member begins an exchange with one that it hears anyway, since the freshness
	// of the configuration counts from our own starts.
	ownExchangeInterval = 5 * time.Second
	tableTimeout        = 2 * time.Second
	// rowsInterval is the time between two readings of the rows; rowsMinInterval that between two forced ones.
	rowsInterval    = 2 * time.Second
	rowsMinInterval = 200 * time.Millisecond
	// tableSilenceLimit is the time without a reading of the rows after which no shard is given up.
	tableSilenceLimit = 5 * time.Second
	// refreshMin and refreshPerMember set how often a member writes its row, so that all members together write at
	// most ten rows a second.
	refreshMin       = 2 * time.Second
	refreshPerMember = 100 * time.Millisecond
	// silenceMin is the time without a heartbeat after which a member may be judged dead, if heartbeats are exchanged
	// each heartbeatMin.
	silenceMin = 3 * time.Second
	// refreshSlack is how much later than promised a row may be refreshed.
	refreshSlack = 1500 * time.Millisecond
	// refusedLimit is the number of heartbeats in a row refused by the peer's host after which nothing listens there.
	refusedLimit = 2
	// pauseLimit is the time between two ticks beyond which this process takes itself to have been paused.
	pauseLimit = 1500 * time.Millisecond
	// takeDelay is how long a member takes no shards after it has come to be able to, so that daemons started together
	// share them.
	takeDelay = 2 * time.Second
	// stableBefore is how long the live members must have been the same before shards are moved for balance.
	stableBefore = 15 * time.Second
	// moveInterval is the time between two moves for balance by one owner.
	moveInterval = 5 * time.Second
	// removeAfter is how long a dead member's row stays.
	removeAfter = 2 * time.Minute
	// releaseTimeout bounds a host's release of a shard moved for balance.
	releaseTimeout = 10 * time.Second
	// leaveTimeout bounds a host's release of a shard in a planned stop, whose own bound is usually shorter.
	leaveTimeout = 1 * time.Hour
	eventBacklog = 1024
)
