package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/wire"
)

// Server answers calls of other daemons.
type Server struct {
	listener net.Listener
	handler  Handler
	traffic  trafficByKind
	base     context.Context
	cancel   context.CancelFunc
	// requestSlots limits the requests of kind TrafficRequest that are handled at once; control traffic is not limited.
	requestSlots chan struct{}
	room         *room
	// firstFrameTimeout and requestReadTimeout are the constants of these names; tests shorten them.
	firstFrameTimeout, requestReadTimeout time.Duration
	// refused counts requests for which there was no room; strangers counts connections without a whole request.
	refused, strangers *metrics.Counter

	// reading limits the streams whose request is being read.
	reading chan struct{}

	mu       sync.Mutex
	stopping bool
	// handling counts the requests being handled.
	handling int
	// idle is closed once the server stops and handles no request.
	idle     chan struct{}
	sessions map[*yamux.Session]struct{}
}

// Listen starts a server on addr, an IP address and a port. Its counters are registered in set.
func Listen(addr string, h Handler, set *metrics.Set) (*Server, error) {
	s, err := Bind(addr, set)
	if err != nil {
		return nil, err
	}
	s.Serve(h)
	return s, nil
}

// Bind returns a server that listens on addr, an IP address and a port, but accepts no connection before Serve. A handler
// that depends on the server's address can be created in between.
func Bind(addr string, set *metrics.Set) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	base, cancel := context.WithCancel(context.Background())
	s := &Server{
		listener:     listener,
		traffic:      newTrafficByKind(set, "server"),
		base:         base,
		cancel:       cancel,
		requestSlots: make(chan struct{}, maxHandledRequests),
		reading:      make(chan struct{}, maxStreamsReading),
		room:         newRoom(nil),

		firstFrameTimeout: firstFrameTimeout, requestReadTimeout: requestReadTimeout,

		refused:   set.GetOrCreateCounter("laburnumpoint_peer_refused_total"),
		strangers: set.GetOrCreateCounter("laburnumpoint_peer_strangers_total"),
		idle:      make(chan struct{}),
		sessions:  make(map[*yamux.Session]struct{}),
	}
	return s, nil
}

// SetBudget makes requests draw on the budget of the process. It is called before Serve.
func (s *Server) SetBudget(budget Budget) {
	s.room = newRoom(budget)
}

// SetLimits makes connections and requests draw on the limits of the process. It is called before Serve.
func (s *Server) SetLimits(limits *inbound.Limits) {
	s.listener = limits.Listener(s.listener, inbound.Peers)
	s.reading = make(chan struct{}, min(maxStreamsReading, max(minStreamsReading, limits.Options().MemoryBytes/streamMemory)))
	s.SetBudget(limits)
}

// Serve starts answering calls with h and returns immediately. It must be called only once.
func (s *Server) Serve(h Handler) {
	s.handler = h
	go s.acceptConns()
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Shutdown refuses new requests, waits until those in flight are answered and their replies read, and closes the sessions.
// If ctx ends first, it cancels the handlers that still run and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	defer s.closeSessions()
	select {
	case <-s.idle:
		s.awaitRepliesRead(ctx)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all sessions immediately. Calls in flight fail with ErrInDoubt at their senders.
func (s *Server) Close() {
	s.stopAccepting()
	s.closeSessions()
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	s.listener.Close()
	for mux := range s.sessions {
		_ = mux.GoAway() // fails only on a closed session
	}
	if s.handling == 0 {
		close(s.idle)
	}
}

// awaitRepliesRead waits, at most for replyReadTimeout, until the peers have closed all streams. A peer closes a stream
// once it has read the reply.
func (s *Server) awaitRepliesRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, replyReadTimeout)
	defer cancel()
	tick := time.NewTicker(streamPollInterval)
	defer tick.Stop()
	for s.openStreams() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const streamPollInterval = 5 * time.Millisecond

func (s *Server) openStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for mux := range s.sessions {
		n += mux.NumStreams()
	}
	return n
}

func (s *Server) closeSessions() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for mux := range s.sessions {
		go mux.Close()
	}
}

