package shard

// RefreshPolicy makes decisions follow the configuration and the quota shares of now, and returns once they do.
func (o *Owner) RefreshPolicy() {
	ask(o, false, func(reply func(bool)) event { return refreshPolicy{reply: reply} })
}

// refreshPolicy asks for the policy to be read again.
type refreshPolicy struct {
	reply func(bool)
}

func (ev refreshPolicy) apply(c *control) {
	c.readConfig()
	c.readPolicy()
	c.dirty = true
	ev.reply(true)
}
