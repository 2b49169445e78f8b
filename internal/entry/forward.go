package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

const (
	// hedgeDelay is the time without an answer after which a command is also sent by another way: to the owner, or to
	// another daemon. It is longer than a call to a store sixty times slower than usual takes.
	hedgeDelay = 400 * time.Millisecond
	// hedgeCheckInterval is how often it is checked after hedgeDelay whether the store has become silent.
	hedgeCheckInterval = 100 * time.Millisecond
	// storeSilence is the time since the store's last answer to this daemon after which it counts as silent. With 400 ms, an
	// idle daemon took a store that is sixty times slower than usual for silent and repeated one write in twelve.
	storeSilence = 600 * time.Millisecond
	// writeTimeout bounds one write to the store. A slow store applies the writes of a part one after the other, so that a
	// write may wait for several others; a second one would only wait behind it.
	writeTimeout = 1600 * time.Millisecond
	// maxRelays bounds the daemons other than the owner that one command is relayed to. If the store does not answer a third
	// of the daemons, all of them are among that third for one command in 27.
	maxRelays = 3
)

// attempt is one way to store a command; it returns a result of those in stored, resultUnavailable or resultUncertain.
type attempt func(ctx context.Context) string

// forwarding stores one command through this daemon's store, the owner or other daemons. All writes of a command have the
// same effect, so that the outcome of one holds for all: a job is written only if its row does not exist, and a
// cancellation is the same row each time.
type forwarding struct {
	*Service
	req   *wire.IntakeRequest
	write func(context.Context) error
	// relayedTo are the addresses of the daemons other than the owner that the command was relayed to.
	relayedTo []string
	// uncertain means that an attempt may have stored the command.
	uncertain bool
	// result is that of the attempt that has stored the command.
	result string
}

// isStored reports whether a result means that the command is stored. resultNoJob does, of a cancellation.
func isStored(result string) bool {
	return result == resultOK || result == resultCancelled || result == resultNoJob
}

// storeOrRelay writes a command to the store, or relays it if the store doesn't answer this daemon: to the owner, then to
// other daemons. It notifies the owner of a command that is stored, since the owner reads the store with a delay. The caller's
// key is checked before each try: a daemon that was frozen meanwhile must not carry out a command whose key has been removed.
func (s *Service) storeOrRelay(ctx context.Context, caller Request, write func(context.Context) error, req *wire.IntakeRequest, times jobTimes) Answer {
	f := &forwarding{Service: s, req: req, write: write}
	for try := 0; ; try++ {
		if refusal := s.recheckKey(caller); refusal != nil {
			if f.uncertain {
				break
			}
			return *refusal
		}
		if f.firstStored(ctx, f.attempts()) {
			if f.result == resultNoJob {
				return Answer{Result: NoJob}
			}
			return Answer{Result: OK}
		}
		// A command that was certainly not stored is refused at once while the store is down. One that may have been
		// stored is tried again for as long as the caller waits, because refusing it might be wrong.
		if ctx.Err() != nil || (!f.uncertain && (try >= maxTries-1 || s.StoreDown())) {
			break
		}
		monotime.Sleep(ctx, retryInterval)
	}
	if f.uncertain {
		return Answer{Result: Uncertain, Detail: "the store gave no answer; the command may have been stored"}
	}
	return s.storeUnavailable(times)
}

// attempts returns the ways to try now, in order of preference.
func (f *forwarding) attempts() []attempt {
	var list []attempt
	if !f.StoreDown() {
		if f.uncertain {
			list = append(list, f.findStored)
		}
		list = append(list, f.store)
	}
	list = append(list, f.relayToOwner)
	for _, addr := range f.chooseRelays() {
		list = append(list, func(ctx context.Context) string { return f.relayToOther(ctx, addr) })
	}
	return list
}

// chooseRelays returns other daemons that the command has not been relayed to, at most maxRelays for the command. It
// chooses at random, first among the half of the daemons that the store is most likely to answer.
func (f *forwarding) chooseRelays() []string {
	others := f.OtherDaemons()
	half := (len(others) + 1) / 2
	var chosen []string
	for _, part := range [][]string{others[:half], others[half:]} {
		for _, i := range rand.Perm(len(part)) {
			if len(f.relayedTo) < maxRelays && !slices.Contains(f.relayedTo, part[i]) {
				f.relayedTo = append(f.relayedTo, part[i])
				chosen = append(chosen, part[i])
			}
		}
	}
	return chosen
}

// firstStored reports whether one of the attempts has stored the command. It starts the next attempt when one has failed, or
// when the last one has not been answered within hedgeDelay and the store has not answered this daemon either. A store that
// answers is only slow: a second write would wait behind the first one and delay those of other commands.
func (f *forwarding) firstStored(ctx context.Context, attempts []attempt) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan string, len(attempts))
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	pending := 0
	startNext := func() {
		if len(attempts) == 0 || ctx.Err() != nil {
			return
		}
		next := attempts[0]
		attempts = attempts[1:]
		pending++
		go func() { results <- next(ctx) }()
		hedge.Reset(hedgeDelay)
	}
	for startNext(); pending > 0; {
		select {
		case <-hedge.C:
			if f.StoreAge() < storeSilence {
				hedge.Reset(hedgeCheckInterval)
				continue
			}
			startNext()
		case result := <-results:
			pending--
			if isStored(result) {
				f.result = result
				return true
			}
			f.uncertain = f.uncertain || result == resultUncertain
			startNext()
		}
	}
	return false
}

// store writes the command to this daemon's store. Unless the store answered the last call, it reads the row first: a read that
// gets no answer leaves nothing in doubt, while a write would make a certain refusal uncertain, after which many callers give up.
func (f *forwarding) store(ctx context.Context) string {
	if !f.uncertain && !f.StoreUp() {
		switch stored, err := f.readCommand(ctx); {
		case err != nil:
			return resultUnavailable
		case stored:
			return resultOK
		}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	result := storeResult(f.write(ctx))
	if result == resultOK {
		f.notifyOwner(f.req)
	}
	return result
}

// findStored looks the command up in the store, which a read reaches sooner than a write that waits for others of the same
// part. A row that is not there proves nothing: a write may be applied late.
func (f *forwarding) findStored(ctx context.Context) string {
	if stored, err := f.readCommand(ctx); err == nil && stored {
		return resultOK
	}
	return resultUnavailable
}

// readCommand reads from the store whether the command is stored. Errors: rowstore.ErrUnavailable.
func (f *forwarding) readCommand(ctx context.Context) (stored bool, err error) {
	j, found, err := f.findWithTimeout(ctx, graph.JobID(f.req.Job))
	return found && (f.req.Command == commandAccept || j.Cancelled), err
}

func (f *forwarding) relayToOwner(ctx context.Context) string {
	return f.relay(ctx, f.req).GetResult()
}

// relayToOther relays the command to a daemon other than the owner.
func (f *forwarding) relayToOther(ctx context.Context, addr string) string {
	result := f.relayTo(ctx, addr, f.req).GetResult()
	if result == resultOK {
		f.notifyOwner(f.req)
	}
	return result
}

// storeResult returns the result of a write that returned err.
func storeResult(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, ledger.ErrCancelled):
		return resultCancelled
	case errors.Is(err, ledger.ErrNoJob):
		return resultNoJob
	case errors.Is(err, rowstore.ErrUnavailable):
		return resultUnavailable
	}
	return resultUncertain
}
