package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/wire"
)

// assignPermits asks the policy service what waits to be asked, from the daemons that are free.
func (c *control) assignPermits() {
	for {
		ask, h, ok := c.permits.next(c.now())
		if !ok {
			return
		}
		ask, ok = c.engine.PreparePermitRequest(ask.Step)
		if !ok {
			c.permits.done(h, c.now(), true)
			continue
		}
		go c.ask(ask, h, h.addr)
	}
}

// permitSlack is granted to a question beyond the time that the policy service needs.
const permitSlack = 600 * time.Millisecond

func (c *control) ask(ask dispatch.PermitRequest, h *helper, addr string) {
	timeout := 2*ask.Latency + permitSlack
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	sent := c.now()
	var answer PermitAnswer
	var err error
	if addr == "" {
		answer, err = c.askPolicy(ctx, ask.Step, ask.Workers)
	} else {
		answer, err = c.askThrough(ctx, addr, ask, timeout)
	}
	took := c.now().Sub(sent)
	c.counts.permitTime.Update(took.Seconds())
	if err != nil {
		c.counts.permitFailures.Inc()
		c.Log.Warn().Str("job", string(ask.Step.Job)).Int("step", ask.Step.Step).Str("via", addr).Dur("took", took).Err(err).Msg("policy service gave no answer")
	} else {
		c.Log.Info().Str("job", string(ask.Step.Job)).Int("step", ask.Step.Step).Str("via", addr).Int("asked", len(ask.Workers)).Int("allowed", len(answer.Tickets)).Dur("took", took).Msg("permits")
	}
	c.post(func() {
		c.permits.done(h, c.now(), err == nil)
		c.engine.HandlePermits(ask.Step, ask.Workers, answer.Tickets, answer.ValidFor, err == nil)
	})
}

var errNoPermitAnswer = errors.New("owner: the daemon asked got no answer from the policy service")

func (c *control) askThrough(ctx context.Context, addr string, ask dispatch.PermitRequest, timeout time.Duration) (PermitAnswer, error) {
	req := &wire.PermitRequest{
		Job:        string(ask.Step.Job),
		Occurrence: uint32(ask.Step.Occurrence),
		Step:       uint32(ask.Step.Step),
		TimeoutMs:  timeout.Milliseconds(),
	}
	for _, w := range ask.Workers {
		req.Workers = append(req.Workers, string(w))
	}
	reply, err := c.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Permit{Permit: req}})
	if err != nil {
		return PermitAnswer{}, err
	}
	body := reply.GetPermit()
	if body == nil || !body.Answered {
		return PermitAnswer{}, errNoPermitAnswer
	}
	answer := PermitAnswer{Tickets: make(map[dispatch.WorkerID]string), ValidFor: time.Duration(body.ValidMs) * time.Millisecond}
	for _, p := range body.Permits {
		answer.Tickets[dispatch.WorkerID(p.Worker)] = p.Ticket
	}
	return answer, nil
}
