package overload

import "math"

const (
	// ratioCount is how many steps of a queue Ratios holds: enough to see errors that one job in a few dozen has.
	ratioCount = 64
	// minRatios is the number of steps below which nothing is concluded from them.
	minRatios = 16
	// unknownError is the factor by which run times may differ from their estimates, either way, while that is not known.
	unknownError = 10.0
	// uncertaintyDeviations is the number of standard deviations between the expected and the low end of an amount of work.
	uncertaintyDeviations = 2.0
)

// Ratios holds the ratios of run times to their estimates in the last steps of one queue. The zero value is empty.
type Ratios struct {
	mean, longest [ratioCount]float64
	count, next   int
}

// Add adds the ratios of one step: of the mean and of the longest run time of its tasks to their estimate.
func (r *Ratios) Add(mean, longest float64) {
	r.mean[r.next], r.longest[r.next] = mean, longest
	r.next = (r.next + 1) % ratioCount
	r.count = min(r.count+1, ratioCount)
}

// Work returns the factors from the estimated work of the given number of jobs to the expected work and to its low end. The errors
// of single jobs partly cancel out in the sum.
func (r *Ratios) Work(jobs int) (expected, low float64) {
	if r.count < minRatios || jobs == 0 {
		return 1, 1 / unknownError
	}
	sum, squares := 0.0, 0.0
	for _, ratio := range r.mean[:r.count] {
		sum += ratio
		squares += ratio * ratio
	}
	n := float64(r.count)
	expected = sum / n
	deviation := math.Sqrt(max(0, squares/n-expected*expected)) * math.Sqrt(1/float64(jobs)+1/n)
	return expected, max(expected/unknownError, expected-uncertaintyDeviations*deviation)
}

// High returns the factor from an estimated run time to the longest one that may be meant by it.
func (r *Ratios) High() float64 {
	if r.count < minRatios {
		return unknownError
	}
	high := 1.0
	for _, ratio := range r.longest[:r.count] {
		high = max(high, ratio)
	}
	return high
}
