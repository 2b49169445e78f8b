// Package peer sends requests between the daemons of entry VMs. It keeps one yamux session per peer address, opens one
// stream per request and encodes messages as protobuf with a length prefix.
//
// A call returns either a complete reply or an error that says whether the receiver may have handled the request.
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
	// ErrInDoubt means that the receiver may have handled the request or may still handle it.
	ErrInDoubt = errors.New("peer: request in doubt")
	// ErrTooLarge means that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrBusy means that the limit on concurrent calls to the peer is reached.
	ErrBusy = errors.New("peer: too many concurrent calls")
	// ErrClosed means that the client or server is closed.
	ErrClosed = errors.New("peer: closed")
)

// MaxMessageBytes limits the encoded size of a request or reply.
const MaxMessageBytes = 4 << 20

// Timeouts, intervals and limits of a session.
const (
	dialTimeout = 1 * time.Second
	// keepAliveInterval is how often the dialling side pings an open session.
	keepAliveInterval = 1 * time.Second
	// serverKeepAliveInterval is how often the accepting side pings an open session.
	serverKeepAliveInterval = 10 * time.Second
	// sessionWriteTimeout limits the time for which a frame is queued and written.
	sessionWriteTimeout = 10 * time.Second
	// maxSilenceForCalls is the time without a byte from the peer after which a session takes no new calls. The answers
	// to pings arrive at least every keepAliveInterval.
	maxSilenceForCalls = 2500 * time.Millisecond
	// maxSilence is the time without a byte from the peer after which the dialling side closes a session.
	maxSilence = 4 * time.Second
	// silenceCheckInterval is how often a session is checked for silence.
	silenceCheckInterval = 500 * time.Millisecond
	// minSessionAge is the age from which a session is retired when a call on it misses its deadline.
	minSessionAge = 100 * time.Millisecond
	// streamCloseTimeout is far longer than a session stays open without an answer to a ping, so a reset stream always
	// means that the receiver did not accept it.
	streamCloseTimeout = 1 * time.Hour
	// acceptBacklog bounds the streams of a session that wait to be served. A daemon has at most maxRequestCallsPerPeer and
	// maxControlCallsPerPeer open.
	acceptBacklog = maxRequestCallsPerPeer + maxControlCallsPerPeer
	// maxOpenAttempts limits the sessions on which one call tries to open a stream. No byte of the request has been sent
	// by then.
	maxOpenAttempts = 2
	// requestReadTimeout limits the time from the opening of a stream to the end of its request.
	requestReadTimeout = 10 * time.Second
	// firstFrameTimeout limits the time to the first frame of a connection. A daemon that has nothing to send pings every
	// keepAliveInterval.
	firstFrameTimeout = 5 * time.Second
	// replyWriteTimeout limits the time to write a reply.
	replyWriteTimeout = 10 * time.Second
	// replyReadTimeout is how long a server that shuts down waits for its peers to read the last replies.
	replyReadTimeout = 2 * time.Second
)

// Limits on concurrent calls. Control calls have a limit of their own, so that requests never delay heartbeats.
const (
	maxRequestCallsPerPeer = 1024
	maxControlCallsPerPeer = 64
	maxHandledRequests     = 8192
	// maxStreamsReading limits the streams of all sessions whose request is being read; further ones wait. A process with less than
	// streamMemory for each reads fewer, but minStreamsReading.
	maxStreamsReading = 4096
	minStreamsReading = 256
	streamMemory      = 128 << 10
)

// Handler answers requests. Its context ends when the calling daemon closes the stream, the session is lost or the server
// closes. Handle is called concurrently and must return a reply.
type Handler interface {
	Handle(ctx context.Context, req *wire.Request) *wire.Reply
}

// Sender sends a request to the daemon at addr and returns its complete reply.
// Errors: ErrNotSent, ErrInDoubt.
type Sender interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

var _ Sender = (*Client)(nil)
