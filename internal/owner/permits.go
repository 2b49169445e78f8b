package owner

import (
	"cmp"
	"slices"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// longQuestion is the time of the policy service above which a question keeps others waiting noticeably.
const longQuestion = 80 * time.Millisecond

// helperSilence is the time without a hello after which a daemon is asked nothing.
const helperSilence = 1600 * time.Millisecond

// helper is a daemon that can ask the policy service; the service serves one call at a time of each.
type helper struct {
	// addr is where the daemon answers; empty for the owner itself.
	addr  string
	heard monotime.Instant
	// storeAt is when the store last answered the daemon.
	storeAt monotime.Instant
	// cores is the processor time that the daemon's VM has.
	cores float64
	// started is when the daemon started.
	started monotime.Instant
	busy    bool
	long    bool
	// avoidUntil keeps questions away after one that failed.
	avoidUntil monotime.Instant
}

// permitQueue assigns questions for the policy service to daemons: the most urgent first, and long ones only to so many
// daemons at once that short ones always find one soon.
type permitQueue struct {
	waiting []dispatch.PermitRequest
	helpers map[string]*helper
}

func newPermitQueue() *permitQueue {
	return &permitQueue{helpers: map[string]*helper{"": {}}}
}

func (q *permitQueue) hello(hello *wire.Hello, now monotime.Instant) {
	h := q.helpers[hello.Addr]
	if h == nil {
		h = &helper{addr: hello.Addr}
		q.helpers[hello.Addr] = h
	}
	h.heard = now
	h.storeAt = now.Add(-time.Duration(hello.StoreAgeMs) * time.Millisecond)
	h.cores = float64(hello.MilliCores) / 1000
	h.started = now.Add(-time.Duration(hello.UptimeMs) * time.Millisecond)
}

// heardLately returns the addresses of the other daemons that were heard lately.
func (q *permitQueue) heardLately(now monotime.Instant) []string {
	var addrs []string
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.heard) < helperSilence {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// standbys counts the other daemons that were heard lately and whose VMs are about as strong as one with the given cores.
func (q *permitQueue) standbys(now monotime.Instant, cores float64) int {
	n := 0
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.heard) < helperSilence && h.cores*strongerFactor >= cores {
			n++
		}
	}
	return n
}

// successor returns the strongest daemon that was heard lately and that the store has answered since the given time; nil if
// there is none.
func (q *permitQueue) successor(now, since monotime.Instant) *helper {
	var best *helper
	for addr, h := range q.helpers {
		if addr == "" || h.storeAt < since || now.Sub(h.heard) > resignFresh {
			continue
		}
		if best == nil || h.cores > best.cores || (h.cores == best.cores && addr < best.addr) {
			best = h
		}
	}
	return best
}

// heir returns the daemon to which an owner on a VM with the given cores hands over as it stops: of those that are about as
// strong and that the store has answered lately the one that started last; nil if there is none. VMs that are restarted in
// turn are left alone once they are back, while the next owner might be stopped a second later.
func (q *permitQueue) heir(now monotime.Instant, cores float64) *helper {
	var best *helper
	for addr, h := range q.helpers {
		if addr == "" || h.storeAt < now.Add(-resignFresh) || now.Sub(h.heard) > resignFresh || h.cores*strongerFactor < cores {
			continue
		}
		if best == nil || h.started > best.started || (h.started == best.started && addr < best.addr) {
			best = h
		}
	}
	return best
}

func (q *permitQueue) add(ask dispatch.PermitRequest) { q.waiting = append(q.waiting, ask) }

// next takes the question to ask now and the daemon to ask it from; ok is false if there is none.
func (q *permitQueue) next(now monotime.Instant) (ask dispatch.PermitRequest, h *helper, ok bool) {
	if len(q.waiting) == 0 {
		return dispatch.PermitRequest{}, nil, false
	}
	idle, live, long := q.survey(now)
	if idle == nil {
		return dispatch.PermitRequest{}, nil, false
	}
	slices.SortStableFunc(q.waiting, func(a, b dispatch.PermitRequest) int {
		return cmp.Or(a.Demotion-b.Demotion, a.Priority-b.Priority, cmp.Compare(a.Due, b.Due))
	})
	longAllowed := long < maxLong(live)
	for i, ask := range q.waiting {
		isLong := ask.Latency > longQuestion
		if isLong && !longAllowed {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		idle.busy, idle.long = true, isLong
		return ask, idle, true
	}
	return dispatch.PermitRequest{}, nil, false
}

// survey returns an idle daemon, and counts the live ones and the long questions under way. The owner itself comes last,
// since it has other work.
func (q *permitQueue) survey(now monotime.Instant) (idle *helper, live, long int) {
	for addr, h := range q.helpers {
		if addr != "" && now.Sub(h.heard) > helperSilence {
			if !h.busy {
				delete(q.helpers, addr)
			}
			continue
		}
		live++
		if h.busy && h.long {
			long++
		}
		if !h.busy && now >= h.avoidUntil && (idle == nil || idle.addr == "" || (addr != "" && addr < idle.addr)) {
			idle = h
		}
	}
	return idle, live, long
}

// maxLong is how many of the daemons may be busy with long questions.
func maxLong(live int) int { return max(1, live-(live+3)/4) }

// helperBackoff keeps questions from a daemon whose last one got no answer.
const helperBackoff = 500 * time.Millisecond

// done returns a daemon after a question.
func (q *permitQueue) done(h *helper, now monotime.Instant, ok bool) {
	h.busy, h.long = false, false
	if !ok {
		h.avoidUntil = now.Add(helperBackoff)
	}
}
