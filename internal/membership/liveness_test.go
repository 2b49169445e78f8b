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
	silentAt := now.Add(-minSilenceLimit - 1)
	unchangedFrom := now.Add(-minRowRefreshInterval - rowRefreshSlack - 1)
	cases := []struct {
		name   string
		change func(m *memberState)
		want   bool
	}{
		{"heard, row refreshed", func(*memberState) {}, true},
		{"silent, row refreshed", func(m *memberState) { m.lastAlive = silentAt }, true},
		{"heard, row unchanged", func(m *memberState) { m.rowUnchangedSince = unchangedFrom }, true},
		{"silent, row unchanged", func(m *memberState) { m.lastAlive, m.rowUnchangedSince = silentAt, unchangedFrom }, false},
		{"silent, row not read lately", func(m *memberState) {
			m.lastAlive, m.rowUnchangedSince, m.rowUnchangedUntil = silentAt, unchangedFrom, unchangedFrom
		}, true},
		{"refused once", func(m *memberState) { m.refusedHeartbeats = 1 }, true},
		{"refused twice", func(m *memberState) { m.refusedHeartbeats = 2 }, false},
		{"another answers at its address", func(m *memberState) { m.replaced = true }, false},
	}
	for _, c := range cases {
		m := fresh
		c.change(&m)
		if got := m.isLive(now, minSilenceLimit); got != c.want {
			t.Errorf("%s: live = %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSlowReadingsDoNotAgeARow(t *testing.T) {
	const slow = 2 * time.Second
	start := monotime.Instant(time.Hour)
	m := memberState{}
	row := memberRow{RefreshMS: minRowRefreshInterval.Milliseconds()}
	m.recordRow(7, row, start, start.Add(slow))
	m.recordRow(7, row, start.Add(slow), start.Add(2*slow))
	if age := m.rowUnchangedUntil.Sub(m.rowUnchangedSince); age > 0 {
		t.Errorf("the row seems unchanged for %v, readings prove nothing yet", age)
	}
	m.recordRow(7, row, start.Add(3*slow), start.Add(4*slow))
	if age := m.rowUnchangedUntil.Sub(m.rowUnchangedSince); age != 2*slow {
		t.Errorf("the row seems unchanged for %v, want %v", age, 2*slow)
	}
}
