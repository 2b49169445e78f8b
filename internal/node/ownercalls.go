package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

// Limits of the calls to shards' owners.
const (
	ownerCallTimeout      = 2 * time.Second
	ownerCallTries        = 4
	maxParallelOwnerCalls = 16
)

// callOwner sends an idempotent request to the owner of shard and returns its reply. It tries again if the shard has no
// known owner or the call fails.
func (n *Node) callOwner(ctx context.Context, shard cell.ShardID, req *wire.Request) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	err := fmt.Errorf("shard %s has no known owner", shard)
	for range ownerCallTries {
		var reply *wire.Reply
		reply, err = n.callOwnerOnce(ctx, shard, req)
		if err == nil {
			return reply, nil
		}
		n.directory.recheckOwner(shard)
		if !sleepJittered(ctx, minBackoff, time.Now().Add(ownerCallTimeout)) {
			break
		}
	}
	return nil, err
}

func (n *Node) callOwnerOnce(ctx context.Context, shard cell.ShardID, req *wire.Request) (*wire.Reply, error) {
	location, ok := n.directory.locateOwner(shard)
	if !ok {
		return nil, fmt.Errorf("shard %s has no known owner", shard)
	}
	if location.local != nil {
		return n.Handle(ctx, req), nil
	}
	reply, err := n.peers.Call(ctx, location.addr, req)
	if err != nil {
		return nil, err
	}
	if err := refusalError(reply); err != nil {
		return nil, fmt.Errorf("the daemon at %s for shard %s: %w", location.addr, shard, err)
	}
	return reply, nil
}

// Errors of an answer by which the receiver did nothing.
var (
	errNotOwner = errors.New("it does not own the shard")
	errRefused  = errors.New("it has refused the call")
)

// refusalError returns why the receiver did nothing, nil if it carried out the request.
func refusalError(reply *wire.Reply) error {
	switch body := reply.GetBody().(type) {
	case *wire.Reply_NotOwner:
		return errNotOwner
	case *wire.Reply_Refused:
		return fmt.Errorf("%w: %s", errRefused, wire.ToReason(body.Refused))
	}
	return nil
}

// callOwners calls the owner of every shard and returns the replies in the order of shards, nil for an owner that did
// not answer. It returns an error if no owner answered.
func (n *Node) callOwners(ctx context.Context, shards []cell.ShardID, req func(cell.ShardID) *wire.Request) ([]*wire.Reply, error) {
	replies := make([]*wire.Reply, len(shards))
	errs := make([]error, len(shards))
	var g errgroup.Group
	g.SetLimit(maxParallelOwnerCalls)
	for i, s := range shards {
		g.Go(func() error {
			replies[i], errs[i] = n.callOwner(ctx, s, req(s))
			return nil
		})
	}
	_ = g.Wait()
	for _, err := range errs {
		if err == nil {
			return replies, nil
		}
	}
	if len(errs) == 0 {
		return replies, nil
	}
	return nil, errs[0]
}
