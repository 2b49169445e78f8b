package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
)

// ServePlatform serves the platform on the listener until ctx ends, then waits up to grace for calls in flight.
func ServePlatform(ctx context.Context, listener net.Listener, p *Platform, grace time.Duration) error {
	go p.hosts.removeEndedHosts(ctx)
	return serve(ctx, listener, p.Handler(), grace)
}

// serve serves handler until ctx ends, then waits up to grace for calls in flight and closes the rest.
func serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("httpserver: the server failed: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Join(errors.New("httpserver: calls were still in flight at the end of the grace period"), server.Close())
	}
	return nil
}

// runnerListener serves one worker's runner at the worker's address. It can be closed and opened again.
type runnerListener struct {
	worker         cell.Worker
	handler        http.Handler
	maxConnections int

	mu     sync.Mutex
	server *http.Server // nil while closed
}

// open starts to serve at the worker's address unless it does already.
func (l *runnerListener) open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.worker.Addr)
	if err != nil {
		return fmt.Errorf("httpserver: listen for worker %s: %w", l.worker.ID, err)
	}
	if addr := listener.Addr().String(); l.worker.Addr != addr {
		l.worker.Addr = addr // the first open chose the port
	}
	l.serve(listener)
	return nil
}

func (l *runnerListener) serve(listener net.Listener) {
	limit := newConnLimit(l.maxConnections)
	l.server = &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       limit.connContext,
		ConnState:         limit.connState,
	}
	go func(server *http.Server) { _ = server.Serve(listener) }(l.server) // returns after close or shutdown
}

// close refuses new connections and closes those in use.
func (l *runnerListener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		_ = l.server.Close()
		l.server = nil
	}
}

// shutdown refuses new connections and waits for calls in flight until ctx ends, then closes the rest.
func (l *runnerListener) shutdown(ctx context.Context) error {
	l.mu.Lock()
	server := l.server
	l.server = nil
	l.mu.Unlock()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("httpserver: worker %s: calls were still in flight at the end of the grace period", l.worker.ID), server.Close())
	}
	return nil
}
