package config

import (
	"context"
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platform"
)

const (
	// maxStoredVersions is how many versions and patch ids stay in the table.
	maxStoredVersions = 2_000
	maxHistoryEntries = 100
	// submitRetryAfter is when an operator whose patch was not run is told to come back.
	submitRetryAfter = 5 * time.Second
	// resolveInterval is the time between two attempts to learn what became of an uncertain write.
	resolveInterval = 100 * time.Millisecond
	// pendingTimeout is the time after which a write that the head does not show is taken as never applied.
	pendingTimeout = 60 * time.Second
)

// ReasonStaleBase means that the patch's base is not the version in force.
const ReasonStaleBase cell.ReasonCode = "stale_base"

// Status is what became of a patch.
type Status string

// What may become of a patch.
const (
	// StatusAccepted means that the patch became a version and was in force.
	StatusAccepted Status = "accepted"
	// StatusRefused means that the patch did not and will not take effect.
	StatusRefused Status = "refused"
	// StatusNotRun means that the patch did not take effect because the table did not answer; it may be sent again.
	StatusNotRun Status = "not_run"
	// StatusUnknown means that the patch may have taken effect; sent again under its id, it is settled.
	StatusUnknown Status = "unknown"
)

// SubmitResult says what became of a patch.
type SubmitResult struct {
	Status Status
	// Version is the patch's own version if accepted, else the version in force as far as known.
	Version uint64
	Reason  cell.Reason
	// RetryAfter tells when to come back, if that can help.
	RetryAfter time.Duration
	// Document is the document after the patch, if there is one.
	Document *Document
}

// submission is a patch on its way into the table. The store's mutex guards writing, uncertain and abandoned.
type submission struct {
	patch Patch
	// writing means that a transaction is in flight.
	writing bool
	// uncertain means that an earlier transaction may have been or may yet be applied.
	uncertain bool
	// abandonedAt is when the submitter gave up without knowing; zero before.
	abandonedAt monotime.Instant
}

// inDoubt reports whether the patch may be in force without this process knowing.
func (sub *submission) inDoubt() bool {
	return sub.writing || sub.uncertain
}

// Submit makes the patch the version after its base, or refuses it whole. It returns when ctx ends at the latest.
func (s *Store) Submit(ctx context.Context, p Patch) SubmitResult {
	if err := p.validate(); err != nil {
		return s.refuse(cell.ReasonInvalid, err.Error())
	}
	sub := &submission{patch: p}
	s.track(sub)
	result := s.submit(ctx, sub)
	s.untrack(sub, result)
	if result.Status == StatusAccepted && s.opts.OnAccepted != nil {
		s.opts.OnAccepted()
	}
	return result
}

// submit attempts until the outcome is known or ctx ends.
func (s *Store) submit(ctx context.Context, sub *submission) SubmitResult {
	for {
		result, done := s.trySubmit(ctx, sub)
		if done {
			return result
		}
		if !sleep(ctx, resolveInterval) {
			return s.timeoutResult(sub)
		}
	}
}

// trySubmit reads the facts, then writes if the patch is still possible. It reports false if another trySubmit may settle
// the outcome.
//
// The head is read before the patch row: once the head has moved from the base, no write of this patch can be applied
// any more, so a patch row still absent after that is proof that it never was.
func (s *Store) trySubmit(ctx context.Context, sub *submission) (SubmitResult, bool) {
	head, headRowVersion, err := s.readHead(ctx)
	if err != nil {
		return s.tableUnreachable(sub, err)
	}
	_ = s.loadVersion(ctx, head.Version) // what becomes of the patch does not depend on it
	result, known, err := s.findPatch(ctx, sub)
	if err != nil {
		return s.tableUnreachable(sub, err)
	}
	if known {
		return result, true
	}
	if head.Version != sub.patch.Base {
		return s.refuseStaleBase(sub.patch.Base, head.Version), true
	}
	return s.write(ctx, sub, headRowVersion)
}

// findPatch reports what the table says of the patch id.
func (s *Store) findPatch(ctx context.Context, sub *submission) (SubmitResult, bool, error) {
	var row patchRow
	rowVersion, err := platform.ReadRow(ctx, s.opts.Table, patchKey(sub.patch.ID), &row)
	if err != nil || rowVersion == 0 {
		return SubmitResult{}, false, err
	}
	if row.Digest != sub.patch.digest() {
		detail := fmt.Sprintf("patch id %q was used for another patch, which became version %d", sub.patch.ID, row.Version)
		return s.refuse(cell.ReasonDuplicateKey, detail), true, nil
	}
	return SubmitResult{Status: StatusAccepted, Version: row.Version}, true, nil
}

// refuseStaleBase refuses a patch against base because version is in force.
func (s *Store) refuseStaleBase(base, version uint64) SubmitResult {
	detail := fmt.Sprintf("base version is %d, version in force is %d", base, version)
	result := s.refuse(ReasonStaleBase, detail)
	result.Version = version
	return result
}

