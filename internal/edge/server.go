package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/inbound"
)

// ServerOptions sets the limits of the HTTP server. A zero field takes its default.
type ServerOptions struct {
	// ReadHeaderTimeout bounds the time to read a request's headers; IdleTimeout is how long an unused connection stays
	// open.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// DrainDelay is how long the server continues to serve after it has become unready, so that the balancer notices.
	// It must be longer than callers and the balancer keep unused connections: every answer during this time closes its
	// connection, and a connection still open afterwards has been unused for the whole time.
	DrainDelay time.Duration
}

// The defaults of ServerOptions, and the bound on a request's headers.
const (
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultReadHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
)

// shutdownPollInterval is the time between two checks for active connections during a shutdown.
const shutdownPollInterval = 10 * time.Millisecond

// Server serves the HTTP interface and shuts down without cutting off a request.
type Server struct {
	http       *http.Server
	drainDelay time.Duration
	limits     *inbound.Limits
	draining   atomic.Bool
	conns      activeConns
	// stopAccepting closes the listener. It is set by Serve.
	stopAccepting atomic.Pointer[func() error]
}

// NewServer returns a server of the HTTP interface to commands and queries.
func NewServer(commands Commands, queries Queries, opts Options, serverOpts ServerOptions) *Server {
	setDefault(&serverOpts.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDefault(&serverOpts.IdleTimeout, DefaultIdleTimeout)
	opts = opts.withDefaults()
	s := &Server{drainDelay: serverOpts.DrainDelay, limits: opts.Limits}
	handler := NewHandler(commands, drainingQueries{Queries: queries, draining: &s.draining}, opts)
	s.http = &http.Server{
		Handler:           s.closeWhileDraining(handler),
		ReadHeaderTimeout: serverOpts.ReadHeaderTimeout,
		IdleTimeout:       serverOpts.IdleTimeout,
		ConnState:         s.conns.onStateChange,
	}
	opts.Limits.Configure(s.http, inbound.Callers)
	return s
}

// Serve serves the connections of listener until Shutdown, and then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	bounded := s.limits.Listener(newOnceListener(listener), inbound.Callers)
	stopAccepting := bounded.Close
	s.stopAccepting.Store(&stopAccepting)
	err := s.http.Serve(bounded)
	if s.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown makes the server unready, continues to serve for the drain delay, closes the listener and waits until every
// request in flight is answered. It returns ctx's error if ctx ends first; the requests then continue.
//
// It calls Shutdown of net/http last, when only unused connections are left, because that drops a request whose headers
// it has not read completely.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	sleep(ctx, s.drainDelay)
	if stopAccepting := s.stopAccepting.Load(); stopAccepting != nil {
		_ = (*stopAccepting)() // http.Server.Shutdown closes the listener again and returns the error
	}
	for s.conns.count() > 0 {
		if !sleep(ctx, shutdownPollInterval) {
			break
		}
	}
	return s.http.Shutdown(ctx)
}

// Close closes every connection at once. Callers with a request in flight get no answer or a truncated one.
func (s *Server) Close() error {
	return s.http.Close()
}

// closeWhileDraining asks callers to close their connections while the server drains, so that none is idle when the
// listener closes.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainingQueries reports that it isn't ready while the server drains.
type drainingQueries struct {
	Queries
	draining *atomic.Bool
}

// Ready implements Queries.
func (q drainingQueries) Ready() (bool, cell.Reason) {
	if q.draining.Load() {
		return false, cell.Reason{Code: cell.ReasonDraining, Detail: "this entry VM is shutting down"}
	}
	return q.Queries.Ready()
}
