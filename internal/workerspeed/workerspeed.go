// Package workerspeed estimates the speeds of a pool's workers from the run times of tasks of the same step. It does no I/O and
// has no clock of its own.
//
// A run time is compared only with those of siblings, tasks of the same step, on other workers. An estimate of the run time that
// is wrong for a whole job therefore says nothing about a worker. All speeds are natural logarithms; 0 is the usual speed.
package workerspeed

import (
	"math"
	"slices"
	"time"

	"laburnumpoint/internal/monotime"
)

const (
	// forgettingTime is the time constant with which observations lose their weight.
	forgettingTime = 10 * time.Second
	// observationsKept bounds the observations of one worker. At two runs a second, a worker that turns slow has more than
	// half of its observations from after the change within about 5 s.
	observationsKept = 16
	// maxLogSpeed bounds one observation: a task that takes seven times as long as its siblings counts like one on a worker
	// of 0.41 times the usual speed.
	maxLogSpeed = 0.9
	// priorWeight is the weight, in observations, of the assumption that a worker has the usual speed.
	priorWeight = 1.0
	// centralBand is the share of the weight on either side of the median that the estimate must be robust against.
	centralBand = 0.1
	// minNoise is the least standard deviation that one observation is assumed to have.
	minNoise = 0.15
	// medianInefficiency is the ratio of the standard error of a median to that of a mean.
	medianInefficiency = 1.25
	// minSlowWeight is the least weight of a worker's observations for it to count as slow. Of six observations, four would
	// have to be outliers.
	minSlowWeight = 6.0
	// uncertaintiesBelow is how many times its uncertainty a worker's estimate has to be below the bound to count as slow.
	uncertaintiesBelow = 2.0
	// changeRun is how many observations in a row, all on the same side of the estimate, make the worker forget the earlier
	// ones. If 3% of the tasks are stragglers, as many in a row are expected once in 40 million runs.
	changeRun = 5
	// changedWeight is the least weight of a worker's observations for it to count as slow after changeRun such observations.
	changedWeight = 3.0
	// changeNoise is how many times the noise an observation must be off the estimate to speak for a change.
	changeNoise = 2.0
	// minRunTime is the shortest run time that is used. The times of orders and reports dominate shorter ones.
	minRunTime = 50 * time.Millisecond
)

// slowLogSpeed is the speed, relative to the pool's median, below which a worker counts as slow.
var slowLogSpeed = math.Log(0.85)

type observation struct {
	at               monotime.Instant
	logSpeed, weight float64
}

// Speed estimates the speed of one worker. The zero value is a worker without observations.
type Speed struct {
	// observations are the last ones, the oldest first.
	observations []observation
	// deviating counts the last observations in a row that were off the estimate on the same side; negative below it.
	deviating int
	// changed means that changeRun deviating observations were the last cause to forget others.
	changed  bool
	estimate float64
	weight   float64
	relative float64
	slow     bool
}

// Relative returns the estimated speed relative to the pool's median, as of the last Pool.Refresh.
func (s *Speed) Relative() float64 { return s.relative }

// Slow reports whether the worker counted as slow at the last Pool.Refresh.
func (s *Speed) Slow() bool { return s.slow }

// Observed reports whether the worker has any observations.
func (s *Speed) Observed() bool { return len(s.observations) > 0 }

// add adds an observation. threshold is how far off the estimate it speaks for a change of the worker's speed.
func (s *Speed) add(o observation, threshold float64) {
	if len(s.observations) == observationsKept {
		s.observations = append(s.observations[:0], s.observations[1:]...)
	}
	s.observations = append(s.observations, o)
	switch deviation := o.logSpeed - s.relative; {
	case deviation > threshold:
		s.deviating = max(s.deviating, 0) + 1
	case deviation < -threshold:
		s.deviating = min(s.deviating, 0) - 1
	default:
		s.deviating = 0
	}
	if max(s.deviating, -s.deviating) >= changeRun {
		s.observations = append(s.observations[:0], s.observations[len(s.observations)-changeRun:]...)
		s.deviating, s.changed = 0, true
	}
}

// update computes the estimate from the observations.
func (s *Speed) update(now monotime.Instant) {
	var weighted [observationsKept]observation
	n := copy(weighted[:], s.observations)
	s.weight = 0
	for i := range weighted[:n] {
		weighted[i].weight *= math.Exp(-float64(now.Sub(weighted[i].at)) / float64(forgettingTime))
		s.weight += weighted[i].weight
	}
	slices.SortFunc(weighted[:n], func(a, b observation) int {
		switch {
		case a.logSpeed < b.logSpeed:
			return -1
		case a.logSpeed > b.logSpeed:
			return 1
		}
		return 0
	})
	low := weightedQuantile(weighted[:n], (0.5-centralBand)*s.weight)
	high := weightedQuantile(weighted[:n], (0.5+centralBand)*s.weight)
	s.estimate = 0
	switch {
	case high < 0:
		s.estimate = high
	case low > 0:
		s.estimate = low
	}
	s.estimate *= s.weight / (s.weight + priorWeight)
}

