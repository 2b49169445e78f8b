package flowcontrol

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"laburnumpoint/internal/monotime"
)

func testOptions() Options {
	o := DefaultOptions()
	o.MinUnderWay, o.MaxUnderWay = 2, 16
	return o
}

// enter takes the places for a call to a server of its own.
func enter(ctx context.Context, g *Gate, class Class) error {
	return g.Join(class, NewServer()).Wait(ctx)
}

// observe notes n answers after the given time each, one every 10 ms from the start, and returns the time after the last.
func observe(g *Gate, start monotime.Instant, n int, took time.Duration) monotime.Instant {
	for range n {
		start = start.Add(10 * time.Millisecond)
		g.Observe(start, took)
	}
	return start
}

// The delay of a repeat follows the typical answer time: a caller that is behind repeats late, one that isn't repeats early
// although a part of the answers gets lost.
func TestRepeatDelayFollowsAnswerTimes(t *testing.T) {
	cases := map[string]struct {
		answer time.Duration
		lost   int // of 10 answers
		most   time.Duration
		least  time.Duration
	}{
		"fast answers":           {5 * time.Millisecond, 0, DefaultMinRepeatDelay, DefaultMinRepeatDelay},
		"a fifth lost":           {5 * time.Millisecond, 2, DefaultMinRepeatDelay, DefaultMinRepeatDelay},
		"two fifths lost":        {5 * time.Millisecond, 4, DefaultMinRepeatDelay, DefaultMinRepeatDelay},
		"a full link":            {100 * time.Millisecond, 0, 400 * time.Millisecond, 200 * time.Millisecond},
		"a full link, losses":    {100 * time.Millisecond, 2, 500 * time.Millisecond, 200 * time.Millisecond},
		"answers after a second": {time.Second, 0, maxRepeatDelay, maxRepeatDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewGate(testOptions())
			now := monotime.Instant(1)
			for i := range 500 {
				took := c.answer
				if i*7%10 < c.lost {
					took = g.Timeout()
				}
				now = observe(g, now, 1, took)
			}
			if delay := g.RepeatDelay(0, 0); delay < c.least || delay > c.most {
				t.Errorf("repeat after %s, want %s to %s", delay, c.least, c.most)
			}
			if timeout := g.Timeout(); timeout < c.answer || timeout < DefaultMinTimeout || timeout > maxTimeout {
				t.Errorf("calls are given up after %s", timeout)
			}
		})
	}
}

func TestRepeatDelayBacksOffAndWaitsForASlowServer(t *testing.T) {
	g := NewGate(testOptions())
	delays := []time.Duration{g.RepeatDelay(0, 0), g.RepeatDelay(1, 0), g.RepeatDelay(2, 0), g.RepeatDelay(3, 0)}
	if delays[1] != delays[0] || !slices.IsSorted(delays) || delays[3] <= delays[2] {
		t.Errorf("delays %v, want the first two equal and growing ones after them", delays)
	}
	if delay := g.RepeatDelay(0, 300*time.Millisecond); delay != 300*time.Millisecond {
		t.Errorf("repeat to a slow server after %s, want 300ms", delay)
	}
	if delay := g.RepeatDelay(20, 0); delay != maxRepeatDelay {
		t.Errorf("delay %s after many repeats, want %s", delay, maxRepeatDelay)
	}
}

// Repeats take from a budget that first calls fill, so that they never outnumber them for long.
func TestRepeatsStayWithinTheirBudget(t *testing.T) {
	g := NewGate(testOptions())
	calls, repeats := 0, 0
	for range 10_000 {
		if err := enter(t.Context(), g, Normal); err != nil {
			t.Fatal(err)
		}
		g.Leave()
		calls++
		for range 3 {
			if g.EnterRepeat(NewServer()) {
				g.Leave()
				repeats++
			}
		}
	}
	if most := int(DefaultRepeatRatio*float64(calls)) + maxRepeatBudget; repeats > most {
		t.Errorf("%d repeats of %d calls, want %d at most", repeats, calls, most)
	}
	if withheld := g.Stats().Withheld; withheld == 0 {
		t.Error("no repeat was withheld")
	}
}

