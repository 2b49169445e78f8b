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
	// muchStronger is how much stronger the owner's VM must be for a daemon to leave the copies to others.
	muchStronger = 1.5
	// minStandbys is how many daemons must stand by besides the owner, on VMs about as strong as its own: one may be lost
	// with it.
	minStandbys = 2
	// ownerLapse is the silence of an owner after which others take over.
	ownerLapse = 1200 * time.Millisecond
	// copyPatience is how long a daemon does without a copy after it last saw that others have one: longer than a takeover
	// among them takes.
	copyPatience = 3 * time.Second
	// copyAsked is how long a daemon keeps a copy that it was asked to have.
	copyAsked = 10 * time.Second
	// copyCheck is how often it is looked at whether a copy is needed.
	copyCheck = 200 * time.Millisecond
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
	// without is until when the daemon does without a copy, asked until when it must have one.
	without, asked monotime.Instant
}

func newCopyPolicy(self DaemonInfo, now monotime.Instant) *copyPolicy {
	p := &copyPolicy{self: self}
	if self.Weak {
		p.without = now.Add(copyPatience)
	}
	return p
}

// note takes in what is known of the owner.
func (p *copyPolicy) note(now monotime.Instant, owner OwnerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	covered := owner.Cores >= muchStronger*p.self.Cores && owner.Standbys >= minStandbys
	lives := owner.Version > 0 && !owner.Released && owner.UnchangedFor < ownerLapse
	if covered && lives && owner.Incarnation != p.self.Incarnation {
		p.without = now.Add(copyPatience)
	}
}

// ask has the daemon get a copy, to take over.
func (p *copyPolicy) ask(now monotime.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = now.Add(copyAsked)
}

// needed reports whether the daemon has to have a copy now.
func (p *copyPolicy) needed(now monotime.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now >= p.without || now < p.asked
}
