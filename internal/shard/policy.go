package shard

import (
	"reflect"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/scheduler"
)

// updateConfig applies a newer configuration if there is one. It reports whether the configuration is confirmed, so that
// decisions may be made under it.
func (c *controlLoop) updateConfig() bool {
	v, fresh := c.params.Config()
	if c.configStale == fresh {
		c.schedulingNeeded = true
	}
	c.configStale = !fresh
	if v.Version > c.configVersion {
		c.configVersion = v.Version
		c.configDoc = v.Document
		c.updatePolicy()
		c.publishWorkers()
	}
	return fresh
}

// updatePolicy gives the scheduler the configured policy and this shard's quota shares. The shares also change without a new
// configuration version.
func (c *controlLoop) updatePolicy() {
	p := c.buildPolicy(c.configDoc)
	if c.configVersion == 0 || reflect.DeepEqual(p, c.policy) {
		return
	}
	c.policy = p
	c.sched.SetPolicy(p)
	c.schedulingNeeded = true
}

// unreadCapacity returns the capacity on which tasks of an earlier owner may run that this owner doesn't know of: that of the
// workers whose leases it has not read yet. Leases that the earlier owner can't renew have ended after LeaseTTL.
func (c *controlLoop) unreadCapacity(now time.Time) cell.Resources {
	var sum cell.Resources
	longestLease := monotime.OnSlowestClock(c.params.LeaseTTL) + c.params.ClaimInterval
	if c.params.Epoch == 1 || now.Sub(c.startedAt) > longestLease {
		return sum
	}
	for _, w := range c.workers {
		if !w.everClaimed {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}

// lessUnknown returns what a team may use of its quota while its tasks may use up to the unknown amount already. A zero dimension
// of the quota stays unbounded, and one that may be used up becomes negative, which allows nothing.
func lessUnknown(quota, unknown cell.Resources) cell.Resources {
	rest := func(quota, unknown int64) int64 {
		if quota > 0 && quota <= unknown {
			return -1
		}
		return quota - min(unknown, max(0, quota))
	}
	return cell.Resources{
		MilliCPU:     rest(quota.MilliCPU, unknown.MilliCPU),
		MemoryMiB:    rest(quota.MemoryMiB, unknown.MemoryMiB),
		Accelerators: rest(quota.Accelerators, unknown.Accelerators),
		Slots:        rest(quota.Slots, unknown.Slots),
	}
}

func (c *controlLoop) buildPolicy(d config.Document) scheduler.Policy {
	unknown := c.unreadCapacity(time.Now())
	teams := make(map[string]scheduler.TeamPolicy, len(d.Teams))
	for name, t := range d.Teams {
		quota := t.Quota
		if c.params.QuotaShare != nil {
			quota = c.params.QuotaShare(name, d)
		}
		teams[name] = scheduler.TeamPolicy{Weight: t.Weight, Quota: lessUnknown(quota, unknown)}
	}
	return scheduler.Policy{
		PackingWeight: d.PackingWeight,
		Teams:         teams,
		MaxQueued:     d.MaxQueuedPerShard,
		UrgentWait:    d.UrgentWait(),
		AgeingStep:    d.AgeingStep(),
	}
}

// dropWaitingForConfig drops the queued requests that arrived more than StaleConfigTimeout ago, since nothing is placed while
// the configuration can't be confirmed.
func (c *controlLoop) dropWaitingForConfig(now time.Time) {
	var expired []*taskEntry
	for _, e := range c.entries {
		if e.phase == phaseQueued && e.task.Kind == cell.KindRequest && now.Sub(e.arrived) > c.params.StaleConfigTimeout {
			expired = append(expired, e)
		}
	}
	c.dropAll(expired, cell.ReasonConfigStale, longRetryAfter)
}
