package config

import (
	"context"
	"errors"
	"time"

	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
)

// track adds the submission to the pending ones.
func (s *Store) track(sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[sub] = struct{}{}
}

// untrack removes the submission, unless its outcome is unknown: it then stays until a read of the head resolves it.
func (s *Store) untrack(sub *submission, result SubmitResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Status == StatusUnknown {
		sub.abandonedAt = s.opts.Clock.Now()
		return
	}
	delete(s.pending, sub)
}

// resolvePendingLocked drops the abandoned submissions that a read of the head, begun at started, has resolved: the head
// has moved past their base, or has not done so pendingTimeout after they were abandoned. s.mu is held.
func (s *Store) resolvePendingLocked(headVersion uint64, started monotime.Instant) {
	for sub := range s.pending {
		if sub.abandonedAt == 0 {
			continue
		}
		moved := headVersion > sub.patch.Base
		expired := started.Sub(sub.abandonedAt) > pendingTimeout
		if moved || expired {
			delete(s.pending, sub)
		}
	}
}

// patchInDoubtLocked reports whether a patch submitted here may have created a version newer than the local one. s.mu is
// held.
func (s *Store) patchInDoubtLocked() bool {
	for sub := range s.pending {
		if sub.inDoubt() && sub.patch.Base >= s.current.Version {
			return true
		}
	}
	return false
}

func (s *Store) setWriting(sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.writing = true
}

// clearWriting marks that no transaction is in flight any more; uncertain means that the last one may have been applied.
func (s *Store) clearWriting(sub *submission, uncertain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.writing = false
	sub.uncertain = sub.uncertain || uncertain
}

func (s *Store) isUncertain(sub *submission) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sub.uncertain
}

// recordHead records that the head named version at some instant after started.
func (s *Store) recordHead(version uint64, started monotime.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.recordHead(version, started)
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func isConflict(err error) bool    { return errors.Is(err, platformapi.ErrConflict) }
func isUncertain(err error) bool   { return errors.Is(err, platformapi.ErrUncertain) }
func isUnavailable(err error) bool { return errors.Is(err, platformapi.ErrUnavailable) }
func isNotFound(err error) bool    { return errors.Is(err, platformapi.ErrNotFound) }
