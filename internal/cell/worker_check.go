package cell

import (
	"errors"
	"fmt"

	"laburnumpoint/internal/netaddr"
)

// maxAmount bounds each resource of a worker, so that sums over all workers don't overflow.
const maxAmount = 1 << 40

var errIncompleteWorker = errors.New("no id, no pool, or a state that is none")

// Validate returns the first reason why an entry of the platform's list describes no worker, or nil.
func (w *Worker) Validate() error {
	if w.ID == "" || w.Pool == "" || (w.State != WorkerLive && w.State != WorkerLeaving && w.State != WorkerGone) {
		return errIncompleteWorker
	}
	if err := netaddr.Check(w.Addr); err != nil {
		return err
	}
	c := w.Capacity
	for _, amount := range []int64{c.MilliCPU, c.MemoryMiB, c.Accelerators, c.Slots} {
		if amount < 0 || amount > maxAmount {
			return fmt.Errorf("capacity of %d of one resource, want 0 to %d", amount, int64(maxAmount))
		}
	}
	return nil
}
