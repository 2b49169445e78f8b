package membership

import (
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
)

func TestLiveness(t *testing.T) {
	const now = monotime.Instant(time.Hour)
	fresh := observed{refresh: refreshMin, alive: now, rowSince: now, rowUntil: now}
	silentAt := now.Add(-silenceMin - 1)
	unchangedFrom := now.Add(-refreshMin - refreshSlack - 1)
	cases := []struct {
		name   string
		change func(o *observed)
		want   bool
	}{
		{"heard, row refreshed", func(*observed) {}, true},
		{"silent, row refreshed", func(o *observed) { o.alive = silentAt }, true},
		{"heard, row unchanged", func(o *observed) { o.rowSince = unchangedFrom }, true},
		{"silent, row unchanged", func(o *observed) { o.alive, o.rowSince = silentAt, unchangedFrom }, false},
		{"silent, row not read lately", func(o *observed) {
			o.alive, o.rowSince, o.rowUntil = silentAt, unchangedFrom, unchangedFrom
		}, true},
		{"refused once", func(o *observed) { o.refused = 1 }, true},
		{"refused twice", func(o *observed) { o.refused = 2 }, false},
		{"another answers at its address", func(o *observed) { o.replaced = true }, false},
	}
	for _, c := range cases {
		o := fresh
		c.change(&o)
		if got := o.live(now, silenceMin); got != c.want {
			t.Errorf("%s: live = %v, want %v", c.name, got, c.want)
		}
	}
}

func TestSlowReadingsDoNotAgeARow(t *testing.T) {
	const slow = 2 * time.Second
	start := monotime.Instant(time.Hour)
	o := observed{}
	row := memberRow{RefreshMS: refreshMin.Milliseconds()}
	o.noteRow(7, row, start, start.Add(slow))
	o.noteRow(7, row, start.Add(slow), start.Add(2*slow))
	if age := o.rowUntil.Sub(o.rowSince); age > 0 {
		t.Errorf("the row seems unchanged for %v, readings prove nothing yet", age)
	}
	o.noteRow(7, row, start.Add(3*slow), start.Add(4*slow))
	if age := o.rowUntil.Sub(o.rowSince); age != 2*slow {
		t.Errorf("the row seems unchanged for %v, want %v", age, 2*slow)
	}
}
