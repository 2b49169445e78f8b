package membership

import (
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
)

func TestLiveness(t *testing.T) {
	const now = monotime.Instant(time.Hour)
	fresh := memberState{
		refreshInterval:   minRowRefreshInterval,
		lastAlive:         now,
		rowUnchangedSince: now,
		rowUnchangedUntil: now,
	}
	timedOutAt := now.Add(-minFailureTimeout - 1)
	unchangedFrom := now.Add(-minRowRefreshInterval - rowRefreshSlack - 1)
	cases := []struct {
		name   string
		change func(m *memberState)
		want   bool
	}{
		{"heartbeat received, row refreshed", func(*memberState) {}, true},
		{"no heartbeat, row refreshed", func(m *memberState) { m.lastAlive = timedOutAt }, true},
		{"heartbeat received, row unchanged", func(m *memberState) { m.rowUnchangedSince = unchangedFrom }, true},
		{"no heartbeat, row unchanged", func(m *memberState) { m.lastAlive, m.rowUnchangedSince = timedOutAt, unchangedFrom }, false},
		{"no heartbeat, row not read recently", func(m *memberState) {
			m.lastAlive, m.rowUnchangedSince, m.rowUnchangedUntil = timedOutAt, unchangedFrom, unchangedFrom
		}, true},
		{"connection refused once", func(m *memberState) { m.refusedHeartbeats = 1 }, true},
		{"connection refused twice", func(m *memberState) { m.refusedHeartbeats = 2 }, false},
		{"another member answers at its address", func(m *memberState) { m.replaced = true }, false},
	}
	for _, c := range cases {
		m := fresh
		c.change(&m)
		if got := m.isLive(now, minFailureTimeout); got != c.want {
			t.Errorf("%s: isLive = %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSlowReadsDoNotAgeARow(t *testing.T) {
	const slow = 2 * time.Second
	start := monotime.Instant(time.Hour)
	m := memberState{}
	row := memberRow{RefreshMS: minRowRefreshInterval.Milliseconds()}
	m.recordRow(7, row, start, start.Add(slow))
	m.recordRow(7, row, start.Add(slow), start.Add(2*slow))
	if age := m.rowUnchangedUntil.Sub(m.rowUnchangedSince); age > 0 {
		t.Errorf("row counts as unchanged for %v, want 0: the two reads prove no time between them", age)
	}
	m.recordRow(7, row, start.Add(3*slow), start.Add(4*slow))
	if age := m.rowUnchangedUntil.Sub(m.rowUnchangedSince); age != 2*slow {
		t.Errorf("row counts as unchanged for %v, want %v", age, 2*slow)
	}
}
