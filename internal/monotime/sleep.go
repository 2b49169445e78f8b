package monotime

import (
	"context"
	"time"
)

// Sleep returns after d, or when ctx ends if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
