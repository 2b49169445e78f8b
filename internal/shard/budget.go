package shard

import "time"

// Parameters of the retry budget.
const (
	retriesPerPlacement = 0.1 // tokens earned by the placement of a first attempt
	retriesPerSecond    = 1.0 // tokens earned in each second
	maxRetryTokens      = 50.0
)

// retryBudget is a token bucket that bounds retries to a share of the first attempts placed, with a small minimum rate. One
// token pays for one retry.
type retryBudget struct {
	tokens    float64
	updatedAt time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: maxRetryTokens / 2, updatedAt: now}
}

// earn counts the placement of a first attempt.
func (b *retryBudget) earn() {
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerPlacement)
}

// spend takes one token and reports whether there was one.
func (b *retryBudget) spend(now time.Time) bool {
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
