package shard

import "time"

// Parameters of the retry budget.
const (
	retriesPerPlacement = 0.1 // retries earned by one fresh placement
	retriesPerSecond    = 1.0 // retries earned by one second
	maxRetryTokens      = 50.0
)

// retryBudget bounds retries to a share of fresh placements, with a small floor.
type retryBudget struct {
	tokens    float64
	updatedAt time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: maxRetryTokens / 2, updatedAt: now}
}

// earn counts one fresh placement.
func (b *retryBudget) earn() {
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerPlacement)
}

// spend takes one retry from the budget if there is one.
func (b *retryBudget) spend(now time.Time) bool {
	b.tokens = min(maxRetryTokens, b.tokens+retriesPerSecond*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
