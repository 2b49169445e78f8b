package e2e

import (
	"flag"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/standin"
)

const (
	// freezeTime is longer than the test cell's lease ttl and than every expiry in the table.
	freezeTime = 9 * time.Second
	// outageTime is how long a fault of the platform or of a worker lasts.
	outageTime = 4 * time.Second
)

// fault is a failure that a test brings about while callers and operators are at work. It returns once it is over.
type fault struct {
	name string
	run  func(c *testCell, r *rand.Rand)
}

func faults() []fault {
	return []fault{
		{"daemon killed", killDaemon},
		{"daemon frozen", freezeDaemon},
		{"daemon stopped", stopDaemon},
		{"table down", tableFault(standin.TableFaults{Down: true})},
		{"table slow", tableFault(standin.TableFaults{Delay: 700 * time.Millisecond})},
		{"table answers lost", tableFault(standin.TableFaults{LoseAnswers: 40})},
		{"table writes late", tableFault(standin.TableFaults{ApplyLater: 10, ApplyLaterDelay: 2 * time.Second})},
		{"worker crashed", workerAction("crash")},
		{"runner restarted", workerAction("restart")},
		{"worker leaving", leaveWorker},
		{"worker frozen", freezeWorker},
		{"worker silent", workerFault(standin.WorkerFaults{Unresponsive: true})},
		{"worker unreachable", workerFault(standin.WorkerFaults{Unreachable: true})},
		{"answers dropped", workerFault(standin.WorkerFaults{DropAnswers: true})},
		{"answers cut short", workerFault(standin.WorkerFaults{TruncateAnswers: true})},
		{"every task fails", workerFault(standin.WorkerFaults{FailTasks: true})},
	}
}

// killDaemon kills a daemon, lets the balancer go on sending to it for a while, and replaces it.
func killDaemon(c *testCell, r *rand.Rand) {
	d := c.targets()[r.IntN(len(c.targets()))]
	d.kill()
	time.Sleep(time.Second)
	c.remove(d)
	c.addDaemon()
}

func freezeDaemon(c *testCell, r *rand.Rand) {
	d := c.targets()[r.IntN(len(c.targets()))]
	d.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	d.signal(syscall.SIGCONT)
}

// stopDaemon replaces a daemon by a planned stop.
func stopDaemon(c *testCell, r *rand.Rand) {
	c.addDaemon()
	d := c.targets()[r.IntN(len(c.targets())-1)]
	c.remove(d)
	d.signal(syscall.SIGTERM)
	<-d.done
}

func tableFault(f standin.TableFaults) func(*testCell, *rand.Rand) {
	return func(c *testCell, _ *rand.Rand) {
		c.setTableFaults(f)
		time.Sleep(outageTime)
		c.setTableFaults(standin.TableFaults{})
	}
}

func workerFault(f standin.WorkerFaults) func(*testCell, *rand.Rand) {
	return func(c *testCell, r *rand.Rand) {
		id := c.someWorker(r)
		c.setWorkerFaults(id, f)
		time.Sleep(outageTime)
		c.setWorkerFaults(id, standin.WorkerFaults{})
	}
}

func workerAction(action string) func(*testCell, *rand.Rand) {
	return func(c *testCell, r *rand.Rand) {
		c.actOnWorker(c.someWorker(r), action)
		time.Sleep(time.Second)
	}
}

// leaveWorker tells a worker to shut down and waits until new work on it would break the promise.
func leaveWorker(c *testCell, r *rand.Rand) {
	c.actOnWorker(c.someWorker(r), "leave")
	time.Sleep(bounds.MaxStartAfterNotice + time.Second)
}

// freezeWorker pauses a worker for longer than its leases last.
func freezeWorker(c *testCell, r *rand.Rand) {
	id := c.someWorker(r)
	c.actOnWorker(id, "freeze")
	time.Sleep(freezeTime)
	c.actOnWorker(id, "thaw")
}

// someWorker draws a worker of the pool that callers send to.
func (c *testCell) someWorker(r *rand.Rand) cell.WorkerID {
	ids := c.workerIDs("callsheet")
	return ids[r.IntN(len(ids))]
}

// test brings about one fault in a cell of its own and checks the history.
func (f fault) test(t *testing.T, seed uint64) {
	t.Parallel()
	w := startWorld(t, seed)
	w.callers.until(quietRequests)
	f.run(w.cell, rand.New(rand.NewPCG(seed, 7)))
	w.callers.more(quietRequests)
	w.check(t)
}

// pairSeeds fixes the pairs of faults that are brought about together in every run of the tests.
var pairSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// allPairs brings about each fault with each, itself included.
var allPairs = flag.Bool("all-pairs", false, "bring about every pair of faults")

func TestPairsOfFaults(t *testing.T) {
	all := faults()
	if *allPairs {
		for i := range all {
			for j := i; j < len(all); j++ {
				pairTest(t, all[i], all[j], uint64(1000+100*i+j))
			}
		}
		return
	}
	for _, seed := range pairSeeds {
		r := rand.New(rand.NewPCG(seed, 3))
		pairTest(t, all[r.IntN(len(all))], all[r.IntN(len(all))], seed)
	}
}

func pairTest(t *testing.T, a, b fault, seed uint64) {
	t.Run(a.name+" and "+b.name, func(t *testing.T) { testPair(t, a, b, seed) })
}

// testPair brings about two faults, the second at a moment drawn by the seed while the first is there.
func testPair(t *testing.T, a, b fault, seed uint64) {
	t.Parallel()
	w := startWorld(t, seed)
	w.callers.until(quietRequests)
	r := rand.New(rand.NewPCG(seed, 7))
	first, second := rand.New(rand.NewPCG(seed, 8)), rand.New(rand.NewPCG(seed, 9))
	var both sync.WaitGroup
	both.Go(func() { a.run(w.cell, first) })
	time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
	both.Go(func() { b.run(w.cell, second) })
	both.Wait()
	w.callers.more(quietRequests)
	w.check(t)
}

func TestEachFault(t *testing.T) {
	for i, f := range faults() {
		t.Run(f.name, func(t *testing.T) { f.test(t, uint64(100+i)) })
	}
}
