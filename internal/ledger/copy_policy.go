package ledger

import (
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// DaemonInfo describes the daemon that a replica belongs to.
type DaemonInfo struct {
	// Incarnation identifies the daemon's process, as in the ownership row.
	Incarnation string
	// Cores is the processor time of its VM, in cores.
	Cores float64
	// Weak means that the VM should own the cell only if no stronger one can.
	Weak bool
}

// Conditions under which a daemon keeps no copy of the ledger.
const (
	// minOwnerCoresRatio is how many times this VM's cores the owner's VM must have.
	minOwnerCoresRatio = 1.5
	// minStandbys is how many other daemons on VMs about as strong as the owner's must be up: one of them may fail together
	// with the owner.
	minStandbys = 2
	// ownerTimeout is how long the ownership row may stay unchanged before other daemons take over.
	ownerTimeout = 1200 * time.Millisecond
	// copyGracePeriod is how long a daemon goes without a copy after it last saw that other daemons have one. It is longer
	// than a takeover by one of those.
	copyGracePeriod = 3 * time.Second
	// requestedCopyTTL is how long a daemon keeps a copy that another daemon requested it to have.
	requestedCopyTTL = 10 * time.Second
	// copyCheckInterval is how often a daemon with a copy checks whether it still needs one.
	copyCheckInterval = 200 * time.Millisecond
)

// copyPolicy decides whether a daemon keeps a copy of the ledger. It is safe for concurrent use.
//
// It guards against the restart of a cell that has a few strong VMs and many weak ones on slow links. If every daemon read
// the whole ledger, the weak VMs' links would be busy for a minute, in which those daemons would get no configuration, answer
// no caller and request no permits. If every daemon kept following the ledger, the store would send most of its bytes to VMs
// that never own the cell. A weak daemon therefore asks the owner to answer a caller's query, and gets a copy only
// when no strong daemon seems to be left.
type copyPolicy struct {
	self DaemonInfo

	mu sync.Mutex
	// unneededUntil is the time until which the daemon needs no copy unless one is requested; requestedUntil is the time
	// until which it must have one.
	unneededUntil, requestedUntil monotime.Instant
}

func newCopyPolicy(self DaemonInfo, now monotime.Instant) *copyPolicy {
	p := &copyPolicy{self: self}
	if self.Weak {
		p.unneededUntil = now.Add(copyGracePeriod)
	}
	return p
}

// observeOwner updates the policy from the current view of the owner.
func (p *copyPolicy) observeOwner(now monotime.Instant, owner OwnerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	othersHaveCopies := owner.Cores >= minOwnerCoresRatio*p.self.Cores && owner.Standbys >= minStandbys
	alive := owner.Version > 0 && !owner.Released && owner.UnchangedFor < ownerTimeout
	if othersHaveCopies && alive && owner.Incarnation != p.self.Incarnation {
		p.unneededUntil = now.Add(copyGracePeriod)
	}
}

// request makes the daemon get a copy, so that it can take over.
func (p *copyPolicy) request(now monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestedUntil = now.Add(requestedCopyTTL)
}

// needed reports whether the daemon needs a copy now.
func (p *copyPolicy) needed(now monotime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now >= p.unneededUntil || now < p.requestedUntil
}
