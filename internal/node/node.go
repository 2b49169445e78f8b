// Package node assembles an entry VM's daemon: it owns shards, answers other daemons, and implements the commands and
// queries that package edge serves to callers and operators.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/edge"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/intent"
	"laburnumpoint/internal/job"
	"laburnumpoint/internal/membership"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/quota"
	"laburnumpoint/internal/shard"
	"laburnumpoint/internal/wire"
)

// Options configures a node. All fields except BootstrapConfig and the durations are required.
type Options struct {
	// ID identifies one run of the process: it is new at each start.
	ID cell.MemberID
	// PeerListen is the IP address and port on which other daemons reach this one.
	PeerListen string
	Zone       string
	Table      platformapi.Table
	VMs        platformapi.VMList
	Runner     platformapi.RunnerClient
	// BootstrapConfig becomes version 1 of the configuration if the cell has none. If nil, this node never creates it.
	BootstrapConfig *config.Document
	// LeaseTTL and ClaimInterval are passed to package shard; zero means its defaults.
	LeaseTTL      time.Duration
	ClaimInterval time.Duration
	Log           *log.Logger
	Metrics       *metrics.Set
	// Limits bounds what other daemons send; nil for no bound.
	Limits *inbound.Limits
}

// Node is a running daemon without its HTTP server.
type Node struct {
	opts      Options
	log       *log.Logger
	peers     *peer.Client
	server    *peer.Server
	configs   *config.Store
	members   *membership.Service
	intents   *intent.Log
	jobs      *job.Store
	quotas    *quota.Allocator
	shardHost *shardHost
	directory *membershipDirectory
	router    *router

	// workersListed is set once the platform's VM list has been read.
	workersListed atomic.Bool
	// unready is set when the process is about to stop.
	unready atomic.Bool
	cancel  context.CancelFunc
	loops   sync.WaitGroup
}

var (
	_ edge.Commands = (*Node)(nil)
	_ edge.Queries  = (*Node)(nil)
)

// Start opens the peer listener and joins the cell.
func Start(opts Options) (*Node, error) {
	clock := monotime.BootClock{}
	n := &Node{
		opts:    opts,
		log:     opts.Log,
		peers:   peer.NewClient(clock, opts.Metrics),
		intents: intent.New(opts.Table, opts.ID, intent.Options{}),
		jobs:    job.NewStore(opts.Table),
	}
	n.shardHost = newShardHost(opts.Log, n.startShard, n.onShardStopped)
	n.configs = config.NewStore(config.Options{
		Table:      opts.Table,
		Clock:      clock,
		Fetcher:    config.PeerFetcher{Client: n.peers},
		OnChange:   n.onConfigChanged,
		OnAccepted: func() { n.members.BroadcastHeartbeat() },
	})
	n.quotas = quota.NewAllocator(opts.Table, n.configs.Current, opts.Log)
	server, err := peer.Bind(opts.PeerListen, opts.Metrics)
	if err != nil {
		return nil, err
	}
	if opts.Limits != nil {
		server.SetLimits(opts.Limits)
	}
	n.server = server
	n.members = membership.New(membership.Options{
		ID:          opts.ID,
		Addr:        server.Addr(),
		Zone:        opts.Zone,
		Table:       opts.Table,
		Peers:       n.peers,
		Clock:       clock,
		ShardHost:   n.shardHost,
		ConfigStore: n.configs,
		Shards:      n.shards,
		Log:         opts.Log,
	})
	n.directory = &membershipDirectory{members: n.members, shardHost: n.shardHost}
	n.router = &router{directory: n.directory, peers: n.peers, log: n.log}
	server.Serve(n)
	n.run()
	return n, nil
}

func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	for _, loop := range []func(context.Context){
		n.configs.Run,
		n.members.Run,
		n.quotas.Run,
		n.bootstrap,
		n.pollWorkers,
	} {
		n.loops.Go(func() { loop(ctx) })
	}
}

// Leave releases this member's shards, so that other members take them over at once. Their owners refuse new requests
// as draining, and the requests are routed to the next owners.
func (n *Node) Leave(ctx context.Context) {
	n.unready.Store(true)
	if err := n.members.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("own member row not removed when leaving")
	}
}

