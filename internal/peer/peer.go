// Package peer carries requests between the daemons of entry VMs: one yamux session for each peer address, one stream
// for each request, protobuf messages with a length prefix.
//
// A call ends in a whole reply or in an error that says whether the receiver may have handled the request.
package peer

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/wire"
)

// Errors of a call. Every error of Client.Call wraps exactly one of ErrNotSent and ErrInDoubt.
var (
	// ErrNotSent means that the receiver has not handled the request and will not.
	ErrNotSent = errors.New("peer: request not sent")
	// ErrInDoubt means that the receiver may have handled the request, or may do so still.
	ErrInDoubt = errors.New("peer: request in doubt")
	// ErrTooLarge means that a message is larger than MaxMessageBytes.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrBusy means that the bound on concurrent calls to the peer is reached.
	ErrBusy = errors.New("peer: too many concurrent calls")
	// ErrClosed means that the client or server is closed.
	ErrClosed = errors.New("peer: closed")
)

// MaxMessageBytes bounds a request or reply on the wire.
const MaxMessageBytes = 4 << 20

// Bounds of a session.
const (
	dialTimeout = 1 * time.Second
	// keepAliveInterval is how often the dialling side pings an open session.
	keepAliveInterval = 1 * time.Second
	// serverKeepAliveInterval is how often the accepting side pings an open session.
	serverKeepAliveInterval = 10 * time.Second
	// sessionWriteTimeout bounds the time that a frame waits behind others and is written.
	sessionWriteTimeout = 10 * time.Second
	// maxSilenceForCalls is the time without a byte from the peer after which a session gets no new calls; pings are
	// answered at least every keepAliveInterval.
	maxSilenceForCalls = 2500 * time.Millisecond
	// maxSilence is the time without a byte from the peer after which the dialling side closes a session.
	maxSilence = 4 * time.Second
	// silenceCheckInterval is how often a session is checked for silence.
	silenceCheckInterval = 500 * time.Millisecond
	// minSessionAge is the age before which a missed deadline takes no session from use.
	minSessionAge = 100 * time.Millisecond
	// streamCloseTimeout is far beyond the time that a session lives without answering a ping, so that a reset
	// stream always means one that the receiver did not accept.
	streamCloseTimeout = 1 * time.Hour
	acceptBacklog      = 2048
	// maxOpenAttempts bounds the sessions that one call tries before any byte of its request is sent.
	maxOpenAttempts = 2
	// requestReadTimeout bounds the time from a stream's opening to the end of its request.
	requestReadTimeout = 10 * time.Second
	// replyWriteTimeout bounds the write of a reply.
	replyWriteTimeout = 10 * time.Second
	// replyReadTimeout is how long a server that has answered all it accepted waits for its peers to read the answers.
	replyReadTimeout = 2 * time.Second
)

// Bounds of concurrency. Control calls have a bound of their own, so that requests never hold up heartbeats.
const (
	maxRequestCallsPerPeer = 1024
	maxControlCallsPerPeer = 64
	maxHandledRequests     = 8192
)

// Handler answers requests. The context ends when the caller goes away, the session is lost or the server closes.
// Handle is called concurrently and must return a reply.
type Handler interface {
	Handle(ctx context.Context, req *wire.Request) *wire.Reply
}

// Caller sends a request to the daemon at addr and returns its whole reply.
// Errors: ErrNotSent, ErrInDoubt.
type Caller interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

var _ Caller = (*Client)(nil)
