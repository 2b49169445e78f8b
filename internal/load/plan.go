// Package load sends a bounded, repeatable stream of requests to a cell and sums up what the callers were told.
//
// The stream is open: calls start at the times of the plan, however long earlier ones take, until a bound of calls in
// flight is reached. Payloads are those of the stand-in's simulated tasks.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/cell"
)

// MixEntry is one kind of request in the mix.
type MixEntry struct {
	Class cell.PriorityClass
	Team  string
	// Pool is the only pool of workers that will do; empty means any.
	Pool string
	// Weight is the kind's share against the others.
	Weight float64
}

// Plan describes a stream of requests.
type Plan struct {
	// Seed makes the stream repeatable.
	Seed uint64
	// Rate is the mean number of calls a second.
	Rate     float64
	Duration time.Duration
	Mix      []MixEntry
	Claim    cell.Resources
	// RunMin and RunMax bound the tasks' run times.
	RunMin, RunMax time.Duration
	// NonIdempotentShare and Keyed are the shares of requests that are non-idempotent, and that carry an id of the caller's
	// own, between 0 and 1. Every non-idempotent request carries one.
	NonIdempotentShare float64
	RequestIDShare     float64
	// AnswerBytes is the length of the padding of each answer.
	AnswerBytes int
	// Stoppable marks the requests that are not urgent as stoppable.
	Stoppable bool
	Timeout   time.Duration
}

// call is one planned request.
type call struct {
	sendAt       time.Duration
	index        int
	entry        MixEntry
	runTime      time.Duration
	idempotent   bool
	hasRequestID bool
}

// Validate returns the first mistake in the plan, or nil.
func (p Plan) Validate() error {
	switch {
	case p.Rate <= 0:
		return fmt.Errorf("rate %v is not positive", p.Rate)
	case p.Duration <= 0 || p.Timeout <= 0:
		return fmt.Errorf("duration %s or timeout %s is not positive", p.Duration, p.Timeout)
	case p.RunMin < 0 || p.RunMax < p.RunMin:
		return fmt.Errorf("run times %s to %s are not a range", p.RunMin, p.RunMax)
	case !isShare(p.NonIdempotentShare) || !isShare(p.RequestIDShare):
		return fmt.Errorf("shares %v and %v are not between 0 and 1", p.NonIdempotentShare, p.RequestIDShare)
	case p.AnswerBytes < 0:
		return fmt.Errorf("answer bytes %d are negative", p.AnswerBytes)
	case totalWeight(p.Mix) <= 0:
		return fmt.Errorf("the mix is empty")
	default:
		return nil
	}
}

func isShare(f float64) bool {
	return f >= 0 && f <= 1
}

func totalWeight(mix []MixEntry) float64 {
	total := 0.0
	for _, k := range mix {
		total += max(0, k.Weight)
	}
	return total
}

// calls returns the plan's calls in the order of their times. The gaps between them are exponential.
func (p Plan) calls() []call {
	r := rand.New(rand.NewPCG(p.Seed, 0))
	var out []call
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		c := call{sendAt: at, index: len(out), entry: p.drawEntry(r), runTime: p.RunMin}
		if spread := p.RunMax - p.RunMin; spread > 0 {
			c.runTime += time.Duration(r.Int64N(int64(spread)))
		}
		c.idempotent = r.Float64() >= p.NonIdempotentShare
		c.hasRequestID = r.Float64() < p.RequestIDShare || !c.idempotent
		out = append(out, c)
	}
}

func (p Plan) drawEntry(r *rand.Rand) MixEntry {
	at := r.Float64() * totalWeight(p.Mix)
	for _, k := range p.Mix {
		at -= max(0, k.Weight)
		if at < 0 {
			return k
		}
	}
	return p.Mix[len(p.Mix)-1]
}
