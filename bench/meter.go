package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumpoint/internal/cell"
)

// Packing is the use of one pool. Used, ScarcestUsed and ScarcestBound are summed over the time in which tasks waited for the
// pool, OverallUsed over the whole run; all are shares of the capacity times seconds.
type Packing struct {
	// Used is the share in use of each dimension: processors, memory, accelerators, slots.
	Used [4]float64
	// ScarcestUsed is the share in use of the dimension with the highest demand at each time, running and waiting tasks together.
	ScarcestUsed float64
	// ScarcestBound is the highest possible ScarcestUsed if every task could be divided among workers arbitrarily.
	ScarcestBound float64
	// WaitingTime is how long at least one task waited for the pool.
	WaitingTime time.Duration
	// OverallUsed is the share in use of each dimension, less what restores after stops take.
	OverallUsed [4]float64
}

// Result holds the measurements of one Run.
type Result struct {
	// WaitTimes holds, by class label, the times from arrival to first start. The time of a task that did not start ends at the
	// horizon.
	WaitTimes map[string][]time.Duration
	// Unstarted counts, by class label, the tasks that did not start.
	Unstarted map[string]int
	// Starved counts, by class label, the tasks that arrived in the first half and did not start.
	Starved    map[string]int
	Pools      map[string]*Packing
	Placements int
	// Overcommitted counts the placements after which the claims on a worker exceeded its capacity.
	Overcommitted int
	Stops         int
	// RestoreCost is the time spent on restores after stops, and CostWithoutCheckpoints the run time that the stops would have
	// lost without checkpoints. Both are weighted by the dominant share of the cell that the stopped task claims.
	RestoreCost            time.Duration
	CostWithoutCheckpoints time.Duration
	// Refused counts the tasks that the scheduler did not admit.
	Refused int
	// TeamUsage is the dominant share of the cell that each team used, times seconds, from the end of the warm-up.
	TeamUsage map[string]float64
	horizon   time.Duration
}

// poolMeter measures the packing of one pool. The dimensions are those of Packing.Used.
type poolMeter struct {
	capacity     [4]int64
	used         [4]int64
	queued       [4]int64
	waitingTasks int
	packing      *Packing
}

// meter measures one run.
type meter struct {
	result      *Result
	pools       map[string]*poolMeter
	poolNames   []string
	capacity    cell.Resources
	horizon     time.Duration
	lastAdvance time.Time
	measureFrom time.Time
	teamUsed    map[string]cell.Resources
	free        map[cell.WorkerID]cell.Resources
	poolOf      map[cell.WorkerID]string
}

func newMeter(workload *Workload) *meter {
	m := &meter{
		pools: make(map[string]*poolMeter), horizon: workload.Horizon, lastAdvance: StartTime, measureFrom: StartTime.Add(workload.Warmup), teamUsed: make(map[string]cell.Resources), free: make(map[cell.WorkerID]cell.Resources), poolOf: make(map[cell.WorkerID]string),
		result: &Result{
			WaitTimes: make(map[string][]time.Duration), Unstarted: make(map[string]int), Starved: make(map[string]int),
			Pools: make(map[string]*Packing), TeamUsage: make(map[string]float64), horizon: workload.Horizon,
		},
	}
	for _, w := range workload.Workers {
		m.capacity = m.capacity.Add(w.Capacity)
		m.free[w.ID] = w.Capacity
		m.poolOf[w.ID] = w.Pool
		if m.pools[w.Pool] == nil {
			m.result.Pools[w.Pool] = &Packing{}
			m.pools[w.Pool] = &poolMeter{packing: m.result.Pools[w.Pool]}
			m.poolNames = append(m.poolNames, w.Pool)
		}
		addTo(&m.pools[w.Pool].capacity, w.Capacity, 1)
	}
	return m
}

// addTo adds r, n times, to the sums of the four dimensions.
func addTo(sum *[4]int64, r cell.Resources, n int64) {
	sum[0] += n * r.MilliCPU
	sum[1] += n * r.MemoryMiB
	sum[2] += n * r.Accelerators
	sum[3] += n * r.Slots
}

// advance adds the time since the last event to the sums.
func (m *meter) advance(to time.Time) {
	dt := to.Sub(m.lastAdvance).Seconds()
	m.lastAdvance = to
	for _, p := range m.pools {
		p.advance(dt)
	}
	if m.lastAdvance.Before(m.measureFrom) {
		return
	}
	for team, used := range m.teamUsed {
		m.result.TeamUsage[team] += dt * used.DominantShare(m.capacity)
	}
}

