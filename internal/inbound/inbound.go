// Package inbound bounds what a process holds of what others send it. Connections, heads, bodies, their decoded forms and the
// messages of other daemons draw on one Limits, so that clients that stall or send too much are refused or closed before the
// process runs out of memory or descriptors.
package inbound

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// Errors of a refused request. Nothing of it has been passed on.
var (
	// ErrNoRoom means that the process holds as much as it may. The client may try again after RetryAfter.
	ErrNoRoom = errors.New("inbound: no room for the request")
	// ErrTooLarge means that a body is larger than its limit.
	ErrTooLarge = errors.New("inbound: the body is too large")
)

const (
	// DefaultMaxHeaderBytes bounds a request's head.
	DefaultMaxHeaderBytes = 64 << 10
	// DefaultBodyTimeout is the longest time that callers may wait for an answer.
	DefaultBodyTimeout = 60 * time.Second
	// DefaultHeaderTimeout bounds the time for a head, DefaultIdleTimeout that between two requests.
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second

	// budgetShare and connectionShare are the parts of the memory, as divisors, that input and callers' connections may take.
	budgetShare     = 4
	connectionShare = 5
	// connectionBytes is what an idle connection takes: a stack, two buffers and the kernel's part.
	connectionBytes = 20 << 10
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	minConns            = 16
	// A small number of descriptors lowers the bounds of the other listeners, so that they leave some for workers and the store.
	maxReadinessConns = 64
	maxMetricsConns   = 16
	otherConnsShare   = 16
	peerConnsShare    = 4
	minOtherConns     = 4
	// maxPeerConns leaves a few sessions for each of 300 other daemons.
	maxPeerConns = 1200

	// smallShare is the part of the budget, as a divisor, that only small requests use.
	smallShare = 4
	// SmallBytes is the part of each body that counts as small.
	SmallBytes = 16 << 10
	// smallReserveBytes is the largest reservation that counts as small: the decoded form of a small body.
	smallReserveBytes = 64 << 10

	// headByteCost is what a byte of a head takes while it is read: its line grows by doubling and is copied.
	headByteCost = 3
	// headLineBytes is what a parsed line takes besides.
	headLineBytes = 256

	// evictionGrace is for how long a read is not closed for want of progress.
	evictionGrace = 500 * time.Millisecond
	// sweepInterval is the time between two looks for reads beyond their time, and between two log lines.
	sweepInterval = time.Second
	retryAfter    = time.Second
)

// RetryAfter returns how long a client should wait after ErrNoRoom.
func RetryAfter() time.Duration { return retryAfter }

// Role says what a listener is for.
type Role int

// The roles of listeners. Each has its own bound on connections.
const (
	Callers Role = iota
	Readiness
	Metrics
	Peers
	roles
)

var roleNames = [roles]string{"callers", "readiness", "metrics", "peers"}

// String returns the role's name in metrics.
func (r Role) String() string { return roleNames[r] }

// Reasons for which clients are refused or closed, in metrics and logs.
const (
	reasonNoRoom       = "no_room"
	reasonBodyTooLarge = "body_too_large"
	reasonHeadTooLarge = "head_too_large"
	reasonSlow         = "slow"
	reasonTimeout      = "timeout"
	reasonConnections  = "connections"
)

var reasons = []string{reasonNoRoom, reasonBodyTooLarge, reasonHeadTooLarge, reasonSlow, reasonTimeout, reasonConnections}

// processListener is the listener's label of reservations, which belong to none.
const processListener = "process"

// Options sets the bounds. A zero field takes its default.
type Options struct {
	// MemoryBytes is what the process may use; by default the machine's memory.
	MemoryBytes int64
	// Descriptors is how many descriptors the process may have open; by default its limit.
	Descriptors int
	// MaxHeaderBytes bounds a request's head.
	MaxHeaderBytes int
	// MaxConns bounds callers' connections; by default it follows from Descriptors and MemoryBytes.
	MaxConns int
	// BudgetBytes bounds what is held of input; by default a quarter of MemoryBytes.
	BudgetBytes int64
	// BodyTimeout bounds the time for a body.
	BodyTimeout time.Duration
}