// weightedQuantile returns the first of the sorted observations up to which the weights add up to the given one.
func weightedQuantile(sorted []observation, weight float64) float64 {
	sum := 0.0
	for _, o := range sorted {
		sum += o.weight
		if sum >= weight {
			return o.logSpeed
		}
	}
	return 0
}

// Pool holds what the estimates of one pool's workers have in common. The zero value is ready to use.
type Pool struct {
	median float64
	// residuals and weight are decaying sums over the observations, as of residualsAt.
	residuals, weight float64
	residualsAt       monotime.Instant
}

// noise returns the standard deviation of one observation.
func (p *Pool) noise() float64 {
	if p.weight == 0 {
		return minNoise
	}
	return max(minNoise, medianInefficiency*p.residuals/p.weight)
}

// observe adds an observation of a worker's speed.
func (p *Pool) observe(s *Speed, o observation) {
	o.logSpeed = min(maxLogSpeed, max(-maxLogSpeed, o.logSpeed))
	decay := math.Exp(-float64(o.at.Sub(p.residualsAt)) / float64(forgettingTime))
	p.residuals = p.residuals*decay + o.weight*math.Abs(o.logSpeed-s.relative)
	p.weight = p.weight*decay + o.weight
	p.residualsAt = o.at
	s.add(o, changeNoise*p.noise())
}

// Refresh brings the estimates of the pool's workers up to date. Speeds are relative to the median of those that have
// observations.
func (p *Pool) Refresh(now monotime.Instant, speeds []*Speed) {
	observed := make([]float64, 0, len(speeds))
	for _, s := range speeds {
		if s.Observed() {
			s.update(now)
			observed = append(observed, s.estimate)
		}
	}
	p.median = 0
	if len(observed) > 0 {
		slices.Sort(observed)
		p.median = observed[len(observed)/2]
	}
	noise := p.noise()
	for _, s := range speeds {
		if !s.Observed() {
			continue
		}
		s.relative = s.estimate - p.median
		if s.slow {
			s.slow = s.relative < slowLogSpeed
			continue
		}
		s.changed = s.changed && s.weight < minSlowWeight
		uncertainty := medianInefficiency * noise / math.Sqrt(s.weight+priorWeight)
		needed := minSlowWeight
		if s.changed {
			needed = changedWeight
		}
		s.slow = s.weight >= needed && s.relative+uncertaintiesBelow*uncertainty < slowLogSpeed
	}
}

// Run is a run that ended as done.
type Run struct {
	Worker *Speed
	Time   time.Duration
}

const (
	// maxBatch bounds the runs of a step that are compared with each other at once.
	maxBatch = 16
	// batchShare is the share of a step's tasks that are compared when they are done. The others may be stragglers, and the
	// observations should not wait for them.
	batchShare = 0.75
)

// Siblings collects the runs of one step. The zero value is ready to use.
type Siblings struct {
	runs []siblingRun
	// compared counts the runs that have been compared with the others.
	compared int
}

type siblingRun struct {
	worker  *Speed
	logTime float64
}

// TypicalTime returns the median run time of the siblings; ok is false if fewer than two are known.
func (b *Siblings) TypicalTime() (typical time.Duration, ok bool) {
	if len(b.runs) < 2 {
		return 0, false
	}
	times := make([]float64, len(b.runs))
	for i, r := range b.runs {
		times[i] = r.logTime
	}
	slices.Sort(times)
	return time.Duration(math.Exp(times[len(times)/2])), true
}

// Add adds a run of a step with the given number of tasks. open is how many of them are not done. Once enough siblings are known,
// runs are compared with those on other workers.
func (b *Siblings) Add(p *Pool, now monotime.Instant, r Run, tasks, open int) {
	if r.Time < minRunTime {
		return
	}
	if len(b.runs) == 2*maxBatch {
		b.runs = append(b.runs[:0], b.runs[maxBatch:]...)
		b.compared = max(0, b.compared-maxBatch)
	}
	b.runs = append(b.runs, siblingRun{r.Worker, math.Log(float64(r.Time))})
	batch := int(math.Ceil(min(maxBatch, batchShare*float64(tasks))))
	if open > 0 && len(b.runs) < batch {
		return
	}
	for ; b.compared < len(b.runs); b.compared++ {
		b.compare(p, now, b.runs[b.compared])
	}
}

// compare derives an observation from a run: by how much it was faster than its siblings on other workers, had these run at the
// usual speed.
func (b *Siblings) compare(p *Pool, now monotime.Instant, r siblingRun) {
	var others [2 * maxBatch]float64
	n := 0
	for _, sibling := range b.runs {
		if sibling.worker != r.worker {
			others[n] = sibling.logTime + sibling.worker.relative
			n++
		}
	}
	if n == 0 {
		return
	}
	slices.Sort(others[:n])
	reference := (others[(n-1)/2] + others[n/2]) / 2
	p.observe(r.worker, observation{now, reference - r.logTime, float64(n) / float64(n+1)})
}
