package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"laburnumpoint/internal/cell"
)

// ServerOptions sets the limits of the listening side. A zero field takes its default.
type ServerOptions struct {
	// MaxConns bounds the open connections.
	MaxConns int
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes int
	// ReadHeaderTimeout bounds the time to read a request's headers; IdleTimeout ends unused connections.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// DrainDelay is how long the server goes on serving after it turned unready, so that the balancer can notice. It is
	// longer than callers and balancer keep unused connections: every answer in this time closes its connection, and
	// those still open afterwards have been unused for as long.
	DrainDelay time.Duration
}

// The defaults of ServerOptions.
const (
	DefaultMaxConns          = 8_192
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultReadHeaderTimeout = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
)

// shutdownPollInterval is the time between two looks at the open connections during a stop.
const shutdownPollInterval = 10 * time.Millisecond

// Server serves the HTTP interface and stops without cutting off a request.
type Server struct {
	http       *http.Server
	drainDelay time.Duration
	maxConns   int
	draining   atomic.Bool
	conns      activeConns
	// stopAccepting closes the listener once Serve has it.
	stopAccepting atomic.Pointer[func() error]
}

// NewServer returns a server of the interface over commands and queries.
func NewServer(commands Commands, queries Queries, opts Options, serverOpts ServerOptions) *Server {
	setDefault(&serverOpts.MaxConns, DefaultMaxConns)
	setDefault(&serverOpts.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&serverOpts.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDefault(&serverOpts.IdleTimeout, DefaultIdleTimeout)
	s := &Server{drainDelay: serverOpts.DrainDelay, maxConns: serverOpts.MaxConns}
	handler := NewHandler(commands, drainingQueries{Queries: queries, draining: &s.draining}, opts)
	s.http = &http.Server{
		Handler:           s.closeWhileDraining(handler),
		MaxHeaderBytes:    serverOpts.MaxHeaderBytes,
		ReadHeaderTimeout: serverOpts.ReadHeaderTimeout,
		IdleTimeout:       serverOpts.IdleTimeout,
		ConnState:         s.conns.onStateChange,
	}
	return s
}

// Serve serves the connections of listener until Shutdown. It returns nil after a Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	bounded := newLimitListener(listener, s.maxConns)
	stopAccepting := bounded.Close
	s.stopAccepting.Store(&stopAccepting)
	err := s.http.Serve(bounded)
	if s.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown turns the server unready, goes on serving for the drain delay, closes the listener and waits until every
// request in flight is answered. It returns ctx's error if ctx ends first; the requests then go on.
//
// The shutdown of net/http comes last, when only unused connections are left: it drops a request that it has not read
// to the end of its headers.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	sleep(ctx, s.drainDelay)
	if stopAccepting := s.stopAccepting.Load(); stopAccepting != nil {
		_ = (*stopAccepting)() // http.Server.Shutdown closes it again and returns the error
	}
	for s.conns.count() > 0 {
		if !sleep(ctx, shutdownPollInterval) {
			break
		}
	}
	return s.http.Shutdown(ctx)
}

// Close ends every connection at once. Callers in flight see their answer cut off.
func (s *Server) Close() error {
	return s.http.Close()
}

// closeWhileDraining asks callers to drop their connections while the server drains, so that none is idle when the
// listener closes.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainingQueries is not ready while the server drains.
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