// withDefaults returns the options with their defaults filled in.
func (o Options) withDefaults() Options {
	if o.MemoryBytes <= 0 {
		o.MemoryBytes = machineMemory()
	}
	if o.Descriptors <= 0 {
		o.Descriptors = maxDescriptors()
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if o.BudgetBytes <= 0 {
		o.BudgetBytes = o.MemoryBytes / budgetShare
	}
	if o.MaxConns <= 0 {
		byMemory := o.MemoryBytes / connectionShare / connectionBytes
		byDescriptors := int64(o.Descriptors-reservedDescriptors) / 2
		o.MaxConns = int(max(minConns, min(byMemory, byDescriptors)))
	}
	if o.BodyTimeout <= 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	return o
}

// Limits bounds the input of one process. It is safe for concurrent use.
type Limits struct {
	options        Options
	log            *log.Logger
	now            func() time.Time
	maxHeaderBytes atomic.Int64
	maxConns       [roles]int
	refused        map[string]*metrics.Counter

	mu sync.Mutex
	// small and large are the held bytes. Large ones keep to their part of the budget; small ones may take all of it.
	small, large int64
	conns        [roles]map[*conn]struct{}
	// unlogged counts refusals since the last log line, by reason.
	unlogged map[string]int
	// sweeping means that a timer runs for the next sweep.
	sweeping bool
}

// New returns the limits of a process, whose metrics it adds to set.
func New(o Options, logger *log.Logger, set *metrics.Set) *Limits {
	l := &Limits{options: o.withDefaults(), log: logger, now: time.Now, refused: make(map[string]*metrics.Counter), unlogged: make(map[string]int)}
	l.maxHeaderBytes.Store(int64(l.options.MaxHeaderBytes))
	free := max(0, l.options.Descriptors-reservedDescriptors)
	l.maxConns = [roles]int{
		Callers:   l.options.MaxConns,
		Readiness: max(minOtherConns, min(maxReadinessConns, free/otherConnsShare)),
		Metrics:   max(minOtherConns, min(maxMetricsConns, free/otherConnsShare)),
		Peers:     max(minOtherConns, min(maxPeerConns, free/peerConnsShare)),
	}
	for role := range roles {
		l.conns[role] = make(map[*conn]struct{})
		set.GetOrCreateGauge(fmt.Sprintf(`laburnumpoint_inbound_connections{listener=%q}`, role), func() float64 { return float64(l.openConns(role)) })
	}
	set.GetOrCreateGauge(`laburnumpoint_inbound_bytes`, func() float64 { return float64(l.Held()) })
	for _, reason := range reasons {
		for _, listener := range append(roleNames[:], processListener) {
			l.refused[refusalKey(listener, reason)] = set.GetOrCreateCounter(fmt.Sprintf(`laburnumpoint_inbound_refused_total{listener=%q,reason=%q}`, listener, reason))
		}
	}
	return l
}

func refusalKey(listener, reason string) string { return listener + " " + reason }

// Options returns the bounds in force.
func (l *Limits) Options() Options { return l.options }

// SetMaxHeaderBytes bounds the heads that begin from now on, to at most Options.MaxHeaderBytes; 0 means that bound.
func (l *Limits) SetMaxHeaderBytes(n int) {
	if n <= 0 {
		n = l.options.MaxHeaderBytes
	}
	l.maxHeaderBytes.Store(int64(min(n, l.options.MaxHeaderBytes)))
}

// Held returns the bytes that are held now.
func (l *Limits) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.small + l.large
}

func (l *Limits) openConns(role Role) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns[role])
}

// maxLarge is the part of the budget for all but small requests.
func (l *Limits) maxLarge() int64 { return l.options.BudgetBytes - l.options.BudgetBytes/smallShare }

// Reserve takes n bytes of the budget, for a decoded form or another daemon's message, until release is called. One that could never fit
// takes half of the budget's part instead, so that it succeeds while nothing else is held. Its error is ErrNoRoom.
func (l *Limits) Reserve(n int64) (release func(), err error) {
	var r reservation
	if n <= smallReserveBytes {
		r.small = min(n, l.options.BudgetBytes/2)
	} else {
		r.large = min(n, l.maxLarge()/2)
	}
	if err := l.charge(nil, r.small, r.large); err != nil {
		l.count(processListener, reasonNoRoom)
		return func() {}, err
	}
	r.limits = l
	return r.release, nil
}

