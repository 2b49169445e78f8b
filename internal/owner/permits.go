package owner

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// slowRequestLatency is the latency of the policy service above which a permit request counts as slow: it delays other requests
// noticeably.
const slowRequestLatency = 80 * time.Millisecond

// helperTimeout is the time without a hello after which a daemon gets no more permit requests.
const helperTimeout = 1600 * time.Millisecond

// helper is a daemon that can call the policy service, which serves one call at a time for each daemon.
type helper struct {
	// addr is where the daemon accepts calls; empty for the owner itself.
	addr        string
	lastHelloAt monotime.Instant
	// storeAnsweredAt is when the store last answered the daemon.
	storeAnsweredAt monotime.Instant
	// cores is the processor time of the daemon's VM, in cores.
	cores float64
	// startedAt is when the daemon's process started.
	startedAt monotime.Instant
	// busy means that the daemon has a permit request under way; slow that this is a slow one.
	busy bool
	slow bool
	// backoffUntil is the time until which the daemon gets no requests because the last one failed.
	backoffUntil monotime.Instant
}

// permitQueue assigns permit requests to daemons: the most urgent first. Slow requests get only a part of the daemons at once, so
// that fast ones soon find an idle daemon.
type permitQueue struct {
	waiting []dispatch.PermitRequest
	helpers map[string]*helper
}

func newPermitQueue() *permitQueue {
	return &permitQueue{helpers: map[string]*helper{"": {}}}
}

// handleHello adds or updates the daemon that sent the hello.
func (q *permitQueue) handleHello(hello *wire.Hello, now monotime.Instant) {
	h := q.helpers[hello.Addr]
	if h == nil {
		h = &helper{addr: hello.Addr}
		q.helpers[hello.Addr] = h
	}
	h.lastHelloAt = now
	h.storeAnsweredAt = now.Add(-time.Duration(hello.StoreAgeMs) * time.Millisecond)
	h.cores = float64(hello.MilliCores) / 1000
	h.startedAt = now.Add(-time.Duration(hello.UptimeMs) * time.Millisecond)
}

// maxReachableStoreAge is the time since the store's last answer to a daemon up to which the store counts as reachable for
// it. It is longer than the time between two answers to an idle daemon.
const maxReachableStoreAge = 1200 * time.Millisecond

// liveAddrs returns the addresses of the other daemons that have sent a hello within helperTimeout, with those that the store
// has lately not answered last.
func (q *permitQueue) liveAddrs(now monotime.Instant) []string {
	var addrs []string
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.lastHelloAt) < helperTimeout {
			addrs = append(addrs, addr)
		}
	}
	unreachable := func(addr string) int {
		if now.Sub(q.helpers[addr].storeAnsweredAt) > maxReachableStoreAge {
			return 1
		}
		return 0
	}
	slices.SortFunc(addrs, func(a, b string) int { return cmp.Or(unreachable(a)-unreachable(b), cmp.Compare(a, b)) })
	return addrs
}

// countStandbys returns the number of other daemons that have sent a hello within helperTimeout and whose VMs are about as strong
// as one with the given cores.
func (q *permitQueue) countStandbys(now monotime.Instant, cores float64) int {
	n := 0
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.lastHelloAt) < helperTimeout && h.cores*minStrongerRatio >= cores {
			n++
		}
	}
	return n
}

// strongestSuccessor returns the daemon on the strongest VM among those that have sent a hello lately and that the store has
// answered since the given time; nil if there is none.
func (q *permitQueue) strongestSuccessor(now, since monotime.Instant) *helper {
	var best *helper
	for addr, h := range q.helpers {
		if addr == "" || h.storeAnsweredAt < since || now.Sub(h.lastHelloAt) > maxSuccessorHelloAge {
			continue
		}
		if best == nil || h.cores > best.cores || (h.cores == best.cores && addr < best.addr) {
			best = h
		}
	}
	return best
}

// lastStartedSuccessor returns the daemon that started last among those that have sent a hello lately, that the store has answered
// lately, and whose VMs are about as strong as one with the given cores; nil if there is none. It chooses the successor at a
// planned stop: in a rolling restart a VM that is back isn't stopped again, but another one may be stopped a second later.
func (q *permitQueue) lastStartedSuccessor(now monotime.Instant, cores float64) *helper {
	var best *helper
	for addr, h := range q.helpers {
		if addr == "" || h.storeAnsweredAt < now.Add(-maxSuccessorHelloAge) || now.Sub(h.lastHelloAt) > maxSuccessorHelloAge || h.cores*minStrongerRatio < cores {
			continue
		}
		if best == nil || h.startedAt > best.startedAt || (h.startedAt == best.startedAt && addr < best.addr) {
			best = h
		}
	}
	return best
}

func (q *permitQueue) add(request dispatch.PermitRequest) { q.waiting = append(q.waiting, request) }

// next removes the request to send now from the queue and returns it with the daemon to send it from; ok is false if there is
// none.
func (q *permitQueue) next(now monotime.Instant) (request dispatch.PermitRequest, h *helper, ok bool) {
	if len(q.waiting) == 0 {
		return dispatch.PermitRequest{}, nil, false
	}
	idle, live, slow := q.findIdle(now)
	if idle == nil {
		return dispatch.PermitRequest{}, nil, false
	}
	slices.SortStableFunc(q.waiting, func(a, b dispatch.PermitRequest) int {
		return cmp.Or(a.Demotion-b.Demotion, a.Priority-b.Priority, a.Band-b.Band, cmp.Compare(a.Due, b.Due))
	})
	slowAllowed := slow < maxSlowRequests(live)
	for i, request := range q.waiting {
		isSlow := request.Latency > slowRequestLatency
		if isSlow && !slowAllowed {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		idle.busy, idle.slow = true, isSlow
		return request, idle, true
	}
	return dispatch.PermitRequest{}, nil, false
}

// findIdle returns an idle daemon, or nil, with the numbers of live daemons and of slow requests under way. It returns the owner
// itself only if no other daemon is idle, since the owner has other work. Daemons that have timed out are removed.
func (q *permitQueue) findIdle(now monotime.Instant) (idle *helper, live, slow int) {
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.lastHelloAt) > helperTimeout {
			if !h.busy {
				delete(q.helpers, addr)
			}
			continue
		}
		live++
		if h.busy && h.slow {
			slow++
		}
		if !h.busy && now >= h.backoffUntil && (idle == nil || idle.addr == "" || (addr != "" && addr < idle.addr)) {
			idle = h
		}
	}
	return idle, live, slow
}

// maxSlowRequests returns how many of the live daemons may be busy with slow requests.
func maxSlowRequests(live int) int { return max(1, live-(live+3)/4) }

// helperBackoff is how long a daemon gets no requests after one that failed.
const helperBackoff = 500 * time.Millisecond

// release makes a daemon idle again after a request; ok reports whether the request got an answer.
func (q *permitQueue) release(h *helper, now monotime.Instant, ok bool) {
	h.busy, h.slow = false, false
	if !ok {
		h.backoffUntil = now.Add(helperBackoff)
	}
}
