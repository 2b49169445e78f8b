package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// fakeClock advances only when a test advances it: each advance looks like a pause of the process.
type fakeClock struct {
	mu  sync.Mutex
	now monotime.Instant
}

func (c *fakeClock) Now() monotime.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// faultyTable passes each of the next transactions to a function of applyFaults in place of the table, one for each.
type faultyTable struct {
	*standin.Table
	mu          sync.Mutex
	applyFaults []func(apply func() error) error
}

func (t *faultyTable) Apply(ctx context.Context, ops []platformapi.Op) (versions []uint64, err error) {
	t.mu.Lock()
	var fault func(func() error) error
	if len(t.applyFaults) > 0 {
		fault = t.applyFaults[0]
		t.applyFaults = t.applyFaults[1:]
	}
	t.mu.Unlock()
	if fault == nil {
		return t.Table.Apply(ctx, ops)
	}
	err = fault(func() error {
		versions, err = t.Table.Apply(context.WithoutCancel(ctx), ops)
		return err
	})
	return versions, err
}

func newTestStore(t *testing.T, table platformapi.Table, clock monotime.Clock) *Store {
	t.Helper()
	s := NewStore(Options{Table: table, Clock: clock})
	if err := s.Bootstrap(t.Context(), Default()); err != nil {
		t.Fatal(err)
	}
	return s
}

func queuePatch(id string, base uint64, limit int) Patch {
	return Patch{ID: id, Base: base, Merge: fmt.Appendf(nil, `{"max_queued_per_shard":%d}`, limit)}
}

func wantStatus(t *testing.T, got SubmitResult, status Status, code cell.ReasonCode) {
	t.Helper()
	if got.Status != status || got.Reason.Code != code {
		t.Fatalf("result is %s (%s), want %s (%s)", got.Status, got.Reason, status, code)
	}
}

func wantCurrent(t *testing.T, s *Store, version uint64, fresh bool) {
	t.Helper()
	current, gotFresh := s.Current()
	if current.Version != version || gotFresh != fresh {
		t.Fatalf("Current is version %d, fresh %v; want %d, %v", current.Version, gotFresh, version, fresh)
	}
}

func TestPatchIsAcceptedOrRefusedWhole(t *testing.T) {
	s := newTestStore(t, standin.NewTable(), &fakeClock{})
	wantStatus(t, s.Submit(t.Context(), queuePatch("a", 1, 7)), StatusAccepted, "")
	wantStatus(t, s.Submit(t.Context(), queuePatch("b", 1, 8)), StatusRefused, ReasonStaleBase)
	partlyInvalid := Patch{ID: "c", Base: 2, Merge: []byte(`{"max_queued_per_shard":9,"packing_weight":3}`)}
	wantStatus(t, s.Submit(t.Context(), partlyInvalid), StatusRefused, cell.ReasonInvalid)
	for name, merge := range map[string]string{
		"zones":   `{"zones":["a","b"]}`,
		"shards":  `{"shards_per_zone":2}`,
		"unknown": `{"nonsense":1}`,
		"array":   `[]`,
		"broken":  `{"max_queued_per_shard":`,
	} {
		wantStatus(t, s.Submit(t.Context(), Patch{ID: name, Base: 2, Merge: []byte(merge)}), StatusRefused, cell.ReasonInvalid)
	}
	wantCurrent(t, s, 2, true)
	current, _ := s.Current()
	if current.Document.MaxQueuedPerShard != 7 {
		t.Errorf("max_queued_per_shard is %d, want 7", current.Document.MaxQueuedPerShard)
	}
}

func TestPatchSentAgainTakesEffectOnce(t *testing.T) {
	s := newTestStore(t, standin.NewTable(), &fakeClock{})
	p := queuePatch("a", 1, 7)
	first := s.Submit(t.Context(), p)
	s.Submit(t.Context(), queuePatch("b", 2, 8))
	again := s.Submit(t.Context(), p)
	wantStatus(t, again, StatusAccepted, "")
	if first.Version != 2 || again.Version != 2 {
		t.Errorf("versions are %d and %d, want 2 twice", first.Version, again.Version)
	}
	wantStatus(t, s.Submit(t.Context(), queuePatch("a", 3, 9)), StatusRefused, cell.ReasonDuplicateKey)
	wantCurrent(t, s, 3, true)
}

