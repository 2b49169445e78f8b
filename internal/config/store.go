package config

import (
	"context"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
)

// Intervals and timeouts of the store's calls to the table and to other members.
const (
	pollInterval = 3 * time.Second
	pollTimeout  = 5 * time.Second
	fetchTimeout = 2 * time.Second
)

// Fetcher fetches the configuration of another member.
type Fetcher interface {
	// FetchConfig returns the local version of the member at addr, which must be at least atLeast.
	FetchConfig(ctx context.Context, addr string, atLeast uint64) (Versioned, error)
}

// Options are the dependencies of a store.
type Options struct {
	Table platformapi.Table
	Clock monotime.Clock
	// Fetcher may be nil; versions are then learned from the table only.
	Fetcher Fetcher
	// OnChange, if not nil, is called after the local version changes, in ascending order of versions.
	OnChange func(Versioned)
	// OnAccepted, if not nil, is called when a patch submitted here was accepted, so that other members can be notified at
	// once.
	OnAccepted func()
}

// Store holds the local version, which never decreases, and submits patches. It is safe for concurrent use.
type Store struct {
	opts Options

	mu       sync.Mutex
	current  Versioned
	evidence evidence
	pending  map[*submission]struct{}
	fetching map[string]bool
	// notifyMu serializes the calls of OnChange. notifiedVersion is the version of the last call.
	notifyMu        sync.Mutex
	notifiedVersion uint64
}

// NewStore returns a store that has no version yet.
func NewStore(opts Options) *Store {
	return &Store{
		opts:     opts,
		evidence: newEvidence(),
		pending:  make(map[*submission]struct{}),
		fetching: make(map[string]bool),
	}
}

// Current returns the local version, with number 0 if there is none, and whether it was certainly the newest at some
// instant within the last FreshnessBound. A decision that a newer version could forbid needs fresh to be true at the time
// of the decision.
func (s *Store) Current() (current Versioned, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Version == 0 {
		return s.current, false
	}
	return s.current, s.evidence.confirmsNewest(s.current.Version, s.opts.Clock.Now()) && !s.patchInDoubtLocked()
}

// AnnouncedVersion returns what heartbeats report to other members: the number of the local version, and whether a patch
// submitted here may have created a newer one.
func (s *Store) AnnouncedVersion() (version uint64, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Version, s.patchInDoubtLocked()
}

// SetMembers sets which other members have a row in the table.
func (s *Store) SetMembers(ids []cell.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.setMembers(ids, s.opts.Clock.Now())
}

// RecordPeerVersion records the version that a member reported in a heartbeat exchange, and fetches it if it is newer than
// the local one.
func (s *Store) RecordPeerVersion(v PeerVersion) {
	s.mu.Lock()
	s.evidence.recordPeerVersion(v)
	s.mu.Unlock()
	s.LearnVersion(v.Addr, v.Version)
}

// LearnVersion fetches the version of the member at addr in the background if it is newer than the local one.
func (s *Store) LearnVersion(addr string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Fetcher == nil || version <= s.current.Version || s.fetching[addr] {
		return
	}
	s.fetching[addr] = true
	go s.fetch(addr, version)
}

func (s *Store) fetch(addr string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	v, err := s.opts.Fetcher.FetchConfig(ctx, addr, version)
	s.mu.Lock()
	delete(s.fetching, addr)
	s.mu.Unlock()
	if err == nil {
		s.adopt(v)
	}
}

// adopt makes v the local version if it is newer.
func (s *Store) adopt(v Versioned) {
	s.mu.Lock()
	newer := v.Version > s.current.Version
	if newer {
		s.current = v
	}
	s.mu.Unlock()
	if newer {
		s.notifyChange()
	}
}

// notifyChange calls OnChange with the local version, unless it was already called with that version or a newer one.
func (s *Store) notifyChange() {
	if s.opts.OnChange == nil {
		return
	}
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	v := s.current
	s.mu.Unlock()
	if v.Version <= s.notifiedVersion {
		return
	}
	s.notifiedVersion = v.Version
	s.opts.OnChange(v)
}

// Bootstrap creates version 1 from the document if the table has no version, and loads the version in force.
// Errors: those of Validate and of platformapi.Table. The store may be used after an error and loads its version later.
func (s *Store) Bootstrap(ctx context.Context, first Document) error {
	if err := first.Validate(); err != nil {
		return err
	}
	var head headRow
	rowVersion, err := platformapi.ReadRow(ctx, s.opts.Table, headKey, &head)
	if err != nil {
		return err
	}
	if rowVersion == 0 {
		if err := s.createFirstVersion(ctx, first); err != nil {
			return err
		}
	}
	return s.Sync(ctx)
}

// createFirstVersion writes version 1. A conflict means that another process has created it; after an uncertain write Sync
// finds out whether it was applied.
func (s *Store) createFirstVersion(ctx context.Context, first Document) error {
	ops := []platformapi.Op{
		{Key: headKey, Value: platformapi.EncodeRow(headRow{Version: 1})},
		{Key: versionKey(1), Value: platformapi.EncodeRow(versionRow{Version: 1, Document: first})},
	}
	_, err := s.opts.Table.Apply(ctx, ops)
	if isConflict(err) || isUncertain(err) {
		return nil
	}
	return err
}

// Sync reads the head and loads the version that it names.
// Errors: those of platformapi.Table; platformapi.ErrNotFound if there is no version yet.
func (s *Store) Sync(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.loadVersion(ctx, head.Version)
}

// readHead returns the head and the version of its row in the table, and records the read as evidence.
func (s *Store) readHead(ctx context.Context) (headRow, uint64, error) {
	started := s.opts.Clock.Now()
	var head headRow
	rowVersion, err := platformapi.ReadRow(ctx, s.opts.Table, headKey, &head)
	if err != nil {
		return head, 0, err
	}
	if rowVersion == 0 {
		return head, 0, platformapi.ErrNotFound
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.recordHead(head.Version, started)
	s.resolvePendingLocked(head.Version, started)
	return head, rowVersion, nil
}

// loadVersion reads a version from the table and adopts it, if it is newer than the local one.
func (s *Store) loadVersion(ctx context.Context, version uint64) error {
	if version <= s.currentVersion() {
		return nil
	}
	row, err := readVersion(ctx, s.opts.Table, version)
	if err != nil {
		return err
	}
	s.adopt(Versioned{Version: row.Version, Document: row.Document})
	return nil
}

func (s *Store) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Version
}

// Run polls the head until ctx ends.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		s.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Store) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_ = s.Sync(ctx) // after a failed poll the evidence gets older, until Current reports that it is not fresh
}

// History returns the version in force and those before it, newest first, at most limit.
// Errors: those of platformapi.Table.
func (s *Store) History(ctx context.Context, limit int) ([]Versioned, error) {
	if err := s.Sync(ctx); err != nil {
		return nil, err
	}
	var versions []Versioned
	for n := s.currentVersion(); n > 0 && len(versions) < min(limit, maxHistoryEntries); n-- {
		row, err := readVersion(ctx, s.opts.Table, n)
		if isNotFound(err) {
			return versions, nil
		}
		if err != nil {
			return nil, err
		}
		versions = append(versions, Versioned{Version: row.Version, Document: row.Document})
	}
	return versions, nil
}
