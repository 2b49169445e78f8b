package owner

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// runHelloLoop sends hellos to the owner of the cell, so that the owner can have this daemon call the policy service. While the
// store doesn't answer this daemon, it also asks other daemons who the owner is.
func (d *Daemon) runHelloLoop(ctx context.Context) {
	for ctx.Err() == nil {
		owner := d.Replica.Owner()
		if owner.Version > 0 && !owner.Released && owner.Incarnation != d.Incarnation {
			d.sendHello(ctx, owner.Address)
			if d.RefuseOverload {
				go d.fetchBacklog(ctx, owner.Address)
			}
		}
		if !d.StoreUp() && !d.IsOwner() {
			d.askPeerForOwner(ctx)
		}
		monotime.Sleep(ctx, helloInterval)
	}
}

// ownershipViewAge returns the age that a hello reports for this daemon's last answer from the store. It is the age of the
// ledger's copy if that is too old for a takeover: such a daemon can't take over although the store answers it.
func (d *Daemon) ownershipViewAge() time.Duration {
	if age := d.Replica.Age(); age > maxTakeoverCopyAge && d.Replica.HasFullCopy() {
		return age
	}
	return d.StoreAge()
}

// sendHello sends a hello to the owner at addr and keeps the list of daemons in its answer.
func (d *Daemon) sendHello(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, helloInterval)
	defer cancel()
	body := &wire.Hello{Node: d.Node, Addr: d.PeerAddr, Zone: d.Zone, StoreAgeMs: d.ownershipViewAge().Milliseconds(), MilliCores: uint32(d.Cores * 1000), UptimeMs: d.Clock.Now().Sub(d.startedAt).Milliseconds()}
	if d.ConfigState != nil {
		body.ConfigVersion, _, _ = d.ConfigState()
		body.WantsConfig = !d.StoreUp()
	}
	sentAt := d.Clock.Now()
	reply, err := d.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Hello{Hello: body}})
	if err != nil {
		d.instruments.helloFailures.Inc()
		return
	}
	if hello := reply.GetHello(); hello.GetConfigVersion() > 0 && d.ObserveConfig != nil {
		// The owner knew the version to be the newest at most this long before it answered, which was after the sending.
		d.ObserveConfig(hello.ConfigVersion, hello.Config, sentAt.Add(-time.Duration(hello.ConfigAgeMs)*time.Millisecond))
	}
	if peers := reply.GetHello().GetPeers(); len(peers) > 0 {
		d.peerAddrs.Store(&peers)
		d.Replica.SetDaemonCount(len(peers) + 1)
	}
}

// OtherDaemons returns the addresses of the live daemons that the owner last listed, without this one. Those that the store
// had lately not answered come last. The caller must not change the list.
func (d *Daemon) OtherDaemons() []string {
	peers := d.peerAddrs.Load()
	if peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(*peers), func(addr string) bool { return addr == d.PeerAddr })
}

// askPeerForOwner asks a random other daemon for the ownership row.
func (d *Daemon) askPeerForOwner(ctx context.Context) {
	peers := d.peerAddrs.Load()
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
		d.instruments.helloFailures.Inc()
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

// HandleOwner answers another daemon with the ownership row as last seen.
func (d *Daemon) HandleOwner() *wire.Reply {
	o := d.Replica.Owner()
	body := &wire.OwnerReply{Node: o.Node, Life: o.Incarnation, Addr: o.Address, Epoch: o.Epoch, Released: o.Released, Version: o.Version,
		MilliCores: uint32(o.Cores * 1000), Standbys: uint32(o.Standbys)}
	return &wire.Reply{Body: &wire.Reply_Owner{Owner: body}}
}

// HandleHello handles the hello of a daemon that can call the policy service, and answers with the addresses of live daemons.
func (d *Daemon) HandleHello(hello *wire.Hello) *wire.Reply {
	c := d.controller.Load()
	if c == nil {
		return &wire.Reply{Body: &wire.Reply_NotOwner{NotOwner: &wire.Empty{}}}
	}
	c.post(func() {
		c.permits.handleHello(hello, c.now())
		peers := c.permits.liveAddrs(c.now())
		d.peerAddrs.Store(&peers)
	})
	body := &wire.HelloReply{}
	if d.ConfigState != nil {
		version, document, age := d.ConfigState()
		body.ConfigVersion, body.ConfigAgeMs = version, age.Milliseconds()+1
		if hello.WantsConfig && hello.ConfigVersion < version {
			body.Config = document
		}
	}
	if peers := d.peerAddrs.Load(); peers != nil {
		body.Peers = *peers
	}
	return &wire.Reply{Body: &wire.Reply_Hello{Hello: body}}
}
