package owner

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/wire"
)

// sendPermitRequests sends the waiting permit requests to the policy service, as far as daemons are idle.
func (c *controller) sendPermitRequests() {
	for {
		request, h, ok := c.permits.next(c.now())
		if !ok {
			return
		}
		request, ok = c.engine.PreparePermitRequest(request.Step)
		if !ok {
			c.permits.release(h, c.now(), true)
			continue
		}
		go c.requestPermits(request, h, h.addr)
	}
}

// permitTimeoutMargin is added to twice the expected latency of the policy service for a request's timeout.
const permitTimeoutMargin = 600 * time.Millisecond

// requestPermits sends one permit request to the policy service, through the daemon at addr unless addr is empty, and posts the
// answer.
func (c *controller) requestPermits(request dispatch.PermitRequest, h *helper, addr string) {
	timeout := 2*request.Latency + permitTimeoutMargin
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	sentAt := c.now()
	var answer PermitAnswer
	var err error
	if addr == "" {
		answer, err = c.callPolicyService(ctx, request.Step, request.Workers)
	} else {
		answer, err = c.requestPermitsVia(ctx, addr, request, timeout)
	}
	took := c.now().Sub(sentAt)
	c.instruments.permitTime.Update(took.Seconds())
	if err != nil {
		c.instruments.permitFailures.Inc()
		c.Log.Warn().Str("job", string(request.Step.Job)).Int("step", request.Step.Step).Str("via", addr).Dur("took", took).Err(err).Msg("policy service gave no answer")
	} else {
		c.Log.Info().Str("job", string(request.Step.Job)).Int("step", request.Step.Step).Str("via", addr).Int("asked", len(request.Workers)).Int("allowed", len(answer.Tickets)).Dur("took", took).Msg("permits")
	}
	c.post(func() {
		c.permits.release(h, c.now(), err == nil)
		c.engine.HandlePermits(request.Step, request.Workers, answer.Tickets, answer.ValidFor, err == nil)
	})
}

var errNoPermitAnswer = errors.New("owner: the helper daemon got no answer from the policy service")

// requestPermitsVia sends a permit request through the helper daemon at addr.
func (c *controller) requestPermitsVia(ctx context.Context, addr string, request dispatch.PermitRequest, timeout time.Duration) (PermitAnswer, error) {
	req := &wire.PermitRequest{
		Job:        string(request.Step.Job),
		Occurrence: uint32(request.Step.Occurrence),
		Step:       uint32(request.Step.Step),
		TimeoutMs:  timeout.Milliseconds(),
	}
	for _, w := range request.Workers {
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