// reservation is what Reserve has taken.
type reservation struct {
	limits       *Limits
	small, large int64
	once         sync.Once
}

func (r *reservation) release() {
	r.once.Do(func() { r.limits.refund(nil, r.small, r.large) })
}

// charge takes bytes of the budget for a connection's request, or for none. If there is no room it closes the reads with the least
// progress. Its error is ErrNoRoom, also if the connection was closed itself.
func (l *Limits) charge(c *conn, small, large int64) error {
	l.mu.Lock()
	victims, err := l.chargeLocked(c, small, large)
	l.mu.Unlock()
	l.closeAll(victims, reasonSlow)
	return err
}

func (l *Limits) chargeLocked(c *conn, small, large int64) (victims []*conn, err error) {
	if c != nil && c.gone {
		return nil, ErrNoRoom
	}
	if !l.canMakeRoom(c, small, large) {
		return nil, ErrNoRoom
	}
	for {
		noLarge := large > 0 && l.large+large > l.maxLarge()
		if !noLarge && l.small+l.large+small+large <= l.options.BudgetBytes {
			break
		}
		holds := func(v *conn) bool { return v.large > 0 || (!noLarge && v.small > 0) }
		victim := l.leastProgress(func(v *conn) bool { return holds(v) || v == c })
		if victim == nil || victim == c {
			victim = l.longestStalled(func(v *conn) bool { return holds(v) && v != c })
		}
		if victim == nil {
			return victims, ErrNoRoom
		}
		l.forget(victim)
		victims = append(victims, victim)
	}
	l.small += small
	l.large += large
	if c != nil {
		c.small += small
		c.large += large
	}
	return victims, nil
}

// canMakeRoom reports whether there is room, or would be without the reads that may be closed, so that none is closed in vain.
func (l *Limits) canMakeRoom(c *conn, small, large int64) bool {
	allSmall, allLarge := l.small+small, l.large+large
	if allLarge <= l.maxLarge() && allSmall+allLarge <= l.options.BudgetBytes {
		return true
	}
	now := l.now()
	for _, conns := range l.conns {
		for v := range conns {
			_, stalled := v.stalledSince(now)
			if v != c && (stalled || v.reading() && now.Sub(v.since) >= evictionGrace) {
				allSmall -= v.small
				allLarge -= v.large
			}
		}
	}
	return (large == 0 || allLarge <= l.maxLarge()) && allSmall+allLarge <= l.options.BudgetBytes
}

// refund gives back bytes that charge has taken. What a closed connection had is already given back.
func (l *Limits) refund(c *conn, small, large int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c != nil {
		if c.gone {
			return
		}
		c.small -= small
		c.large -= large
	}
	l.small -= small
	l.large -= large
}

// leastProgress returns the connection among those that match whose read has come least far for its time, nil if there is none beyond
// the grace.
func (l *Limits) leastProgress(match func(*conn) bool) *conn {
	var least *conn
	leastRate := 0.0
	now := l.now()
	for _, conns := range l.conns {
		for c := range conns {
			if !c.reading() || !match(c) {
				continue
			}
			took := now.Sub(c.since)
			if took < evictionGrace {
				continue
			}
			if rate := float64(c.got.Load()) / took.Seconds(); least == nil || rate < leastRate {
				least, leastRate = c, rate
			}
		}
	}
	return least
}

// longestStalled returns the connection among those that match whose client has not read its answer for the longest time, nil if there is
// none beyond the grace.
func (l *Limits) longestStalled(match func(*conn) bool) *conn {
	var longest *conn
	var longestSince int64
	now := l.now()
	for _, conns := range l.conns {
		for c := range conns {
			since, stalled := c.stalledSince(now)
			if stalled && match(c) && (longest == nil || since < longestSince) {
				longest, longestSince = c, since
			}
		}
	}
	return longest
}

// forget gives back all that a connection has taken, its place included.
func (l *Limits) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	l.small -= c.small
	l.large -= c.large
	c.small, c.large = 0, 0
	delete(l.conns[c.role], c)
}

