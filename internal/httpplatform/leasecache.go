package httpplatform

import (
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
)

// leaseCache keeps the leases that one worker has reported, so that each claim carries only those that changed.
// Phases of a lease only go forward, so replies may be taken in in any order.
type leaseCache struct {
	mu       sync.Mutex
	boot     string
	revision uint64
	leases   map[cell.Attempt]cachedLease
}

// cachedLease is a lease as it was reported.
type cachedLease struct {
	lease cell.Lease
	// at is the time of the report, or that of the lease's end.
	at time.Time
}

// since returns the revision that a claim naming boot asks to be told of changes from; 0 asks for everything.
func (c *leaseCache) since(boot string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if boot != c.boot {
		return 0
	}
	return c.revision
}

// merge takes in the reply to an accepted claim and returns the whole report.
func (c *leaseCache) merge(reply ClaimReply, now time.Time) platform.WorkerReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Full && (reply.BootID != c.boot || reply.Revision >= c.revision) {
		c.boot = reply.BootID
		c.revision = reply.Revision
		c.leases = make(map[cell.Attempt]cachedLease, len(reply.Changed))
	}
	if reply.BootID == c.boot {
		c.revision = max(c.revision, reply.Revision)
		c.take(reply, now)
		c.forget(now.Add(-reply.Retention))
	}
	report := reply.report()
	report.Leases = c.snapshot(reply.BootID, now)
	return report
}

func (c *leaseCache) take(reply ClaimReply, now time.Time) {
	for _, changed := range reply.Changed {
		known, ok := c.leases[changed.Attempt]
		if ok && known.lease.Phase != cell.LeaseRunning {
			continue
		}
		c.leases[changed.Attempt] = cachedLease{lease: changed.lease(reply.Worker), at: now.Add(-changed.EndedAgo)}
	}
}

// forget drops the leases that ended before the retention time began.
func (c *leaseCache) forget(before time.Time) {
	for a, l := range c.leases {
		if l.lease.Phase != cell.LeaseRunning && !l.at.After(before) {
			delete(c.leases, a)
		}
	}
}

// snapshot returns all leases of the boot, with the running times as of now.
func (c *leaseCache) snapshot(boot string, now time.Time) []cell.Lease {
	if boot != c.boot {
		return nil
	}
	leases := make([]cell.Lease, 0, len(c.leases))
	for _, l := range c.leases {
		if l.lease.Phase == cell.LeaseRunning {
			l.lease.Elapsed += now.Sub(l.at)
		}
		leases = append(leases, l.lease)
	}
	return leases
}
