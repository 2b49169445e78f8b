package node

import (
	"context"
	"time"

	"laburnumpoint/internal/config"
)

// Intervals of the node's loops.
const (
	workersInterval   = time.Second
	workersTimeout    = 2 * time.Second
	bootstrapInterval = time.Second
)

// pollWorkers reads the platform's VM list at intervals. While that fails, the last list stays in use.
func (n *Node) pollWorkers(ctx context.Context) {
	pollUntil(ctx, workersInterval, func() bool {
		callCtx, cancel := context.WithTimeout(ctx, workersTimeout)
		defer cancel()
		readAt := time.Now()
		workers, err := n.opts.VMs.Workers(callCtx)
		if err != nil {
			n.log.Warn().Err(err).Msg("VM list not read; retrying")
			return false
		}
		v, _ := n.configs.Current()
		if v.Version == 0 {
			return false
		}
		n.shardHost.setWorkers(v.Document, workers, readAt)
		n.workersListed.Store(true)
		return false
	})
}

// bootstrap stores the first version of the configuration, if the cell has none and this node was given one.
func (n *Node) bootstrap(ctx context.Context) {
	if n.opts.BootstrapConfig == nil {
		return
	}
	pollUntil(ctx, bootstrapInterval, func() bool {
		if err := n.configs.Bootstrap(ctx, *n.opts.BootstrapConfig); err != nil {
			n.log.Warn().Err(err).Msg("bootstrap configuration not stored; retrying")
			return false
		}
		return true
	})
}

// pollUntil calls f at once and then at every interval, until it returns true or ctx ends.
func pollUntil(ctx context.Context, interval time.Duration, f func() bool) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for !f() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// onConfigChanged makes the owned shards apply a new version at once.
func (n *Node) onConfigChanged(v config.Versioned) {
	n.log.Info().Uint64("version", v.Version).Msg("configuration in force")
	for _, s := range n.shardHost.all() {
		s.owner.RefreshPolicy()
	}
}
