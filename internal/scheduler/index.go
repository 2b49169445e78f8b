package scheduler

import (
	"math/bits"

	"laburnumpoint/internal/cell"
)

const (
	// dimensions is the number of dimensions of cell.Resources.
	dimensions = 4
	// indexLevels is the number of levels into which an index divides each dimension.
	indexLevels = 32
	// wordBits is the number of workers that one word of a bit set covers.
	wordBits = 64
)

// amounts is a cell.Resources indexed by dimension.
type amounts [dimensions]int64

func amountsOf(r cell.Resources) amounts {
	return amounts{r.MilliCPU, r.MemoryMiB, r.Accelerators, r.Slots}
}

// capacityIndex finds workers by capacity. For each dimension and level it has the set of the workers whose capacity
// reaches the level, so that the workers that may fit a claim are the intersection of four bit sets.
// Levels round down: a search may visit workers that don't fit, and never misses one that does.
type capacityIndex struct {
	// limit is the amount of each dimension that has the highest level.
	limit amounts
	// levels is the level of each worker in each dimension.
	levels [][dimensions]int8
	// reach is the bit set of the workers that reach a level, count how many they are.
	reach [dimensions][indexLevels][]uint64
	count [dimensions][indexLevels]int
}

// absent is the level of a worker that is in no set.
const absent int8 = -1

func newCapacityIndex(limit amounts, workers int) *capacityIndex {
	x := &capacityIndex{limit: limit}
	x.grow(workers)
	return x
}

func (x *capacityIndex) grow(workers int) {
	for len(x.levels) < workers {
		x.levels = append(x.levels, [dimensions]int8{absent, absent, absent, absent})
	}
	words := (workers + wordBits - 1) / wordBits
	for d := range dimensions {
		for l := range indexLevels {
			for len(x.reach[d][l]) < words {
				x.reach[d][l] = append(x.reach[d][l], 0)
			}
		}
	}
}

// set records the capacity of the worker at pos. No search finds a worker that is not present.
func (x *capacityIndex) set(pos int, available cell.Resources, present bool) {
	present = present && !available.Negative()
	for d, v := range amountsOf(available) {
		to := absent
		if present {
			to = x.levelOf(d, v)
		}
		x.move(pos, d, to)
	}
}

// move changes the level of the worker at pos in dimension d.
func (x *capacityIndex) move(pos, d int, to int8) {
	from := x.levels[pos][d]
	word, bit := pos/wordBits, uint64(1)<<(pos%wordBits)
	for l := from + 1; l <= to; l++ {
		x.reach[d][l][word] |= bit
		x.count[d][l]++
	}
	for l := to + 1; l <= from; l++ {
		x.reach[d][l][word] &^= bit
		x.count[d][l]--
	}
	x.levels[pos][d] = to
}

func (x *capacityIndex) levelOf(d int, v int64) int8 {
	if x.limit[d] <= 0 {
		return int8(min(max(v, 0), indexLevels-1))
	}
	return int8(min(v*(indexLevels-1)/x.limit[d], indexLevels-1))
}

// search visits the workers that may fit claim, one level of the claim's dominant dimension after the other, the least
// capacity first. A level ends when visit returns false; the search ends after a level for which done returns true.
func (x *capacityIndex) search(claim cell.Resources, visit func(pos int) bool, done func() bool) {
	var need [dimensions]int8
	for d, v := range amountsOf(claim) {
		need[d] = x.levelOf(d, v)
	}
	dominant := x.dominantDimension(claim)
	for l := need[dominant]; l < indexLevels; l++ {
		x.searchLevel(need, dominant, l, visit)
		if done() {
			return
		}
	}
}

func (x *capacityIndex) searchLevel(need [dimensions]int8, dominant int, l int8, visit func(pos int) bool) {
	top := l == indexLevels-1
	if x.count[dominant][l] == 0 || !top && x.count[dominant][l] == x.count[dominant][l+1] {
		return
	}
	for word, set := range x.reach[dominant][l] {
		if !top {
			set &^= x.reach[dominant][l+1][word]
		}
		for d := 0; d < dimensions && set != 0; d++ {
			if d != dominant {
				set &= x.reach[d][need[d]][word]
			}
		}
		for ; set != 0; set &= set - 1 {
			if !visit(word*wordBits + bits.TrailingZeros64(set)) {
				return
			}
		}
	}
}

// dominantDimension returns the dimension of which claim takes the largest fraction.
func (x *capacityIndex) dominantDimension(claim cell.Resources) int {
	dominant, largest := 0, -1.0
	for d, v := range amountsOf(claim) {
		if x.limit[d] <= 0 {
			continue
		}
		if fraction := float64(v) / float64(x.limit[d]); fraction > largest {
			dominant, largest = d, fraction
		}
	}
	return dominant
}
