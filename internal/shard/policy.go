package shard

import (
	"reflect"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/scheduler"
)

// readConfig takes over a newer configuration and reports whether decisions may be made under it.
func (c *control) readConfig() bool {
	v, fresh := c.p.Config()
	if c.stale == fresh {
		c.dirty = true
	}
	c.stale = !fresh
	if v.Version > c.version {
		c.version = v.Version
		c.doc = v.Document
		c.readPolicy()
		c.refreshWorkers()
	}
	return fresh
}

// readPolicy takes over the operators' policy and this shard's part of the quotas, which moves without a new version.
func (c *control) readPolicy() {
	p := c.policyOf(c.doc)
	if c.version == 0 || reflect.DeepEqual(p, c.policy) {
		return
	}
	c.policy = p
	c.sched.SetPolicy(p)
	c.dirty = true
}

func (c *control) policyOf(d config.Document) scheduler.Policy {
	teams := make(map[string]scheduler.TeamPolicy, len(d.Teams))
	for name, t := range d.Teams {
		quota := t.Quota
		if c.p.QuotaShare != nil {
			quota = c.p.QuotaShare(name, d)
		}
		teams[name] = scheduler.TeamPolicy{Weight: t.Weight, Quota: quota}
	}
	return scheduler.Policy{
		PackingWeight: d.PackingWeight,
		Teams:         teams,
		MaxQueued:     d.MaxQueuedPerShard,
		UrgentWait:    d.UrgentWait(),
		AgeingStep:    d.AgeingStep(),
	}
}

// dropStale answers the queued requests that have waited too long for the configuration to be confirmed.
func (c *control) dropStale(now time.Time) {
	var late []*entry
	for _, e := range c.entries {
		if e.phase == phaseQueued && e.task.Kind == cell.KindRequest && now.Sub(e.arrived) > c.p.StaleConfigTimeout {
			late = append(late, e)
		}
	}
	c.dropAll(late, cell.ReasonConfigStale, retryLater)
}