func (p *poolMeter) advance(dt float64) {
	for d, c := range p.capacity {
		p.packing.OverallUsed[d] += dt * ratio(p.used[d], c)
	}
	if p.waitingTasks == 0 {
		return
	}
	p.packing.WaitingTime += time.Duration(dt * float64(time.Second))
	scarcest, maxDemand := 0, 0.0
	for d, c := range p.capacity {
		if c == 0 {
			continue
		}
		p.packing.Used[d] += dt * float64(p.used[d]) / float64(c)
		if share := float64(p.used[d]+p.queued[d]) / float64(c); share > maxDemand {
			scarcest, maxDemand = d, share
		}
	}
	p.packing.ScarcestUsed += dt * float64(p.used[scarcest]) / float64(p.capacity[scarcest])
	p.packing.ScarcestBound += dt * min(1, maxDemand)
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// addQueued records that a task starts (n = 1) or stops (n = -1) waiting. A task that names no pool counts for no pool's
// packing while it waits.
func (m *meter) addQueued(t cell.Task, n int64) {
	p := m.pools[t.Pool]
	if p == nil {
		return
	}
	addTo(&p.queued, t.Claim, n)
	p.waitingTasks += int(n)
}

// addPlaced records that a task is placed on a worker (n = 1) or leaves it (n = -1).
func (m *meter) addPlaced(t cell.Task, w cell.WorkerID, n int64) {
	addTo(&m.pools[m.poolOf[w]].used, t.Claim, n)
	if n > 0 {
		m.free[w] = m.free[w].Sub(t.Claim)
		if m.free[w].Negative() {
			m.result.Overcommitted++
		}
		m.result.Placements++
		m.teamUsed[t.Team] = m.teamUsed[t.Team].Add(t.Claim)
		return
	}
	m.free[w] = m.free[w].Add(t.Claim)
	m.teamUsed[t.Team] = m.teamUsed[t.Team].Sub(t.Claim)
}

// classLabel returns the class of a task; gangs have a label of their own in each class.
func classLabel(t cell.Task) string {
	if t.GangSize > 1 {
		return string(t.Class) + " gang"
	}
	return string(t.Class)
}

func (m *meter) recordWait(t cell.Task, d time.Duration) {
	m.result.WaitTimes[classLabel(t)] = append(m.result.WaitTimes[classLabel(t)], d)
}

func (m *meter) recordUnstarted(t cell.Task, d time.Duration) {
	m.recordWait(t, d)
	m.result.Unstarted[classLabel(t)]++
	if d >= m.horizon/2 {
		m.result.Starved[classLabel(t)]++
	}
}

func (m *meter) recordStop(t cell.Task, w cell.WorkerID, ran time.Duration) {
	m.result.Stops++
	var claimed [4]int64
	addTo(&claimed, t.Claim, 1)
	p := m.pools[m.poolOf[w]]
	for d, c := range p.capacity {
		p.packing.OverallUsed[d] -= restoreTime.Seconds() * ratio(claimed[d], c)
	}
	share := t.Claim.DominantShare(m.capacity)
	m.result.RestoreCost += time.Duration(share * float64(restoreTime))
	m.result.CostWithoutCheckpoints += time.Duration(share * float64(ran))
}

// WaitQuantile returns a quantile, given as a fraction between 0 and 1, of the wait times of one class label.
func (r *Result) WaitQuantile(class string, quantile float64) time.Duration {
	waits := r.WaitTimes[class]
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(int(quantile*float64(len(waits))), len(waits)-1)]
}

// PackingRatio returns the sum of ScarcestUsed over the sum of ScarcestBound of all pools. A pool counts by how long tasks
// waited for it.
func (r *Result) PackingRatio() float64 {
	scarce, bound := 0.0, 0.0
	for _, p := range r.Pools {
		scarce += p.ScarcestUsed
		bound += p.ScarcestBound
	}
	if bound == 0 {
		return 1
	}
	return scarce / bound
}

// OverallPacking returns the average share in use of the pool's most used dimension over the whole run, less restores.
func (r *Result) OverallPacking(pool string) float64 {
	return slices.Max(r.Pools[pool].OverallUsed[:]) / r.horizon.Seconds()
}

// String formats the result as a table.
func (r *Result) String() string {
	var b strings.Builder
	classes := make([]string, 0, len(r.WaitTimes))
	for c := range r.WaitTimes {
		classes = append(classes, c)
	}
	slices.Sort(classes)
	for _, c := range classes {
		fmt.Fprintf(&b, "  %-12s n=%-6d p50=%-10s p99=%-10s max=%-10s unstarted=%d starved=%d\n", c, len(r.WaitTimes[c]),
			r.WaitQuantile(c, 0.5).Round(time.Millisecond), r.WaitQuantile(c, 0.99).Round(time.Millisecond), r.WaitQuantile(c, 1).Round(time.Millisecond), r.Unstarted[c], r.Starved[c])
	}
	pools := make([]string, 0, len(r.Pools))
	for p := range r.Pools {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	for _, name := range pools {
		p := r.Pools[name]
		s := max(p.WaitingTime.Seconds(), 1)
		fmt.Fprintf(&b, "  %-12s waiting %s: cpu %.3f mem %.3f acc %.3f slots %.3f, scarcest %.3f of bound %.3f; whole run %.4f\n", name,
			p.WaitingTime.Round(time.Second), p.Used[0]/s, p.Used[1]/s, p.Used[2]/s, p.Used[3]/s, p.ScarcestUsed/s, p.ScarcestBound/s, r.OverallPacking(name))
	}
	fmt.Fprintf(&b, "  packing/bound %.4f, placements %d, stops %d, cell time redone %s, at risk %s, refused %d\n",
		r.PackingRatio(), r.Placements, r.Stops, r.RestoreCost.Round(time.Millisecond), r.CostWithoutCheckpoints.Round(time.Second), r.Refused)
	return b.String()
}
