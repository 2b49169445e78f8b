package shard

// RefreshPolicy makes decisions follow the configuration and the quota shares of now, and returns once they do.
func (o *Owner) RefreshPolicy() {
	postAndWait(o, false, func(reply func(bool)) event { return refreshPolicy{reply: reply} })
}

// refreshPolicy asks for the policy to be read again.
type refreshPolicy struct {
	reply func(bool)
}

func (ev refreshPolicy) apply(c *controlLoop) {
	c.updateConfig()
	c.updatePolicy()
	c.schedulingNeeded = true
	ev.reply(true)
}
