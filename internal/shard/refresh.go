package shard

// RefreshPolicy applies the current configuration and quota shares. It returns when decisions are made under them.
func (o *Owner) RefreshPolicy() {
	postAndWait(o, false, func(reply func(bool)) event { return refreshPolicy{reply: reply} })
}

// refreshPolicy makes the loop read the configuration and the quota shares again.
type refreshPolicy struct {
	reply func(bool)
}

func (ev refreshPolicy) apply(c *controlLoop) {
	c.updateConfig()
	c.updatePolicy()
	c.schedulingNeeded = true
	ev.reply(true)
}
