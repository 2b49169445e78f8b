package workerspeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"laburnumpoint/internal/monotime"
)

// pool drives the estimates of a pool's workers with steps of ten tasks.
type pool struct {
	Pool
	rng    *rand.Rand
	now    monotime.Instant
	speeds []*Speed
	actual []float64
}

func newPool(seed uint64, actual ...float64) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(seed, 1)), now: monotime.Instant(time.Second), actual: actual}
	for range actual {
		p.speeds = append(p.speeds, &Speed{})
	}
	return p
}

// run runs steps whose tasks take the time that usual returns, divided by their workers' speeds, and 0.1 s between the steps.
func (p *pool) run(steps int, usual func(task int) time.Duration) {
	for range steps {
		p.now = p.now.Add(100 * time.Millisecond)
		var siblings Siblings
		for i := range 10 {
			w := p.rng.IntN(len(p.speeds))
			noise := 0.95 + 0.1*p.rng.Float64()
			siblings.Add(&p.Pool, p.now, Run{p.speeds[w], time.Duration(noise * float64(usual(i)) / p.actual[w])}, 10, 9-i)
		}
		p.Refresh(p.now, p.speeds)
	}
}

func (p *pool) slow() (slow []int) {
	for i, s := range p.speeds {
		if s.Slow() {
			slow = append(slow, i)
		}
	}
	return slow
}

func second(int) time.Duration { return time.Second }

func equalSpeeds(n int) []float64 {
	speeds := make([]float64, n)
	for i := range speeds {
		speeds[i] = 1
	}
	return speeds
}

func TestSpeedIsFoundWhateverTheJobsTake(t *testing.T) {
	actual := equalSpeeds(20)
	actual[3] = 0.5
	p := newPool(1, actual...)
	usual := time.Second
	p.run(100, func(task int) time.Duration {
		if task == 0 {
			usual = time.Duration(float64(time.Second) * math.Pow(10, 2*p.rng.Float64()-1))
		}
		return usual
	})
	if slow := p.slow(); len(slow) != 1 || slow[0] != 3 {
		t.Errorf("slow: %v, want worker 3", slow)
	}
	if got := math.Exp(p.speeds[3].Relative()); got < 0.45 || got > 0.6 {
		t.Errorf("speed %.2f, want about 0.5", got)
	}
}

// A few tasks take seven times as long as their siblings. They must not make a worker slow, also not one of few observations.
func TestStragglingTasksMakeNoWorkerSlow(t *testing.T) {
	for seed := range uint64(8) {
		p := newPool(seed, equalSpeeds(250)...)
		for range 100 {
			p.run(10, func(int) time.Duration {
				if p.rng.Float64() < 0.03 {
					return 7 * time.Second
				}
				return time.Second
			})
			if slow := p.slow(); len(slow) > 0 {
				t.Fatalf("seed %d: slow: %v", seed, slow)
			}
		}
	}
}

// Runs of one worker only have nothing to be compared with.
func TestRunsOfOneWorkerSayNothing(t *testing.T) {
	p := newPool(1, 1)
	p.run(50, second)
	if p.speeds[0].Observed() {
		t.Error("a worker without siblings elsewhere has observations")
	}
}

func TestChangeOfSpeedIsFoundSoon(t *testing.T) {
	p := newPool(1, equalSpeeds(20)...)
	p.run(100, second)
	p.actual[0] = 0.5
	steps := 0
	for ; len(p.slow()) == 0 && steps < 100; steps++ {
		p.run(1, second)
	}
	if runs := float64(steps) * 10 / 20; runs > 10 {
		t.Errorf("found after about %.0f runs, want at most 10", runs)
	}
	p.actual[0] = 1
	for steps = 0; len(p.slow()) > 0 && steps < 100; steps++ {
		p.run(1, second)
	}
	if runs := float64(steps) * 10 / 20; runs > 10 {
		t.Errorf("recovery found after about %.0f runs, want at most 10", runs)
	}
}

// Without new observations a worker does not stay slow for ever.
func TestSlownessIsForgotten(t *testing.T) {
	actual := equalSpeeds(20)
	actual[0] = 0.5
	p := newPool(1, actual...)
	p.run(100, second)
	if len(p.slow()) != 1 {
		t.Fatalf("slow: %v, want one worker", p.slow())
	}
	p.Refresh(p.now.Add(time.Minute), p.speeds)
	if len(p.slow()) > 0 {
		t.Errorf("slow after a minute without runs: %v", p.slow())
	}
}

// Estimates correct each other: a common error of all must not grow.
func TestEstimatesDoNotDrift(t *testing.T) {
	p := newPool(1, equalSpeeds(20)...)
	p.run(5000, second)
	for i, s := range p.speeds {
		if math.Abs(s.estimate) > 0.1 {
			t.Errorf("worker %d: estimate %.3f after 5000 steps at equal speeds", i, s.estimate)
		}
	}
}
