package config

import (
	"context"
	"fmt"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
)

const (
	// maxStoredVersions is how many versions, and ids of their patches, are kept in the table.
	maxStoredVersions = 2_000
	// maxHistoryEntries is the maximum number of versions that History returns.
	maxHistoryEntries = 100
	// submitRetryAfter is how long an operator should wait before sending a patch again that was not run or is in doubt.
	submitRetryAfter = 5 * time.Second
	// resolveInterval is the time between two tries to find out whether an uncertain write was applied.
	resolveInterval = 100 * time.Millisecond
	// pendingTimeout is the time after which an uncertain write counts as never applied if the head does not show it.
	pendingTimeout = 60 * time.Second
)

// ReasonStaleBase means that the base of the patch is not the version in force.
const ReasonStaleBase cell.ReasonCode = "stale_base"

// Status is the outcome of a submitted patch.
type Status string

// The outcomes of a patch.
const (
	// StatusAccepted means that the patch became a version and took effect.
	StatusAccepted Status = "accepted"
	// StatusRefused means that the patch did not and will not take effect.
	StatusRefused Status = "refused"
	// StatusNotRun means that the patch did not take effect because the table did not answer; it may be sent again.
	StatusNotRun Status = "not_run"
	// StatusUnknown means that the patch may have taken effect. Sending it again under its id resolves that.
	StatusUnknown Status = "unknown"
)

// SubmitResult is the outcome of Submit or DryRun.
type SubmitResult struct {
	Status Status
	// Version is the version that an accepted patch became, and otherwise the version in force as far as this process knows.
	// DryRun always sets the latter.
	Version uint64
	Reason  cell.Reason
	// RetryAfter is how long to wait before sending the patch again; zero if that can't help.
	RetryAfter time.Duration
	// Document is the patched document, if it is known.
	Document *Document
}

// submission is a patch that is being written to the table. The store's mutex guards writing, uncertain and abandonedAt.
type submission struct {
	patch Patch
	// writing means that a transaction with the patch is in flight.
	writing bool
	// uncertain means that an earlier transaction with the patch may have been applied or may still be applied.
	uncertain bool
	// abandonedAt is when Submit returned without knowing the outcome; zero before.
	abandonedAt monotime.Instant
}

// inDoubt reports whether the patch may be in force although this process does not know it.
func (sub *submission) inDoubt() bool {
	return sub.writing || sub.uncertain
}

// Submit makes the patch the version after its base, or refuses it as a whole. It returns when ctx ends at the latest.
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

// submit tries until the outcome is known or ctx ends.
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

// trySubmit reads the head and the row of the patch, and writes the patch if it can still be applied. It returns false if
// the outcome is not known yet and another try may find it out.
//
// The head is read before the patch row: once the head has moved past the base, no write of this patch can be applied any
// more, so if the patch row is still absent after that, the patch was never applied.
func (s *Store) trySubmit(ctx context.Context, sub *submission) (SubmitResult, bool) {
	head, headRowVersion, err := s.readHead(ctx)
	if err != nil {
		return s.tableUnreachable(sub, err)
	}
	_ = s.loadVersion(ctx, head.Version) // the outcome of the patch does not depend on it
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

// findPatch looks up the patch id in the table. It returns the result, and true, if a patch was accepted under this id.
func (s *Store) findPatch(ctx context.Context, sub *submission) (SubmitResult, bool, error) {
	var row patchRow
	rowVersion, err := platformapi.ReadRow(ctx, s.opts.Table, patchKey(sub.patch.ID), &row)
	if err != nil || rowVersion == 0 {
		return SubmitResult{}, false, err
	}
	if row.Digest != sub.patch.digest() {
		detail := fmt.Sprintf("patch id %q was already used for another patch, which became version %d", sub.patch.ID, row.Version)
		return s.refuse(cell.ReasonDuplicateKey, detail), true, nil
	}
	return SubmitResult{Status: StatusAccepted, Version: row.Version}, true, nil
}

// refuseStaleBase refuses a patch because its base is not the version in force.
func (s *Store) refuseStaleBase(base, version uint64) SubmitResult {
	detail := fmt.Sprintf("base version is %d, version in force is %d", base, version)
	result := s.refuse(ReasonStaleBase, detail)
	result.Version = version
	return result
}

// write validates the patch against its base and advances the head in one conditional transaction.
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

// handleWriteResult turns the result of the transaction into that of the submission.
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

// transactionOps returns the operations that make next the version after the patch's base. They also delete the oldest
// stored version and the id of its patch; if that patch is sent again, it is refused because its base is stale.
func (s *Store) transactionOps(ctx context.Context, p Patch, headRowVersion uint64, next Document) ([]platformapi.Op, error) {
	version := p.Base + 1
	ops := []platformapi.Op{
		{Key: headKey, IfVersion: headRowVersion, Value: platformapi.EncodeRow(headRow{Version: version, Patch: p.ID})},
		{Key: versionKey(version), Value: platformapi.EncodeRow(versionRow{Version: version, Patch: p.ID, Document: next})},
		{Key: patchKey(p.ID), Value: platformapi.EncodeRow(patchRow{Version: version, Digest: p.digest()})},
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
	ops = append(ops, platformapi.Op{Key: versionKey(oldest.Version), AnyVersion: true, Delete: true})
	if oldest.Patch != "" {
		ops = append(ops, platformapi.Op{Key: patchKey(oldest.Patch), AnyVersion: true, Delete: true})
	}
	return ops, nil
}

// documentAt returns the document of a version, from memory if it is the local one.
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

// tableUnreachable returns the result "not run", or false if an earlier write of the patch may have been applied.
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

// timeoutResult returns the result of a submission whose context ended.
func (s *Store) timeoutResult(sub *submission) SubmitResult {
	if !s.isUncertain(sub) {
		result, _ := s.tableUnreachable(sub, context.DeadlineExceeded)
		return result
	}
	return SubmitResult{
		Status:     StatusUnknown,
		Version:    s.currentVersion(),
		Reason:     cell.Reason{Code: cell.ReasonInDoubt, Detail: "the table did not say whether the patch was written; send it again under its id"},
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

// DryRun returns what Submit would return for the patch now, but changes nothing. If the table is unreachable, the patch is
// checked against the local version. The result names the version that it was checked against.
func (s *Store) DryRun(ctx context.Context, p Patch) SubmitResult {
	if err := p.validate(); err != nil {
		return s.refuse(cell.ReasonInvalid, err.Error())
	}
	_ = s.Sync(ctx) // the result names the version that the patch was checked against
	current, _ := s.Current()
	if current.Version == 0 {
		result, _ := s.tableUnreachable(&submission{patch: p}, platformapi.ErrUnavailable)
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
