// Package load generates a repeatable stream of requests to a cell and summarises the outcomes that callers receive.
//
// The load is open-loop: each call is sent at its planned time, however long earlier calls take, unless the limit of calls
// in flight is reached. Payloads have the format of the stand-in's simulated tasks.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumpoint/internal/cell"
)

// MixEntry describes one kind of request and its share of the stream.
type MixEntry struct {
	Class cell.PriorityClass
	Team  string
	// Pool is the pool of workers that the requests need; empty means any pool.
	Pool string
	// Weight is the entry's share of the requests, relative to the weights of the other entries.
	Weight float64
}

// Plan describes a stream of requests.
type Plan struct {
	// Seed determines the stream: equal plans with equal seeds give equal calls.
	Seed uint64
	// Rate is the mean number of calls per second.
	Rate     float64
	Duration time.Duration
	Mix      []MixEntry
	Claim    cell.Resources
	// RunMin and RunMax bound the tasks' run times.
	RunMin, RunMax time.Duration
	// NonIdempotentShare and Keyed are the shares, between 0 and 1, of requests that are non-idempotent and of requests
	// that carry an id chosen by the caller. Every non-idempotent request carries such an id.
	NonIdempotentShare float64
	RequestIDShare     float64
	// AnswerBytes is the number of padding bytes in each answer.
	AnswerBytes int
	// Stoppable marks all requests that are not urgent as stoppable.
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

// Validate returns an error for the first invalid field of the plan, or nil.
func (p Plan) Validate() error {
	switch {
	case p.Rate <= 0:
		return fmt.Errorf("rate %v is not positive", p.Rate)
	case p.Duration <= 0 || p.Timeout <= 0:
		return fmt.Errorf("duration %s or timeout %s is not positive", p.Duration, p.Timeout)
	case p.RunMin < 0 || p.RunMax < p.RunMin:
		return fmt.Errorf("run times %s to %s are not a valid range", p.RunMin, p.RunMax)
	case !isShare(p.NonIdempotentShare) || !isShare(p.RequestIDShare):
		return fmt.Errorf("non-idempotent share %v or request id share %v is not between 0 and 1", p.NonIdempotentShare, p.RequestIDShare)
	case p.AnswerBytes < 0:
		return fmt.Errorf("answer bytes: %d is negative", p.AnswerBytes)
	case totalWeight(p.Mix) <= 0:
		return fmt.Errorf("the request mix has no entry with a positive weight")
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

// calls returns the plan's calls in the order of their sending times. The intervals between them are exponentially
// distributed.
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

// drawEntry draws an entry of the mix with a probability proportional to its weight.
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