// closeAll closes connections that have been forgotten. It is called without the lock, since closing is a system call.
func (l *Limits) closeAll(victims []*conn, reason string) {
	for _, victim := range victims {
		l.count(victim.role.String(), reason)
		_ = victim.Conn.Close() // the client loses its connection either way
	}
}

// admit adds a connection. At the role's bound it closes another one for it: the oldest on which nothing has arrived, or else the read with
// the least progress, or else the one that is idle longest, or else the one whose client has not read its answer for the longest time. It
// reports false if there is none.
func (l *Limits) admit(c *conn) bool {
	l.mu.Lock()
	var victims []*conn
	if len(l.conns[c.role]) >= l.maxConns[c.role] {
		victim := l.oldestFresh(c.role)
		if victim == nil {
			victim = l.leastProgress(func(v *conn) bool { return v.role == c.role })
		}
		if victim == nil {
			victim = l.longestIdle(c.role)
		}
		if victim == nil {
			victim = l.longestStalled(func(v *conn) bool { return v.role == c.role })
		}
		if victim == nil {
			l.mu.Unlock()
			l.count(c.role.String(), reasonConnections)
			return false
		}
		l.forget(victim)
		victims = append(victims, victim)
	}
	l.conns[c.role][c] = struct{}{}
	l.sweepLater()
	l.mu.Unlock()
	l.closeAll(victims, reasonConnections)
	return true
}

// oldestFresh returns the oldest connection on which nothing has arrived yet. It goes before those that have been used, such as that of
// the balancer's checks: a crowd of new connections can't push these out.
func (l *Limits) oldestFresh(role Role) *conn {
	var oldest *conn
	for c := range l.conns[role] {
		if c.fresh && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// longestIdle returns the connection that is idle longest, nil if none is idle.
func (l *Limits) longestIdle(role Role) *conn {
	var longest *conn
	for c := range l.conns[role] {
		if c.phase == phaseIdle && (longest == nil || c.idleSince().Before(longest.idleSince())) {
			longest = c
		}
	}
	return longest
}

// count counts a refusal; the next sweep logs it.
func (l *Limits) count(listener, reason string) {
	l.refused[refusalKey(listener, reason)].Inc()
	l.mu.Lock()
	l.unlogged[reason]++
	l.sweepLater()
	l.mu.Unlock()
}

// sweepLater arranges a sweep unless one is due already. The caller holds the lock.
func (l *Limits) sweepLater() {
	if !l.sweeping {
		l.sweeping = true
		time.AfterFunc(sweepInterval, l.sweep)
	}
}

// sweep closes bodies that have taken too long and logs the refusals since the last sweep in one line.
func (l *Limits) sweep() {
	l.mu.Lock()
	l.sweeping = false
	var late []*conn
	open := 0
	now := l.now()
	for _, conns := range l.conns {
		open += len(conns)
		for c := range conns {
			if c.phase == phaseBody && now.Sub(c.since) > l.options.BodyTimeout {
				late = append(late, c)
			}
		}
	}
	for _, c := range late {
		l.forget(c)
	}
	var counts map[string]int // l.unlogged must not be read without the lock
	if len(l.unlogged) > 0 {
		counts, l.unlogged = l.unlogged, make(map[string]int)
	}
	if open > 0 {
		l.sweepLater()
	}
	held := l.small + l.large
	l.mu.Unlock()
	l.closeAll(late, reasonTimeout)
	if len(counts) > 0 {
		line := l.log.Warn().Int("connections", open).Int64("held_bytes", held)
		for _, reason := range reasons {
			if counts[reason] > 0 {
				line = line.Int(reason, counts[reason])
			}
		}
		line.Msg("clients refused or closed")
	}
}

// Listener returns a listener whose connections keep to the limits.
func (l *Limits) Listener(inner net.Listener, role Role) net.Listener {
	return &listener{Listener: inner, limits: l, role: role}
}

type listener struct {
	net.Listener
	limits *Limits
	role   Role
}

// Accept implements net.Listener. A connection beyond the bound is closed at once, so that the queue of the kernel doesn't fill up with
// clients that wait in vain.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l.limits, inner, l.role)
		if l.limits.admit(c) {
			return c, nil
		}
		_ = inner.Close() // nothing has been read from it
	}
}
