package config

import (
	"context"
	"sync"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platform"
)

// Bounds of the store's traffic with the table and with other members.
const (
	pollInterval = 3 * time.Second
	pollTimeout  = 5 * time.Second
	fetchTimeout = 2 * time.Second
)

// Fetcher asks another member for its version.
type Fetcher interface {
	// FetchConfig returns the version in force at the member at addr, which is at least atLeast.
	FetchConfig(ctx context.Context, addr string, atLeast uint64) (Versioned, error)
}

// Options are what a store works with.
type Options struct {
	Table platform.Table
	Clock monotime.Clock
	// Fetcher may be nil; versions are then learned from the table only.
	Fetcher Fetcher
	// OnChange, if not nil, is called after each change of the version at hand, in the order of versions.
	OnChange func(Versioned)
	// OnAccepted, if not nil, is called when a patch submitted here was accepted, to tell the other members at once.
	OnAccepted func()
}

// Store holds the version in force at this process, which only ever rises. It is safe for concurrent use.
type Store struct {
	opts Options

	mu       sync.Mutex
	current  Versioned
	evidence evidence
	pending  map[*submission]struct{}
	fetching map[string]bool
	// notifyMu orders the calls of Changed.
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

// Current returns the version at hand, with version 0 if there is none, and whether it was surely the newest at some
// instant within FreshnessBound. Decisions that a newer version could forbid need fresh to be true, asked for at the
// decision.
func (s *Store) Current() (current Versioned, fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Version == 0 {
		return s.current, false
	}
	return s.current, s.evidence.confirmsNewest(s.current.Version, s.opts.Clock.Now()) && !s.patchInDoubtLocked()
}

// AnnouncedVersion returns what heartbeats tell other members: the version at hand, and whether a patch submitted here may
// have made a newer one.
func (s *Store) AnnouncedVersion() (version uint64, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Version, s.patchInDoubtLocked()
}

// SetMembers tells which other members have a row in the table.
func (s *Store) SetMembers(ids []cell.MemberID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.setMembers(ids, s.opts.Clock.Now())
}

// RecordPeerVersion records what a member answered to a heartbeat, and fetches its version if that is newer.
func (s *Store) RecordPeerVersion(v PeerVersion) {
	s.mu.Lock()
	s.evidence.recordPeerVersion(v)
	s.mu.Unlock()
	s.LearnVersion(v.Addr, v.Version)
}

// LearnVersion fetches the version of the member at addr in the background if it is newer than the one at hand.
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

// adopt makes v the version at hand if it is newer.
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

// notifyChange calls Changed with the version at hand, unless a newer one was told already.
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

// Bootstrap creates version 1 with the document if the table has no version, and takes over the one in force.
// Errors: those of platform.Table; the store may be used after an error and learns its version later.
func (s *Store) Bootstrap(ctx context.Context, first Document) error {
	if err := first.Validate(); err != nil {
		return err
	}
	var head headRow
	rowVersion, err := platform.ReadRow(ctx, s.opts.Table, headKey, &head)
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

// createFirstVersion writes version 1. A conflict means that another process has; an uncertain write is read back by Sync.
func (s *Store) createFirstVersion(ctx context.Context, first Document) error {
	ops := []platform.Op{
		{Key: headKey, Value: platform.EncodeRow(headRow{Version: 1})},
		{Key: versionKey(1), Value: platform.EncodeRow(versionRow{Version: 1, Document: first})},
	}
	_, err := s.opts.Table.Apply(ctx, ops)
	if isConflict(err) || isUncertain(err) {
		return nil
	}
	return err
}

// Sync reads the head and takes over its version.
// Errors: those of platform.Table; platform.ErrNotFound if there is no version yet.
func (s *Store) Sync(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	return s.loadVersion(ctx, head.Version)
}

// readHead reads the head, with its version in the table, and records the reading as evidence.
func (s *Store) readHead(ctx context.Context) (headRow, uint64, error) {
	started := s.opts.Clock.Now()
	var head headRow
	rowVersion, err := platform.ReadRow(ctx, s.opts.Table, headKey, &head)
	if err != nil {
		return head, 0, err
	}
	if rowVersion == 0 {
		return head, 0, platform.ErrNotFound
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.recordHead(head.Version, started)
	s.resolvePendingLocked(head.Version, started)
	return head, rowVersion, nil
}

// loadVersion takes over version n if it is newer than the one at hand.
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
	_ = s.Sync(ctx) // a failed poll leaves the evidence to age
}

// History returns the version in force and those before it, newest first, at most limit.
// Errors: those of platform.Table.
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