// Shutdown waits until the requests in flight are answered, or ctx ends, and stops the node. In a planned stop, call
// Leave first.
func (n *Node) Shutdown(ctx context.Context) {
	n.shardHost.waitForReleases(ctx)
	if err := n.server.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("shutdown cut off requests of other daemons")
	}
	n.cancel()
	n.loops.Wait()
}

// SetUnready makes Ready report false from now on.
func (n *Node) SetUnready() {
	n.unready.Store(true)
}

// Ready implements edge.Queries.
func (n *Node) Ready() (bool, cell.Reason) {
	if n.unready.Load() {
		return false, cell.Reason{Code: cell.ReasonDraining}
	}
	if v, _ := n.configs.Current(); v.Version == 0 {
		return false, cell.Reason{Code: cell.ReasonConfigStale, Detail: "no configuration is known yet"}
	}
	if !n.workersListed.Load() {
		return false, cell.Reason{Code: cell.ReasonRecovering, Detail: "the VM list has not been read yet"}
	}
	return true, cell.Reason{}
}

// shards returns the cell's shards, none while no configuration is known.
func (n *Node) shards() []membership.Shard {
	v, _ := n.configs.Current()
	if v.Version == 0 {
		return nil
	}
	return membership.ShardsOf(v.Document)
}

func (n *Node) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// startShard starts the owner and the job controller of a shard. It runs on the membership's event loop.
func (n *Node) startShard(id cell.ShardID, epoch cell.Epoch) *ownedShard {
	s := &ownedShard{shard: id, epoch: epoch}
	s.owner = shard.Start(shard.Params{
		Shard:            id,
		Epoch:            epoch,
		Member:           n.opts.ID,
		Runner:           n.opts.Runner,
		Intents:          n.intents,
		ConfirmOwnership: func(ctx context.Context) error { return n.confirmOwnership(ctx, id, epoch) },
		Config:           n.configs.Current,
		QuotaShare: func(team string, d config.Document) cell.Resources {
			return n.quotas.Limit(id, team, d.Teams[team].Quota)
		},
		OnSuperseded:  func() { n.members.RecheckOwner(id) },
		Logger:        n.log,
		LeaseTTL:      n.opts.LeaseTTL,
		ClaimInterval: n.opts.ClaimInterval,
	})
	s.jobs = job.StartController(id, n.jobs, taskSubmitter{s.owner}, n.log, func() { n.members.RecheckOwner(id) })
	n.quotas.Add(id, s)
	return s
}

func (n *Node) onShardStopped(id cell.ShardID) {
	n.quotas.Remove(id)
}

func (n *Node) confirmOwnership(ctx context.Context, id cell.ShardID, epoch cell.Epoch) error {
	err := n.members.ConfirmOwnership(ctx, id, epoch)
	if errors.Is(err, membership.ErrSuperseded) {
		return shard.ErrNotOwner
	}
	return err
}

// taskSubmitter lets a job controller submit tasks to a shard's owner.
type taskSubmitter struct {
	owner *shard.Owner
}

// SubmitTask implements job.TaskSubmitter. An earlier owner may have submitted a job's task already, so it is always
// marked as maybe resent.
func (s taskSubmitter) SubmitTask(t cell.Task, done func(cell.Outcome)) {
	s.owner.Submit(shard.Request{Task: t, MaybeResent: true, Caller: "job", Arrived: time.Now()}, done)
}

// CancelJob implements job.TaskSubmitter.
func (s taskSubmitter) CancelJob(id cell.JobID) int {
	return s.owner.CancelJob(id)
}

// membershipDirectory finds the owners of shards in the membership. It implements ownerDirectory.
type membershipDirectory struct {
	members   *membership.Service
	shardHost *shardHost
}

func (d *membershipDirectory) locateOwner(id cell.ShardID) (ownerLocation, bool) {
	if s := d.shardHost.get(id); s != nil {
		return ownerLocation{local: s}, true
	}
	ownership, ok := d.members.Owner(id)
	if !ok || ownership.Addr == "" {
		return ownerLocation{}, false
	}
	return ownerLocation{addr: ownership.Addr}, true
}

func (d *membershipDirectory) recheckOwner(id cell.ShardID) {
	d.members.RecheckOwner(id)
}

// digest returns the last known digest of a shard, or nil.
func (d *membershipDirectory) digest(id cell.ShardID) *wire.ShardDigest {
	if own := d.shardHost.lastDigest(id); own != nil {
		return own
	}
	digest, _ := d.members.Digest(id)
	return digest
}
