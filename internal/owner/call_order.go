package owner

import (
	"errors"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// A hold call that confirms ends makes the worker forget its ends up to a sequence. Carried out late by the next process under the worker's
// id, it makes that process forget its own first ends, which nobody has heard of, and their tasks would run again. Starts that are sent
// once may begin a run there before the process answers the owner (see dispatch.Start), and others once the policy service has heard of the
// restart. A start and a hold call that confirms ends must therefore not both be under way, unless the start has the higher token: a process
// that has carried it out refuses the hold call.

// maxRaisedTokens bounds the fencing tokens of a worker that starts use up. The others are left for connections.
const maxRaisedTokens = ledger.EpochStride * 3 / 4

// errOvertaken means that the worker has refused a call since it had carried out one of this owner with a higher token. The call did nothing.
var errOvertaken = errors.New("owner: a later call with a higher token has overtaken the call")

// unansweredStarts are the starts to a worker that are sent once and that it has neither answered nor listed, with the time until which
// they may be carried out. It is safe for concurrent use.
type unansweredStarts struct {
	mu    sync.Mutex
	until map[dispatch.RunKey]monotime.Instant
}

// unansweredStarts returns those of the worker.
func (c *controller) unansweredStarts(id dispatch.WorkerID) *unansweredStarts {
	if c.unanswered[id] == nil {
		c.unanswered[id] = &unansweredStarts{until: make(map[dispatch.RunKey]monotime.Instant)}
	}
	return c.unanswered[id]
}

func (u *unansweredStarts) add(key dispatch.RunKey, sentAt monotime.Instant) {
	u.addUntil(key, sentAt.Add(dispatch.MaxCallDelay))
}

func (u *unansweredStarts) addUntil(key dispatch.RunKey, until monotime.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.until[key] = until
}

// remove removes a start that can't be carried out any more.
func (u *unansweredStarts) remove(key dispatch.RunKey) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.until, key)
}

// any reports whether one of the starts may still be carried out.
func (u *unansweredStarts) any(now monotime.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for key, until := range u.until {
		if now < until {
			return true
		}
		delete(u.until, key)
	}
	return false
}

// confirmations are the hold calls of a connection that confirm ends and have no answer. They are safe for concurrent use.
type confirmations struct {
	mu sync.Mutex
	// underWay means that the present hold call confirms ends, with the token.
	underWay bool
	token    uint64
	// confirming is up to which sequence it does, confirmed up to which an answered one did.
	confirming, confirmed uint64
	// lateToken is the highest token of those that got no answer, lateSequence the highest sequence; they may be carried out until lateUntil.
	lateToken, lateSequence uint64
	lateUntil               monotime.Instant
}

// begin notes that a hold call is sent that confirms ends up to a sequence.
func (f *confirmations) begin(token, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.underWay, f.token, f.confirming = true, token, sequence
}

// covers reports whether ends up to a sequence were confirmed by a call that was answered.
func (f *confirmations) covers(sequence uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sequence <= f.confirmed
}

// cancel notes that the hold call confirms no ends after all.
func (f *confirmations) cancel() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.underWay = false
}

// end notes that the hold call, sent at sentAt, has ended with an error, nil for an answer. Without an answer it may still be carried out.
func (f *confirmations) end(sentAt monotime.Instant, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.underWay:
	case err == nil:
		f.confirmed = f.confirming
	case errors.Is(err, ErrNoAnswer):
		f.lateToken, f.lateSequence = max(f.lateToken, f.token), max(f.lateSequence, f.confirming)
		f.lateUntil = sentAt.Add(dispatch.MaxCallDelay)
	}
	f.underWay = false
}

// open returns up to which sequence a hold call confirms ends that is under way, or got no answer and may still be carried out; 0 for none.
func (f *confirmations) open(now monotime.Instant) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sequence := uint64(0)
	if f.underWay {
		sequence = f.confirming
	}
	if now < f.lateUntil {
		sequence = max(sequence, f.lateSequence)
	}
	return sequence
}

// mayBeLate reports whether one with the token, or a higher one, got no answer and may still be carried out.
func (f *confirmations) mayBeLate(now monotime.Instant, token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now < f.lateUntil && f.lateToken >= token
}

// isUnderWay reports whether the present hold call confirms ends, with the token or a higher one.
func (f *confirmations) isUnderWay(token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.underWay && f.token >= token
}

// prepareStart raises the token if a hold call that confirms ends might be carried out after the start. Of those under way only a start that
// is sent once is kept apart: for any other one the policy service would have to have heard of the restart within the hold call's time. The
// control loop calls it.
func (wc *workerConn) prepareStart(order dispatch.Start) {
	now, token := wc.controller.now(), wc.fencingToken.Load()
	if order.Once {
		wc.startsOnce.Store(true)
		wc.unanswered.add(order.RunKey, now)
	}
	if wc.confirmations.mayBeLate(now, token) || order.Once && wc.confirmations.isUnderWay(token) {
		wc.raiseToken()
	}
}

// raiseToken raises the token unless starts have used up theirs.
func (wc *workerConn) raiseToken() {
	c := wc.controller
	if c.tokensGiven[wc.worker.ID] >= maxRaisedTokens {
		if !wc.tokensUsedUp {
			wc.tokensUsedUp = true
			c.Log.Warn().Str("worker", string(wc.worker.ID)).Msg("no fencing tokens left to keep starts and hold calls apart")
		}
		return
	}
	wc.fencingToken.Store(c.nextFencingToken(wc.worker.ID))
}

// beginHold returns a hold call that may wait for a run to end, and confirms ends up to a sequence, at most recorded: none while a start may
// begin a run on another process of the worker. On a worker that gets starts which are sent once, a call that confirms ends doesn't
// wait, and none confirms them again, so that few starts need a higher token.
func (wc *workerConn) beginHold(recorded uint64, wait time.Duration) HoldCall {
	call := HoldCall{Token: wc.fencingToken.Load(), Wait: wait}
	once := wc.startsOnce.Load()
	if recorded == 0 || once && wc.confirmations.covers(recorded) {
		return call
	}
	wc.confirmations.begin(call.Token, recorded)
	if wc.unanswered.any(wc.controller.now()) {
		wc.confirmations.cancel()
		return call
	}
	call.Recorded = recorded
	if once {
		call.Wait = 0
	}
	return call
}

// unconfirmedDelay is the delay after a report of ends that could not be confirmed: the worker answers at once as long as it has any.
func (wc *workerConn) unconfirmedDelay() time.Duration {
	return max(holdRetryDelay, time.Duration(wc.controller.workersInUse.Load())*time.Second/maxLossyHolds)
}

// overtakenError returns errOvertaken for the refusal of a call with a token below the connection's, and other errors as they are.
func (wc *workerConn) overtakenError(err error, token uint64) error {
	if errors.Is(err, ErrSuperseded) && token < wc.fencingToken.Load() {
		return errOvertaken
	}
	return err
}
