package httpplatform

import (
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
)

// leaseCache holds the leases that one worker has reported, so that a reply to a claim need carry only changed leases.
// A lease's phase never goes back, so replies may be merged in any order.
type leaseCache struct {
	mu       sync.Mutex
	bootID   string
	revision uint64
	leases   map[cell.Attempt]cachedLease
}

// cachedLease is a lease as last reported.
type cachedLease struct {
	lease cell.Lease
	// asOf is the time of the report, or the time of the lease's end if it has ended.
	asOf time.Time
}

// knownRevision returns the revision after which a claim with the boot id asks for changes; 0 asks for every lease.
func (c *leaseCache) knownRevision(bootID string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bootID != c.bootID {
		return 0
	}
	return c.revision
}

// merge adds the reply to an accepted claim to the cache and returns the complete report.
func (c *leaseCache) merge(reply ClaimReply, now time.Time) platformapi.WorkerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Full && (reply.BootID != c.bootID || reply.Revision >= c.revision) {
		c.bootID = reply.BootID
		c.revision = reply.Revision
		c.leases = make(map[cell.Attempt]cachedLease, len(reply.Changed))
	}
	if reply.BootID == c.bootID {
		c.revision = max(c.revision, reply.Revision)
		c.applyChanges(reply, now)
		c.dropEndedBefore(now.Add(-reply.Retention))
	}
	report := reply.report()
	report.Leases = c.snapshot(reply.BootID, now)
	return report
}

func (c *leaseCache) applyChanges(reply ClaimReply, now time.Time) {
	for _, changed := range reply.Changed {
		known, ok := c.leases[changed.Attempt]
		if ok && known.lease.Phase != cell.LeaseRunning {
			continue
		}
		c.leases[changed.Attempt] = cachedLease{lease: changed.lease(reply.Worker), asOf: now.Add(-changed.EndedAgo)}
	}
}

// dropEndedBefore drops the leases that ended at the cutoff or earlier.
func (c *leaseCache) dropEndedBefore(cutoff time.Time) {
	for a, l := range c.leases {
		if l.lease.Phase != cell.LeaseRunning && !l.asOf.After(cutoff) {
			delete(c.leases, a)
		}
	}
}

// snapshot returns all leases of the boot, with the elapsed times of running leases as of now.
func (c *leaseCache) snapshot(bootID string, now time.Time) []cell.Lease {
	if bootID != c.bootID {
		return nil
	}
	leases := make([]cell.Lease, 0, len(c.leases))
	for _, l := range c.leases {
		if l.lease.Phase == cell.LeaseRunning {
			l.lease.Elapsed += now.Sub(l.asOf)
		}
		leases = append(leases, l.lease)
	}
	return leases
}
