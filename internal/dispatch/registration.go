package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"laburnumpoint/internal/netaddr"
)

// Bounds of a worker's entry in the registry.
const (
	// maxNameBytes bounds a worker's names, as the store does those of its rows.
	maxNameBytes = 200
	// maxLabels bounds the labels of a worker.
	maxLabels = 64
	// maxClockAhead is how far the clock of a worker's VM may be ahead.
	maxClockAhead = time.Hour
)

var (
	errInvalidID    = errors.New("id has characters that can't be sent in a header, or is empty or too long")
	errInvalidNames = fmt.Errorf("no pool, or a name of more than %d bytes, or more than %d labels", maxNameBytes, maxLabels)
)

// Validate returns the first reason why an entry of the registry names no worker, or nil. now is the time of day, since the Unix epoch.
func (w *Worker) Validate(now time.Duration) error {
	if len(w.ID) == 0 || len(w.ID) > maxNameBytes || strings.ContainsFunc(string(w.ID), func(r rune) bool { return r <= ' ' || r > '~' }) {
		return errInvalidID
	}
	if w.Pool == "" || len(w.Labels) > maxLabels {
		return errInvalidNames
	}
	for _, name := range append([]string{w.Pool, w.Zone, w.Rack}, w.Labels...) {
		if len(name) > maxNameBytes {
			return errInvalidNames
		}
	}
	if err := netaddr.Check(w.Address); err != nil {
		return err
	}
	if err := w.Capacity.CheckRange(); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	if w.ProcessStart < 0 || w.ProcessStart > now+maxClockAhead {
		return fmt.Errorf("process start %s since 1970, want 0 to the present", w.ProcessStart)
	}
	return nil
}
