package owner

import (
	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/dispatch"
)

// localityCounters count the tasks that waited for room on a rack.
type localityCounters struct{ begun, kept, givenUp, won, lost *metrics.Counter }

func newLocalityCounters(set *metrics.Set) localityCounters {
	counter := func(outcome string) *metrics.Counter {
		return set.NewCounter(`laburnumpoint_rack_waits_total{outcome="` + outcome + `"}`)
	}
	return localityCounters{counter("begun"), counter("kept"), counter("given_up"), counter("won"), counter("lost")}
}

// recordLocality logs the waits for room on a rack that began or ended, and updates their counters.
func (c *controller) recordLocality() {
	for _, event := range c.engine.TakeLocalityEvents() {
		line := c.Log.Info().Str("job", string(event.Step.Job)).Int("occurrence", event.Step.Occurrence).Int("step", event.Step.Step).
			Str("rack", event.Rack).Int("tasks", event.Tasks).Dur("gain", event.Gain).Dur("deadline", event.Deadline)
		if event.End == dispatch.WaitBegun {
			line.Msg("rack wait began")
			continue
		}
		line.Str("outcome", string(event.End)).Int("kept", event.Kept).Dur("waited", event.Waited).Msg("rack wait ended")
	}
	now := c.engine.LocalityStats()
	before := c.localityRecorded
	c.localityRecorded = now
	add := func(counter *metrics.Counter, now, before uint64) { counter.Add(int(now - before)) }
	add(c.instruments.locality.begun, now.Begun, before.Begun)
	add(c.instruments.locality.kept, now.Kept, before.Kept)
	add(c.instruments.locality.givenUp, now.GivenUp, before.GivenUp)
	add(c.instruments.locality.won, now.Won, before.Won)
	add(c.instruments.locality.lost, now.Lost, before.Lost)
}
