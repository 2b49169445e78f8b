package owner

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
)

// A hold call that confirms ends makes the worker forget its ends up to a sequence. Carried out by the next process under the worker's id, it makes
// that process forget its own first ends, which nobody has heard of, and their tasks would run again. The next process may have ends by then:
// starts may begin runs there before it answers the owner, those without a permit in any case, others once the policy service has heard of the
// restart. A call names no process, so each call that confirms ends is kept apart from the starts to the worker:
//
//   - It is sent only if no start is unsettled: each one sent before was carried out by the process that has reported the ends, or can't be
//     carried out by another one.
//   - It doesn't wait for an end, so that it is under way for a short time.
//   - A start that is ordered while one is under way, or may be carried out late, has a higher token: a process that has carried it out refuses
//     the call.

// maxRaisedTokens bounds the fencing tokens of a worker that starts use up. The others are left for connections.
const maxRaisedTokens = ledger.EpochStride * 3 / 4

// errOvertaken means that the worker has refused a call since it had carried out one of this owner with a higher token. The call did nothing.
var errOvertaken = errors.New("owner: a later call with a higher token has overtaken the call")

// unsettledStarts are the starts to a worker that another process than the one which reports may have carried out, or may yet. Each has a time: if the
// process that reports answers a hold call sent after it, no other one has carried the start out unheard, nor will. They are safe for concurrent
// use.
type unsettledStarts struct {
	mu     sync.Mutex
	starts map[dispatch.RunKey]monotime.Instant
	// settled signals that none is left.
	settled chan struct{}
}

// unsettledStarts returns those of the worker.
func (c *controller) unsettledStarts(id dispatch.WorkerID) *unsettledStarts {
	if c.unsettled[id] == nil {
		c.unsettled[id] = &unsettledStarts{starts: make(map[dispatch.RunKey]monotime.Instant), settled: make(chan struct{}, 1)}
	}
	return c.unsettled[id]
}

// add notes a start that is ordered, or sent after a wait. A permit is bound to the process that was up when it was given, so that the next one
// refuses it if that process answers a later call. Without a permit the start may be carried out as long as a call may be late.
func (u *unsettledStarts) add(order dispatch.Start, at monotime.Instant) {
	if order.Once {
		at = at.Add(dispatch.MaxCallDelay)
	}
	u.set(order.RunKey, at)
}

// set notes a start that an answer to a hold call sent after the given time settles.
func (u *unsettledStarts) set(key dispatch.RunKey, settledAfter monotime.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts[key] = settledAfter
}

// noteStarted notes that a process has carried the start out, by an answer that came at the given time. A start is not carried out again.
func (u *unsettledStarts) noteStarted(key dispatch.RunKey, at monotime.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if settledAfter, ok := u.starts[key]; ok {
		u.starts[key] = min(settledAfter, at)
	}
}

// remove removes a start that was carried out by the process that reports, or can't be carried out.
func (u *unsettledStarts) remove(key dispatch.RunKey) {
	u.removeIf(func(k dispatch.RunKey, _ monotime.Instant) bool { return k == key })
}

// settle removes the starts that the process which reports settles by its answer to a hold call sent at the given time.
func (u *unsettledStarts) settle(sentAt monotime.Instant) {
	u.removeIf(func(_ dispatch.RunKey, settledAfter monotime.Instant) bool { return sentAt > settledAfter })
}

func (u *unsettledStarts) removeIf(over func(dispatch.RunKey, monotime.Instant) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	before := len(u.starts)
	maps.DeleteFunc(u.starts, over)
	if before > 0 && len(u.starts) == 0 {
		select {
		case u.settled <- struct{}{}:
		default:
		}
	}
}

// any reports whether there is one.
func (u *unsettledStarts) any() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.starts) > 0
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

// prepareStart notes a start, and raises the token if a hold call that confirms ends might be carried out after it. false means that the start
// must not be sent, since no token is left. The control loop calls it.
func (wc *workerConn) prepareStart(order dispatch.Start) bool {
	now, token := wc.controller.now(), wc.fencingToken.Load()
	if wc.controller.callsNameProcess {
		return true
	}
	wc.unsettled.add(order, now)
	if wc.confirmations.mayBeLate(now, token) || wc.confirmations.isUnderWay(token) {
		return wc.raiseToken()
	}
	return true
}

// raiseToken raises the token and reports whether it has, which it hasn't if starts have used up theirs.
func (wc *workerConn) raiseToken() bool {
	c := wc.controller
	if c.tokensGiven[wc.worker.ID] >= maxRaisedTokens {
		if !wc.tokensUsedUp {
			wc.tokensUsedUp = true
			c.Log.Warn().Str("worker", string(wc.worker.ID)).Msg("no fencing tokens left to keep starts and hold calls apart")
		}
		return false
	}
	wc.fencingToken.Store(c.nextFencingToken(wc.worker.ID))
	return true
}

// beginHold returns a hold call that may wait for a run to end, or one that confirms ends up to a sequence, at most recorded, unless none is new or
// a start is unsettled.
func (wc *workerConn) beginHold(recorded uint64, wait time.Duration) HoldCall {
	call := HoldCall{Token: wc.fencingToken.Load(), Wait: wait}
	if wc.controller.callsNameProcess {
		call.Recorded = recorded
		return call
	}
	if recorded == 0 || wc.confirmations.covers(recorded) {
		return call
	}
	wc.confirmations.begin(call.Token, recorded)
	if wc.unsettled.any() {
		wc.confirmations.cancel()
		return call
	}
	call.Recorded, call.Wait = recorded, 0
	return call
}

// settleWait is how long a hold loop with ends to confirm waits for the answers to starts, which come within milliseconds as a rule.
const settleWait = 20 * time.Millisecond

// awaitSettled waits for settleWait at most until no start is unsettled, if there are ends to confirm.
func (wc *workerConn) awaitSettled(ctx context.Context) {
	if recorded := wc.recorded(); recorded == 0 || wc.confirmations.covers(recorded) {
		return
	}
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	for wc.unsettled.any() {
		select {
		case <-wc.unsettled.settled:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// noteAnsweredStart notes a start that a worker has answered as begun with a reading of its clock, 0 if it gave none. A clock that runs for
// longer than the process that has reported was last known to live is that of this process.
func (wc *workerConn) noteAnsweredStart(key dispatch.RunKey, clock time.Duration) {
	now := wc.controller.now()
	if alive := monotime.Instant(wc.aliveSentAt.Load()); alive > 0 && clock > now.Sub(alive) {
		wc.unsettled.remove(key)
		return
	}
	wc.unsettled.noteStarted(key, now)
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
