package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// Client calls the daemons of other entry VMs. It is safe for concurrent use.
type Client struct {
	clock   monotime.Clock
	traffic trafficByKind

	mu     sync.Mutex
	closed bool
	peers  map[string]*remotePeer
}

// NewClient returns a client without open sessions. Its counters are registered in set.
func NewClient(clock monotime.Clock, set *metrics.Set) *Client {
	return &Client{
		clock:   clock,
		traffic: newTrafficByKind(set, "client"),
		peers:   make(map[string]*remotePeer),
	}
}

// Call sends req to the daemon at addr, an IP address and a port, and returns its complete reply.
// It returns when ctx ends at the latest; the receiver's handler is then cancelled.
// Errors: one of ErrNotSent and ErrInDoubt, with the cause.
func (c *Client) Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error) {
	kind := TrafficOf(req)
	counts := c.traffic.of(kind)
	counts.calls.Inc()
	reply, err := c.call(ctx, addr, kind, req)
	if err != nil {
		counts.failures.Inc()
	}
	return reply, err
}

func (c *Client) call(ctx context.Context, addr string, kind Traffic, req *wire.Request) (*wire.Reply, error) {
	data, err := encode(req)
	if err != nil {
		return nil, notSent(err)
	}
	r, err := c.remote(addr)
	if err != nil {
		return nil, notSent(err)
	}
	if !r.acquireSlot(kind) {
		return nil, notSent(ErrBusy)
	}
	defer r.releaseSlot(kind)
	s, stream, err := openStream(ctx, r)
	if err != nil {
		return nil, notSent(err)
	}
	defer s.endCall()
	defer stream.Close()
	return c.exchange(ctx, r, s, stream, kind, data)
}

// openStream opens a stream on the peer's current session, or on a new session if that fails.
func openStream(ctx context.Context, r *remotePeer) (*session, *yamux.Stream, error) {
	var failure error
	for range maxOpenAttempts {
		s, err := r.sessionForCall(ctx)
		if err != nil {
			return nil, nil, errors.Join(err, failure)
		}
		stream, err := s.mux.OpenStream()
		if err == nil {
			return s, stream, nil
		}
		failure = err
		r.retire(s)
		s.endCall()
	}
	return nil, nil, failure
}

// exchange sends one encoded request on the stream and reads the reply. It retires the session if the call failed because
// of it.
func (c *Client) exchange(ctx context.Context, r *remotePeer, s *session, stream *yamux.Stream, kind Traffic, data []byte) (*wire.Reply, error) {
	stop := context.AfterFunc(ctx, func() { interrupt(stream) })
	defer stop()
	if ctx.Err() != nil {
		return nil, notSent(ctx.Err())
	}
	count := c.traffic.of(kind)
	count.sent.Add(len(data))
	reply, size, err := roundTrip(stream, data)
	if err == nil {
		count.received.Add(size)
		return reply, nil
	}
	if s.mux.IsClosed() || s.missedDeadline(ctx, c.clock.Now()) {
		r.retire(s)
	}
	if errors.Is(err, yamux.ErrConnectionReset) {
		r.retire(s)
		return nil, notSent(err)
	}
	return nil, inDoubt(errors.Join(err, ctx.Err()))
}

// Close closes every session. Calls in flight fail with ErrInDoubt.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = nil
	c.mu.Unlock()
	for _, r := range peers {
		r.close()
	}
}

func (c *Client) remote(addr string) (*remotePeer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	r, ok := c.peers[addr]
	if !ok {
		r = newRemotePeer(addr, c.clock)
		c.peers[addr] = r
	}
	return r, nil
}

// Forget removes a peer that has left. Its session closes once the calls in flight have ended.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	r := c.peers[addr]
	delete(c.peers, addr)
	c.mu.Unlock()
	if r != nil {
		r.drainCurrent()
	}
}

// roundTrip writes a request and reads the complete reply. It also returns the size of the reply in bytes.
func roundTrip(stream net.Conn, data []byte) (*wire.Reply, int, error) {
	if _, err := stream.Write(data); err != nil {
		return nil, 0, err
	}
	in := &countingReader{r: stream}
	reply := new(wire.Reply)
	if err := decode(newReader(in), reply); err != nil {
		return nil, 0, err
	}
	return reply, in.n, nil
}

// interrupt makes every pending read and write of the stream fail.
func interrupt(stream net.Conn) {
	_ = stream.SetDeadline(time.Unix(1, 0)) // fails only on a closed stream
}

func notSent(cause error) error {
	return fmt.Errorf("%w: %w", ErrNotSent, cause)
}

func inDoubt(cause error) error {
	return fmt.Errorf("%w: %w", ErrInDoubt, cause)
}
