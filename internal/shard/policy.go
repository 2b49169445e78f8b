package shard

import (
	"reflect"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
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

func (c *controlLoop) buildPolicy(d config.Document) scheduler.Policy {
	teams := make(map[string]scheduler.TeamPolicy, len(d.Teams))
	for name, t := range d.Teams {
		quota := t.Quota
		if c.params.QuotaShare != nil {
			quota = c.params.QuotaShare(name, d)
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
