package owner

import (
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
)

// Many callers ask at the same time and one after another: one question is admitted at a time, and none sooner than previewInterval after the
// one before, or else they would take the control loop's time.
func TestPreviewLimiter(t *testing.T) {
	var l previewLimiter
	now := monotime.Instant(time.Second)
	if _, ok := l.begin(now); !ok {
		t.Fatal("the first question is refused")
	}
	if wait, ok := l.begin(now); ok || wait <= 0 {
		t.Errorf("admitted %v, wait %s while another question is answered", ok, wait)
	}
	l.end(now)
	if wait, ok := l.begin(now.Add(previewInterval / 2)); ok || wait != previewInterval/2 {
		t.Errorf("admitted %v, wait %s, want a wait for the other half of the interval", ok, wait)
	}
	if _, ok := l.begin(now.Add(previewInterval)); !ok {
		t.Error("refused after the interval")
	}
}
