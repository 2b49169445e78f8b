package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"

	"laburnumpoint/internal/httpplatform"
)

// connLimit marks the connections that a server accepts beyond a limit, so that refuseOverLimit refuses their requests.
type connLimit struct {
	limit int

	mu    sync.Mutex
	conns map[net.Conn]bool // whether the connection is within the limit
}

// overLimitKey marks the context of a connection beyond the limit.
type overLimitKey struct{}

func newConnLimit(limit int) *connLimit {
	return &connLimit{limit: limit, conns: make(map[net.Conn]bool)}
}

// connContext marks the contexts of connections beyond the limit, for http.Server.ConnContext.
func (l *connLimit) connContext(ctx context.Context, conn net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	withinLimit := 0
	for _, ok := range l.conns {
		if ok {
			withinLimit++
		}
	}
	l.conns[conn] = withinLimit < l.limit
	if withinLimit < l.limit {
		return ctx
	}
	return context.WithValue(ctx, overLimitKey{}, true)
}

// connState removes closed connections, for http.Server.ConnState.
func (l *connLimit) connState(conn net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// refuseOverLimit answers requests on connections beyond the limit with status 503 and closes these connections.
func refuseOverLimit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(overLimitKey{}) == nil {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusServiceUnavailable, httpplatform.CodeBusy, "the runner already serves as many connections as it can")
	})
}