// A repeat never takes the place that a first call could have.
func TestRepeatsDoNotWait(t *testing.T) {
	g := NewGate(testOptions())
	for range testOptions().MaxUnderWay {
		if err := enter(t.Context(), g, Normal); err != nil {
			t.Fatal(err)
		}
	}
	if g.EnterRepeat(NewServer()) {
		t.Error("a repeat was admitted beyond the bound")
	}
}

// The bound falls while answers take long, reports that it did, and rises again once they don't and calls wait.
func TestBoundFollowsAnswerTimes(t *testing.T) {
	g := NewGate(testOptions())
	var reported []int
	g.OnBoundChange = func(bound int, _ time.Duration, _ int) { reported = append(reported, bound) }
	for range 10 {
		if err := enter(t.Context(), g, Normal); err != nil {
			t.Fatal(err)
		}
	}
	now := observe(g, 1, 200, 2*slowAnswerTime)
	if bound := g.Stats().Bound; bound != testOptions().MinUnderWay {
		t.Errorf("bound %d with slow answers, want %d", bound, testOptions().MinUnderWay)
	}
	observe(g, now, 1000, 5*time.Millisecond)
	if bound := g.Stats().Bound; bound < 10 {
		t.Errorf("bound %d with fast answers and 10 calls under way, want 10 or more", bound)
	}
	if len(reported) < 4 || slices.Min(reported) != testOptions().MinUnderWay {
		t.Errorf("changes by half were reported as %v", reported)
	}
}

// Calls that wait for a place are admitted by class, and by arrival within one.
func TestWaitingCallsAreAdmittedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.MinUnderWay, o.MaxUnderWay = 1, 1
		g := NewGate(o)
		if err := enter(t.Context(), g, Normal); err != nil {
			t.Fatal(err)
		}
		var order []string
		for _, c := range []struct {
			name  string
			class Class
		}{{"start 1", Normal}, {"start 2", Normal}, {"gang", Urgent}, {"stop", Stop}} {
			go func() {
				if enter(t.Context(), g, c.class) == nil {
					order = append(order, c.name)
					g.Leave()
				}
			}()
			synctest.Wait()
		}
		g.Leave()
		synctest.Wait()
		if want := []string{"stop", "gang", "start 1", "start 2"}; !slices.Equal(order, want) {
			t.Errorf("admitted %v, want %v", order, want)
		}
		if stats := g.Stats(); stats.UnderWay != 0 || stats.Waiting != 0 {
			t.Errorf("%d calls under way and %d waiting at the end, want none", stats.UnderWay, stats.Waiting)
		}
	})
}

func TestCallWithoutAPlaceIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.MinUnderWay, o.MaxUnderWay = 1, 1
		g := NewGate(o)
		if err := enter(t.Context(), g, Normal); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := enter(ctx, g, Normal); err != ErrNoPlace {
			t.Errorf("error %v, want %v", err, ErrNoPlace)
		}
		g.Leave()
		if stats := g.Stats(); stats.UnderWay != 0 || stats.Waiting != 0 {
			t.Errorf("%d calls under way and %d waiting at the end, want none", stats.UnderWay, stats.Waiting)
		}
	})
}

// Guards against starts that are never sent: while more urgent ones came than places became free, those of long-running tasks waited until
// they were given up, again and again.
func TestUrgentCallsDoNotStarveLastingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.MinUnderWay, o.MaxUnderWay = 1, 1
		g := NewGate(o)
		if err := enter(t.Context(), g, Normal); err != nil {
			t.Fatal(err)
		}
		const calls = 40
		var order []Class
		for _, class := range []Class{Normal, Lasting, Urgent} {
			for range calls {
				call := g.Join(class, NewServer())
				go func() {
					if call.Wait(t.Context()) == nil {
						order = append(order, class)
						g.Leave()
					}
				}()
			}
		}
		g.Leave()
		synctest.Wait()
		lasting := 0
		for _, class := range order[:calls] {
			if class == Lasting {
				lasting++
			}
		}
		if lasting < calls/5 || lasting > calls/3 {
			t.Errorf("%d of the first %d calls are lasting, want a fifth to a third", lasting, calls)
		}
	})
}
