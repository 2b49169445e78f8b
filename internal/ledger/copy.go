package ledger

import (
	"sync"
	"time"

	"laburnumpoint/internal/monotime"
)

// DaemonInfo is the daemon that a replica belongs to.
type DaemonInfo struct {
	// Incarnation is the daemon's own, as in the ownership row.
	Incarnation string
	// Cores is the processor time that its VM has, in cores.
	Cores float64
	// Weak means that the VM is too weak to own a cell if another can.
	Weak bool
}

// Bounds of doing without a copy of the ledger.
const (
	// minOwnerCoresRatio is how much stronger the owner's VM must be for a daemon to leave the copies to others.
	minOwnerCoresRatio = 1.5
	// minStandbys is how many daemons must stand by besides the owner, on VMs about as strong as its own: one may be lost
	// with it.
	minStandbys = 2
	// ownerTimeout is the silence of an owner after which others take over.
	ownerTimeout = 1200 * time.Millisecond
	// copyGracePeriod is how long a daemon does without a copy after it last saw that others have one: longer than a takeover
	// among them takes.
	copyGracePeriod = 3 * time.Second
	// requestedCopyTTL is how long a daemon keeps a copy that it was asked to have.
	requestedCopyTTL = 10 * time.Second
	// copyCheckInterval is how often it is looked at whether a copy is needed.
	copyCheckInterval = 200 * time.Millisecond
)

// copyPolicy decides whether a daemon has a copy of the ledger. It is safe for concurrent use.
//
// Pattern: a few strong VMs and many weak ones on slow links, all of which are started again at once. If each of them reads
// the whole ledger, the weak links are busy with that for a minute, during which they get no configuration, answer no caller
// and ask no permits; and if each of them follows it, the store sends most of its bytes to VMs that will never own the cell.
// A weak daemon asks the owner for what callers want to know, and gets a copy only once the strong ones seem to be gone.
type copyPolicy struct {
	self DaemonInfo

	mu sync.Mutex
	// unneededUntil is until when the daemon does unneededUntil a copy, requestedUntil until when it must have one.
	unneededUntil, requestedUntil monotime.Instant
}

func newCopyPolicy(self DaemonInfo, now monotime.Instant) *copyPolicy {
	p := &copyPolicy{self: self}
	if self.Weak {
		p.unneededUntil = now.Add(copyGracePeriod)
	}
	return p
}

// observeOwner takes in what is known of the owner.
func (p *copyPolicy) observeOwner(now monotime.Instant, owner OwnerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	covered := owner.Cores >= minOwnerCoresRatio*p.self.Cores && owner.Standbys >= minStandbys
	lives := owner.Version > 0 && !owner.Released && owner.UnchangedFor < ownerTimeout
	if covered && lives && owner.Incarnation != p.self.Incarnation {
		p.unneededUntil = now.Add(copyGracePeriod)
	}
}

// request has the daemon get a copy, to take over.
func (p *copyPolicy) request(now monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestedUntil = now.Add(requestedCopyTTL)
}

// needed reports whether the daemon has to have a copy now.
func (p *copyPolicy) needed(now monotime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now >= p.unneededUntil || now < p.requestedUntil
}