// write validates the patch against its base and moves the head by one conditional transaction.
func (s *Store) write(ctx context.Context, sub *submission, headRowVersion uint64) (SubmitResult, bool) {
	base, err := s.documentAt(ctx, sub.patch.Base)
	if err != nil {
		return s.tableUnreachable(sub, err)
	}
	next, err := sub.patch.apply(base)
	if err != nil {
		return s.refuse(cell.ReasonInvalid, err.Error()), true
	}
	ops, err := s.transactionOps(ctx, sub.patch, headRowVersion, next)
	if err != nil {
		return s.tableUnreachable(sub, err)
	}
	started := s.opts.Clock.Now()
	s.setWriting(sub)
	_, err = s.opts.Table.Apply(ctx, ops)
	return s.handleWriteResult(sub, next, started, err)
}

// handleWriteResult turns the answer of the transaction into a result.
func (s *Store) handleWriteResult(sub *submission, next Document, started monotime.Instant, err error) (SubmitResult, bool) {
	switch {
	case err == nil:
		version := sub.patch.Base + 1
		s.recordHead(version, started)
		s.adopt(Versioned{Version: version, Document: next})
		return SubmitResult{Status: StatusAccepted, Version: version, Document: &next}, true
	case isConflict(err):
		s.clearWriting(sub, false)
		return SubmitResult{}, false
	case isUnavailable(err):
		s.clearWriting(sub, false)
		return s.tableUnreachable(sub, err)
	default:
		s.clearWriting(sub, true)
		return SubmitResult{}, false
	}
}

// transactionOps returns the steps that make next the version after the patch's base. They also delete the oldest version
// kept; its patch id is then forgotten, and that patch sent again is refused as stale.
func (s *Store) transactionOps(ctx context.Context, p Patch, headRowVersion uint64, next Document) ([]platform.Op, error) {
	version := p.Base + 1
	ops := []platform.Op{
		{Key: headKey, IfVersion: headRowVersion, Value: platform.EncodeRow(headRow{Version: version, Patch: p.ID})},
		{Key: versionKey(version), Value: platform.EncodeRow(versionRow{Version: version, Patch: p.ID, Document: next})},
		{Key: patchKey(p.ID), Value: platform.EncodeRow(patchRow{Version: version, Digest: p.digest()})},
	}
	if version <= maxStoredVersions {
		return ops, nil
	}
	oldest, err := readVersion(ctx, s.opts.Table, version-maxStoredVersions)
	if isNotFound(err) {
		return ops, nil
	}
	if err != nil {
		return nil, err
	}
	ops = append(ops, platform.Op{Key: versionKey(oldest.Version), AnyVersion: true, Delete: true})
	if oldest.Patch != "" {
		ops = append(ops, platform.Op{Key: patchKey(oldest.Patch), AnyVersion: true, Delete: true})
	}
	return ops, nil
}

// documentAt returns the document of version n, from this process if it is at hand.
func (s *Store) documentAt(ctx context.Context, version uint64) (Document, error) {
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	if current.Version == version {
		return current.Document, nil
	}
	row, err := readVersion(ctx, s.opts.Table, version)
	return row.Document, err
}

// tableUnreachable ends the submission as not run, unless an earlier write of it may have been applied.
func (s *Store) tableUnreachable(sub *submission, err error) (SubmitResult, bool) {
	if s.isUncertain(sub) {
		return SubmitResult{}, false
	}
	return SubmitResult{
		Status:     StatusNotRun,
		Version:    s.currentVersion(),
		Reason:     cell.Reason{Code: cell.ReasonStoreUnavailable, Detail: err.Error()},
		RetryAfter: submitRetryAfter,
	}, true
}

// timeoutResult is the result of a submission whose time ran out.
func (s *Store) timeoutResult(sub *submission) SubmitResult {
	if !s.isUncertain(sub) {
		result, _ := s.tableUnreachable(sub, context.DeadlineExceeded)
		return result
	}
	return SubmitResult{
		Status:     StatusUnknown,
		Version:    s.currentVersion(),
		Reason:     cell.Reason{Code: cell.ReasonInDoubt, Detail: "the table's answer was lost; send the patch again under its id"},
		RetryAfter: submitRetryAfter,
	}
}

func (s *Store) refuse(code cell.ReasonCode, detail string) SubmitResult {
	return SubmitResult{
		Status:  StatusRefused,
		Version: s.currentVersion(),
		Reason:  cell.Reason{Code: code, Detail: detail},
	}
}

// DryRun returns what Submit would say of the patch now, without effect. An unreachable table makes the answer as old as
// the version at hand, which the result names.
func (s *Store) DryRun(ctx context.Context, p Patch) SubmitResult {
	if err := p.validate(); err != nil {
		return s.refuse(cell.ReasonInvalid, err.Error())
	}
	_ = s.Sync(ctx) // the result names the version it was tried against
	current, _ := s.Current()
	if current.Version == 0 {
		result, _ := s.tableUnreachable(&submission{patch: p}, platform.ErrUnavailable)
		return result
	}
	if current.Version != p.Base {
		return s.refuseStaleBase(p.Base, current.Version)
	}
	next, err := p.apply(current.Document)
	if err != nil {
		return s.refuse(cell.ReasonInvalid, err.Error())
	}
	return SubmitResult{Status: StatusAccepted, Version: current.Version, Document: &next}
}
