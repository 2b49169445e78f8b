package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// sayHello tells the owner of the cell, again and again, that this daemon can ask the policy service. A daemon that the
// store turns away learns from others who the owner is.
func (d *Daemon) sayHello(ctx context.Context) {
	for ctx.Err() == nil {
		owner := d.Replica.Owner()
		if owner.Version > 0 && !owner.Released && owner.Incarnation != d.Incarnation {
			d.hello(ctx, owner.Address)
		}
		if !d.StoreUp() && !d.IsOwner() {
			d.askForOwner(ctx)
		}
		monotime.Sleep(ctx, helloInterval)
	}
}

// knowledgeAge is how old what the store has told this daemon is, as far as it matters to who may own the cell: a daemon
// whose copy of the ledger is behind could not take over although the store answers it.
func (d *Daemon) knowledgeAge() time.Duration {
	if age := d.Replica.Age(); age > blindAfter && d.Replica.HasFullCopy() {
		return age
	}
	return d.StoreAge()
}

func (d *Daemon) hello(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, helloInterval)
	defer cancel()
	body := &wire.Hello{Node: d.Node, Addr: d.PeerAddr, Zone: d.Zone, StoreAgeMs: d.knowledgeAge().Milliseconds(), MilliCores: uint32(d.Cores * 1000), UptimeMs: d.Clock.Now().Sub(d.startedAt).Milliseconds()}
	reply, err := d.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Hello{Hello: body}})
	if err != nil {
		d.counts.helloFailures.Inc()
		return
	}
	if peers := reply.GetHello().GetPeers(); len(peers) > 0 {
		d.peers.Store(&peers)
		d.Replica.SetDaemonCount(len(peers) + 1)
	}
}

// askForOwner asks one of the other daemons who owns the cell.
func (d *Daemon) askForOwner(ctx context.Context) {
	peers := d.peers.Load()
	if peers == nil {
		return
	}
	addr := (*peers)[rand.IntN(len(*peers))]
	if addr == d.PeerAddr {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, helloInterval)
	defer cancel()
	reply, err := d.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Owner{Owner: &wire.OwnerRequest{}}})
	if err != nil {
		d.counts.helloFailures.Inc()
		return
	}
	known := d.Replica.Owner()
	if o := reply.GetOwner(); o.GetVersion() > known.Version {
		if o.Epoch > known.Epoch {
			d.Log.Info().Str("owner", o.Node).Uint64("epoch", o.Epoch).Str("via", addr).Msg("owner learnt from another daemon")
		}
		d.Replica.ObserveOwner(ledger.OwnerRecord{
			Node: o.Node, Incarnation: o.Life, Address: o.Addr, Epoch: o.Epoch, Released: o.Released,
			Cores: float64(o.MilliCores) / 1000, Standbys: int(o.Standbys),
		}, o.Version)
	}
}

// HandleOwner tells who owns the cell.
func (d *Daemon) HandleOwner() *wire.Reply {
	o := d.Replica.Owner()
	body := &wire.OwnerReply{Node: o.Node, Life: o.Incarnation, Addr: o.Address, Epoch: o.Epoch, Released: o.Released, Version: o.Version,
		MilliCores: uint32(o.Cores * 1000), Standbys: uint32(o.Standbys)}
	return &wire.Reply{Body: &wire.Reply_Owner{Owner: body}}
}

// HandleHello notes a daemon that can help.
func (d *Daemon) HandleHello(hello *wire.Hello) *wire.Reply {
	c := d.control.Load()
	if c == nil {
		return &wire.Reply{Body: &wire.Reply_NotOwner{NotOwner: &wire.Empty{}}}
	}
	c.post(func() {
		c.permits.hello(hello, c.now())
		peers := c.permits.heardLately(c.now())
		d.peers.Store(&peers)
	})
	body := &wire.HelloReply{}
	if peers := d.peers.Load(); peers != nil {
		body.Peers = *peers
	}
	return &wire.Reply{Body: &wire.Reply_Hello{Hello: body}}
}