func (s *Server) acceptConns() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(streamPollInterval)
			continue
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	opened, err := awaitFirstFrame(conn, s.firstFrameTimeout)
	if err != nil {
		s.strangers.Inc()
		conn.Close()
		return
	}
	inflow := newInflowConn(opened)
	mux, err := yamux.Server(&frameConn{Conn: inflow}, serverMuxConfig())
	if err != nil {
		conn.Close()
		return
	}
	defer mux.Close()
	if !s.addSession(mux) {
		return
	}
	defer s.removeSession(mux)
	stranger := time.AfterFunc(s.requestReadTimeout, func() {
		s.strangers.Inc()
		mux.Close()
	})
	defer stranger.Stop()
	ctx, cancel := context.WithCancel(s.base)
	defer cancel()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		select {
		case s.reading <- struct{}{}:
		case <-mux.CloseChan():
			return
		}
		go s.serveStream(ctx, stream, inflow, func(whole bool) {
			<-s.reading
			if whole {
				stranger.Stop()
			}
		})
	}
}

func (s *Server) addSession(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.sessions[mux] = struct{}{}
	return true
}

func (s *Server) removeSession(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
}

// serveStream reads one request and answers it. It calls arrived once the request was read or given up.
func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream, inflow *inflowConn, arrived func(whole bool)) {
	defer stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(s.requestReadTimeout)) // fails only on a closed stream
	in := &countingReader{r: inflowReader{stream, inflow}}
	reader := newReader(in)
	held := share{room: s.room}
	defer held.release()
	req, err := s.readRequest(reader, &held)
	arrived(err == nil)
	if errors.Is(err, errNoRoom) {
		s.refused.Inc()
		s.reply(stream, s.traffic.of(TrafficRequest), refusal(cell.ReasonQueueFull))
		return
	}
	if err != nil {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	counts := s.traffic.of(TrafficOf(req))
	counts.calls.Inc()
	counts.received.Add(in.n)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelAtEOF(reader, cancel)
	s.answer(ctx, stream, counts, req)
}

// readRequest reads a request whose bytes are charged to held as they arrive.
// Errors: errNoRoom, after the whole request has been read past, since its sender reads a reply only then.
func (s *Server) readRequest(reader *bufio.Reader, held *share) (*wire.Request, error) {
	size, err := readSize(reader)
	if err != nil {
		return nil, err
	}
	if size > 0 {
		tag, err := reader.Peek(1)
		if err != nil {
			return nil, err
		}
		held.control = coordinates(tag[0])
	}
	req := new(wire.Request)
	unread := size
	err = held.grow(streamBytes)
	if err == nil {
		unread, err = decodeBody(reader, size, req, func(n int) error { return held.grow(int64(n) * heldPerByte) })
	}
	if errors.Is(err, errNoRoom) {
		held.release()
		if _, err := io.CopyN(io.Discard, reader, int64(unread)); err != nil {
			return nil, err
		}
	}
	return req, err
}

// cancelAtEOF calls cancel when the peer closes the stream or the session is lost.
func cancelAtEOF(reader *bufio.Reader, cancel context.CancelFunc) {
	defer cancel()
	_, _ = reader.ReadByte() // nothing follows a request, so this blocks until the stream ends
}

func (s *Server) answer(ctx context.Context, stream *yamux.Stream, count *trafficCounters, req *wire.Request) {
	if !s.beginRequest() {
		s.reply(stream, count, refusal(cell.ReasonDraining))
		return
	}
	defer s.endRequest()
	if TrafficOf(req) == TrafficRequest {
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
		default:
			s.reply(stream, count, refusal(cell.ReasonQueueFull))
			return
		}
	}
	s.reply(stream, count, s.handler.Handle(ctx, req))
}

func (s *Server) reply(stream *yamux.Stream, count *trafficCounters, reply *wire.Reply) {
	data, err := encode(reply)
	if err != nil {
		count.failures.Inc()
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(replyWriteTimeout)) // fails only on a closed stream
	if _, err := stream.Write(data); err != nil {
		count.failures.Inc()
		return
	}
	count.sent.Add(len(data))
}

// beginRequest counts a request as being handled. It reports false once the server stops.
func (s *Server) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.handling++
	return true
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handling--
	if s.stopping && s.handling == 0 {
		close(s.idle)
	}
}

func refusal(code cell.ReasonCode) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refused{Refused: &wire.Reason{Code: string(code)}}}
}
