package standin

import (
	"fmt"

	"laburnumpoint/internal/cell"
)

// slotsPerWorker is the number of slots of every worker.
const slotsPerWorker = 8

// Conversions of cores and gigabytes to the units of cell.Resources.
const (
	milliPerCore = 1000
	mibPerGB     = 1024
)

// Shape describes the workers of one office.
type Shape struct {
	// Zones are the availability zones. Racks are assigned to them in turn.
	Zones []string
	Pools []PoolShape
}

// PoolShape describes a pool of equal workers.
type PoolShape struct {
	Name string
	// Workers is the number of workers in the pool.
	Workers int
	// PerRack is the highest number of workers on one rack.
	PerRack int
	// Capacity is the capacity of one worker.
	Capacity cell.Resources
}

// Shapes returns the shape of each office by the office's name.
func Shapes() map[string]Shape {
	return map[string]Shape{
		"galwad": {
			Zones: []string{"cardiff", "swansea", "wrexham", "aberystwyth"},
			Pools: []PoolShape{
				{Name: "callsheet", Workers: 35, PerRack: 4, Capacity: capacity(64, 128, 0)},
				{Name: "media", Workers: 13, PerRack: 3, Capacity: capacity(32, 64, 8)},
			},
		},
		"rimac": {
			Zones: []string{"barranco", "lince", "jesus-maria", "brena"},
			Pools: []PoolShape{
				{Name: "exchange", Workers: 35, PerRack: 4, Capacity: capacity(32, 64, 0)},
				{Name: "imaging", Workers: 13, PerRack: 3, Capacity: capacity(128, 256, 8)},
			},
		},
	}
}

// TotalWorkers returns the number of workers over all pools.
func (s Shape) TotalWorkers() int {
	total := 0
	for _, p := range s.Pools {
		total += p.Workers
	}
	return total
}

// Scaled returns a copy with about n workers over all pools. Pools keep their proportions and have at least one worker.
func (s Shape) Scaled(n int) Shape {
	total := s.TotalWorkers()
	scaled := Shape{Zones: s.Zones}
	for _, p := range s.Pools {
		p.Workers = max(1, (p.Workers*n+total/2)/total)
		scaled.Pools = append(scaled.Pools, p)
	}
	return scaled
}

// Workers returns the shape's workers, without addresses. Each id starts with prefix.
func (s Shape) Workers(prefix string) []cell.Worker {
	var workers []cell.Worker
	rack := 0
	for _, p := range s.Pools {
		for i := range p.Workers {
			if i > 0 && i%p.PerRack == 0 {
				rack++
			}
			workers = append(workers, cell.Worker{
				ID:       cell.WorkerID(fmt.Sprintf("%s%s-%d", prefix, p.Name, i+1)),
				Zone:     s.Zones[rack%len(s.Zones)],
				Rack:     fmt.Sprintf("%s-rack-%d", s.Zones[rack%len(s.Zones)], rack/len(s.Zones)+1),
				Pool:     p.Name,
				Capacity: p.Capacity,
				State:    cell.WorkerLive,
			})
		}
		rack++
	}
	return workers
}

func capacity(cores, memoryGB, accelerators int64) cell.Resources {
	return cell.Resources{
		MilliCPU:     cores * milliPerCore,
		MemoryMiB:    memoryGB * mibPerGB,
		Accelerators: accelerators,
		Slots:        slotsPerWorker,
	}
}
