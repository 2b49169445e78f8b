package shard

import "time"

// Parameters of the retry budget.
const (
	retryShare   = 0.1 // retries earned by one fresh placement
	retryFloor   = 1.0 // retries earned by one second
	retryMaximum = 50.0
)

// retryBudget bounds retries to a share of fresh placements, with a small floor.
type retryBudget struct {
	tokens float64
	at     time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{tokens: retryMaximum / 2, at: now}
}

// earn counts one fresh placement.
func (b *retryBudget) earn() {
	b.tokens = min(retryMaximum, b.tokens+retryShare)
}

// spend takes one retry from the budget if there is one.
func (b *retryBudget) spend(now time.Time) bool {
	b.tokens = min(retryMaximum, b.tokens+retryFloor*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