func TestDryRunHasNoEffect(t *testing.T) {
	s := newTestStore(t, standin.NewTable(), &fakeClock{})
	result := s.DryRun(t.Context(), queuePatch("a", 1, 7))
	wantStatus(t, result, StatusAccepted, "")
	if result.Document.MaxQueuedPerShard != 7 {
		t.Errorf("patched document has max_queued_per_shard %d, want 7", result.Document.MaxQueuedPerShard)
	}
	wantStatus(t, s.DryRun(t.Context(), queuePatch("a", 9, 7)), StatusRefused, ReasonStaleBase)
	wantCurrent(t, s, 1, true)
}

// TestRacingPatchesFormOneChain has several processes submit patches, each against its local version, while some of the
// table's answers are lost: no version may be accepted for two patches.
func TestRacingPatchesFormOneChain(t *testing.T) {
	const stores, patches = 5, 20
	table := standin.NewTable()
	table.SetFaults(standin.TableFaults{LoseAnswers: 10})
	var mu sync.Mutex
	accepted := make(map[uint64]string)
	var wg sync.WaitGroup
	for n := range stores {
		s := newTestStore(t, table, monotime.BootClock{})
		wg.Go(func() {
			for i := range patches {
				current, _ := s.Current()
				id := fmt.Sprintf("%d-%d", n, i)
				result := s.Submit(context.Background(), queuePatch(id, current.Version, 1+n*patches+i))
				if result.Status != StatusAccepted {
					continue
				}
				mu.Lock()
				if other, taken := accepted[result.Version]; taken || result.Version != current.Version+1 {
					t.Errorf("version %d accepted for %s and %q, base %d", result.Version, id, other, current.Version)
				}
				accepted[result.Version] = id
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s := newTestStore(t, table, monotime.BootClock{})
	current, _ := s.Current()
	if int(current.Version) != len(accepted)+1 {
		t.Fatalf("version in force is %d after %d accepted patches", current.Version, len(accepted))
	}
	for n := uint64(2); n <= current.Version; n++ {
		row, err := readVersion(t.Context(), table, n)
		if err != nil || row.Patch != accepted[n] {
			t.Errorf("version %d is patch %q (%v), its submitter got an answer for %q", n, row.Patch, err, accepted[n])
		}
	}
}

func TestUncertainCommitIsResolved(t *testing.T) {
	answerLost := func(apply func() error) error { return errors.Join(platformapi.ErrUncertain, apply()) }
	requestLost := func(func() error) error { return platformapi.ErrUncertain }
	cases := map[string][]func(func() error) error{
		"applied":                   {answerLost},
		"not applied":               {requestLost},
		"not applied, thrice":       {requestLost, requestLost, requestLost},
		"not applied, then applied": {requestLost, answerLost},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			table := &faultyTable{Table: standin.NewTable()}
			s := newTestStore(t, table, &fakeClock{})
			table.applyFaults = faults
			wantStatus(t, s.Submit(t.Context(), queuePatch("a", 1, 7)), StatusAccepted, "")
			wantCurrent(t, s, 2, true)
		})
	}
}

// TestUncertainCommitOvertaken has another process's patch accepted while the outcome of this process's write is unknown.
func TestUncertainCommitOvertaken(t *testing.T) {
	for name, applied := range map[string]bool{"applied": true, "not applied": false} {
		t.Run(name, func(t *testing.T) {
			table := &faultyTable{Table: standin.NewTable()}
			s := newTestStore(t, table, &fakeClock{})
			other := newTestStore(t, table.Table, &fakeClock{})
			base := uint64(1)
			table.applyFaults = []func(func() error) error{func(apply func() error) error {
				if applied {
					_ = apply()
					base = 2
				}
				wantStatus(t, other.Submit(t.Context(), queuePatch("other", base, 8)), StatusAccepted, "")
				return platformapi.ErrUncertain
			}}
			result := s.Submit(t.Context(), queuePatch("a", 1, 7))
			if applied {
				wantStatus(t, result, StatusAccepted, "")
			} else {
				wantStatus(t, result, StatusRefused, ReasonStaleBase)
			}
			wantCurrent(t, s, base+1, true)
		})
	}
}

func TestTableDownDuringSubmit(t *testing.T) {
	table := &faultyTable{Table: standin.NewTable()}
	s := newTestStore(t, table, &fakeClock{})
	table.SetFaults(standin.TableFaults{Down: true})
	result := s.Submit(t.Context(), queuePatch("a", 1, 7))
	wantStatus(t, result, StatusNotRun, cell.ReasonStoreUnavailable)
	if result.RetryAfter <= 0 {
		t.Errorf("result of a patch that was not run has RetryAfter %s, want more than 0", result.RetryAfter)
	}

	table.SetFaults(standin.TableFaults{})
	table.applyFaults = []func(func() error) error{func(apply func() error) error {
		_ = apply()
		table.SetFaults(standin.TableFaults{Down: true})
		return platformapi.ErrUncertain
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 3*resolveInterval)
	defer cancel()
	wantStatus(t, s.Submit(ctx, queuePatch("a", 1, 7)), StatusUnknown, cell.ReasonInDoubt)
	wantCurrent(t, s, 1, false)
	if _, pending := s.AnnouncedVersion(); !pending {
		t.Error("heartbeats report no pending patch while the outcome of one is unknown")
	}

	table.SetFaults(standin.TableFaults{})
	wantStatus(t, s.Submit(t.Context(), queuePatch("a", 1, 7)), StatusAccepted, "")
	wantCurrent(t, s, 2, true)
	if _, pending := s.AnnouncedVersion(); pending {
		t.Error("heartbeats report a pending patch after its outcome is known")
	}
}

// TestFrozenStoreIsStaleUntilConfirmed pauses a process while a patch is accepted elsewhere.
func TestFrozenStoreIsStaleUntilConfirmed(t *testing.T) {
	table := standin.NewTable()
	clock := &fakeClock{}
	frozen := newTestStore(t, table, clock)
	wantCurrent(t, frozen, 1, true)
	other := newTestStore(t, table, &fakeClock{})
	wantStatus(t, other.Submit(t.Context(), queuePatch("a", 1, 7)), StatusAccepted, "")
	clock.advance(FreshnessBound)
	wantCurrent(t, frozen, 1, true)
	clock.advance(1)
	wantCurrent(t, frozen, 1, false)
	if err := frozen.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantCurrent(t, frozen, 2, true)
}

// TestConfirmationCountsFromItsStart pauses a process between sending a read of the head and receiving the answer: the
// evidence is as old as the start of the read.
func TestConfirmationCountsFromItsStart(t *testing.T) {
	clock := &fakeClock{}
	table := &slowTable{Table: standin.NewTable()}
	s := newTestStore(t, table, clock)
	table.afterGet = func() { clock.advance(FreshnessBound + 1) }
	if err := s.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantCurrent(t, s, 1, false)
}

// slowTable calls afterGet, if set, before it returns the answer of Get.
type slowTable struct {
	*standin.Table
	afterGet func()
}

func (t *slowTable) Get(ctx context.Context, key string) (platformapi.Row, error) {
	row, err := t.Table.Get(ctx, key)
	if t.afterGet != nil {
		t.afterGet()
	}
	return row, err
}

func TestStartWhileTableIsDownServesNothing(t *testing.T) {
	table := standin.NewTable()
	table.SetFaults(standin.TableFaults{Down: true})
	s := NewStore(Options{Table: table, Clock: &fakeClock{}})
	if err := s.Bootstrap(t.Context(), Default()); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("Bootstrap: error is %v, want ErrUnavailable", err)
	}
	wantCurrent(t, s, 0, false)
	wantStatus(t, s.DryRun(t.Context(), queuePatch("a", 1, 7)), StatusNotRun, cell.ReasonStoreUnavailable)
	table.SetFaults(standin.TableFaults{})
	if err := s.Bootstrap(t.Context(), Default()); err != nil {
		t.Fatal(err)
	}
	wantCurrent(t, s, 1, true)
}

// storeFetcher fetches versions from the test's other stores, which it holds by address.
type storeFetcher map[string]*Store

func (f storeFetcher) FetchConfig(_ context.Context, addr string, atLeast uint64) (Versioned, error) {
	v, _ := f[addr].Current()
	if v.Version < atLeast {
		return v, errVersionTooOld
	}
	return v, nil
}

// TestCutOffFromTableLearnsThroughMembers makes the table unreachable for one process, which still reaches other members.
func TestCutOffFromTableLearnsThroughMembers(t *testing.T) {
	table := standin.NewTable()
	clock := &fakeClock{}
	other := newTestStore(t, table, clock)
	changed := make(chan Versioned, 10)
	unreachable := &faultyTable{Table: standin.NewTable()}
	s := NewStore(Options{
		Table:    unreachable,
		Clock:    clock,
		Fetcher:  storeFetcher{"b": other},
		OnChange: func(v Versioned) { changed <- v },
	})
	unreachable.SetFaults(standin.TableFaults{Down: true})
	s.SetMembers([]cell.MemberID{"b", "c"})
	recordPeer := func(id cell.MemberID, addr string, version uint64, pending bool) {
		s.RecordPeerVersion(PeerVersion{Member: id, Addr: addr, Version: version, Pending: pending, Started: clock.Now()})
	}
	recordPeer("b", "b", 1, false)
	if got := <-changed; got.Version != 1 {
		t.Fatalf("learned version %d, want 1", got.Version)
	}
	wantCurrent(t, s, 1, false) // c has reported no version
	recordPeer("c", "c", 1, true)
	wantCurrent(t, s, 1, false) // c may have created a newer version
	recordPeer("c", "c", 1, false)
	wantCurrent(t, s, 1, true)

	wantStatus(t, other.Submit(t.Context(), queuePatch("a", 1, 7)), StatusAccepted, "")
	recordPeer("b", "b", 2, false)
	if got := <-changed; got.Version != 2 {
		t.Fatalf("learned version %d, want 2", got.Version)
	}
	recordPeer("c", "c", 1, false) // an older version of a member does not replace the local one
	wantCurrent(t, s, 2, true)

	clock.advance(FreshnessBound + 1)
	recordPeer("b", "b", 2, false)
	wantCurrent(t, s, 2, false) // c's report is too old
	s.SetMembers([]cell.MemberID{"b"})
	wantCurrent(t, s, 2, false) // c's row was deleted, but c may have created a version before
}

// TestRemovedMemberCountsUntilTheHeadIsRead deletes one member's row, and then those of all members: a deleted member
// must still confirm the version until the head is read.
func TestRemovedMemberCountsUntilTheHeadIsRead(t *testing.T) {
	table := standin.NewTable()
	clock := &fakeClock{}
	s := newTestStore(t, table, clock)
	s.SetMembers([]cell.MemberID{"b", "c"})
	clock.advance(FreshnessBound + 1)
	s.SetMembers([]cell.MemberID{"b"})
	recordPeer := func() { s.RecordPeerVersion(PeerVersion{Member: "b", Addr: "b", Version: 1, Started: clock.Now()}) }
	recordPeer()
	wantCurrent(t, s, 1, false)
	if err := s.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.advance(FreshnessBound + 1)
	wantCurrent(t, s, 1, false)
	recordPeer()
	wantCurrent(t, s, 1, true)
	clock.advance(FreshnessBound + 1)
	s.SetMembers(nil)
	wantCurrent(t, s, 1, false)
	if err := s.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.advance(FreshnessBound + 1)
	wantCurrent(t, s, 1, false) // without other members there is no confirmation
}

func TestVersionNeverReverts(t *testing.T) {
	var notified []uint64
	s := NewStore(Options{Table: standin.NewTable(), Clock: &fakeClock{}, OnChange: func(v Versioned) { notified = append(notified, v.Version) }})
	var highest uint64
	for _, n := range []uint64{1, 3, 2, 3, 1, 4} {
		s.adopt(Versioned{Version: n, Document: Default()})
		highest = max(highest, n)
		wantCurrent(t, s, highest, false)
	}
	if want := []uint64{1, 3, 4}; !slices.Equal(notified, want) {
		t.Errorf("OnChange was called with versions %v, want %v", notified, want)
	}
}

func TestHistoryListsNewestFirst(t *testing.T) {
	s := newTestStore(t, standin.NewTable(), &fakeClock{})
	for n := uint64(1); n < 5; n++ {
		wantStatus(t, s.Submit(t.Context(), queuePatch(fmt.Sprint(n), n, int(n))), StatusAccepted, "")
	}
	history, err := s.History(t.Context(), 3)
	if err != nil {
		t.Fatal(err)
	}
	var got []uint64
	for _, v := range history {
		got = append(got, v.Version)
	}
	if want := []uint64{5, 4, 3}; !slices.Equal(got, want) {
		t.Errorf("versions in the history are %v, want %v", got, want)
	}
}

func TestOldVersionsAreRemoved(t *testing.T) {
	table := standin.NewTable()
	s := newTestStore(t, table, &fakeClock{})
	first := queuePatch("p1", 1, 1)
	for n := 1; n <= maxStoredVersions+5; n++ {
		wantStatus(t, s.Submit(t.Context(), queuePatch(fmt.Sprintf("p%d", n), uint64(n), n)), StatusAccepted, "")
	}
	rows, err := table.List(t.Context(), versionPrefix)
	if err != nil || len(rows) != maxStoredVersions {
		t.Errorf("%d versions are in the table (%v), want %d", len(rows), err, maxStoredVersions)
	}
	patches, err := table.List(t.Context(), patchPrefix)
	if err != nil || len(patches) != maxStoredVersions {
		t.Errorf("%d patch ids are in the table (%v), want %d", len(patches), err, maxStoredVersions)
	}
	wantStatus(t, s.Submit(t.Context(), first), StatusRefused, ReasonStaleBase)
}
