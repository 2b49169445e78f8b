package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// Bounds in virtual time.
const (
	// settleTime is long enough for members that start together to share the shards.
	settleTime = acquireDelay + 3*time.Second
	// takeoverBound is the stated bound on the time from an owner's end until its shards are taken over.
	takeoverBound = 5 * time.Second
	// leaveBound is shorter than every timeout after which a member counts as dead and than the interval between reads of the rows.
	leaveBound = 250 * time.Millisecond
)

func TestMembersShareShards(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2, 3, 0, 1, 2, 3, 0)
		time.Sleep(settleTime)
		s.wantBalanced(members...)
		for _, m := range members {
			for _, shard := range s.shards {
				o, ok := m.svc.Owner(shard.ID)
				if !ok || !o.Live || o.Addr == "" {
					t.Errorf("%s: owner of %s is %+v (known: %v), want a live owner with an address", m.id, shard.ID, o, ok)
				}
				if d, ok := m.svc.Digest(shard.ID); !ok || d.GetQueued() != 5 {
					t.Errorf("%s: has no digest of %s with 5 queued tasks", m.id, shard.ID)
				}
			}
			if got := len(m.svc.Members()); got != len(members) {
				t.Errorf("%s: sees %d members, want %d", m.id, got, len(members))
			}
		}
	})
}

func TestKilledOwnersShardsAreTakenOver(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := members[0].ownedShards()
		members[0].kill()
		time.Sleep(takeoverBound)
		s.wantBalanced(members[1:]...)
		for _, m := range members[1:] {
			for shard, epoch := range m.ownedShards() {
				if old, was := before[shard]; was && epoch != old+1 {
					t.Errorf("%s was taken over with epoch %d after epoch %d", shard, epoch, old)
				}
			}
		}
	})
}

// TestRestartedDaemonReplacesItsEarlierIncarnation kills a daemon and at once starts another at the same address.
func TestRestartedDaemonReplacesItsEarlierIncarnation(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		members[0].kill()
		restarted := s.startAt(0, members[0].addr)
		time.Sleep(takeoverBound)
		s.wantEachOwnedOnce(members[1], members[2], restarted)
		if row, _ := s.table.Get(t.Context(), memberKey(members[0].id)); row.Version != 0 {
			t.Error("the row of the killed member is still there")
		}
	})
}

func TestFrozenOwnerIsSuperseded(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		old := members[0]
		before := old.ownedShards()
		old.freeze()
		time.Sleep(takeoverBound + minFailureTimeout)
		s.wantBalanced(members[1:]...)
		time.Sleep(time.Minute)
		old.thaw()
		for shard, epoch := range before {
			if err := old.svc.ConfirmOwnership(t.Context(), shard, epoch); !errors.Is(err, ErrSuperseded) {
				t.Errorf("Confirm of %s under epoch %d: %v, want ErrSuperseded", shard, epoch, err)
			}
		}
		time.Sleep(time.Second)
		if got := old.ownedShards(); len(got) != 0 {
			t.Errorf("the old owner still owns %v", got)
		}
		s.wantEachOwnedOnce(members...)
	})
}

func TestGracefulLeaveHandsOverAtOnce(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		count := len(members[0].ownedShards())
		begin := time.Now()
		if err := members[0].svc.Leave(t.Context()); err != nil {
			t.Fatalf("Leave: %v", err)
		}
		for _, shard := range s.shards {
			row, err := s.table.Get(t.Context(), shardKey(shard.ID))
			if r, _ := decodeShardRow(row); err != nil || r.Owner == members[0].id {
				t.Errorf("%s is still owned by the member that left, or can't be read (error: %v)", shard.ID, err)
			}
		}
		members[0].kill()
		time.Sleep(leaveBound - time.Since(begin))
		s.wantBalanced(members[1:]...)
		if got := members[0].releaseCount(); got != count {
			t.Errorf("%d shards released, want %d", got, count)
		}
		row, err := s.table.Get(t.Context(), memberKey(members[0].id))
		if err != nil || row.Version != 0 {
			t.Errorf("the row of the member that left is still there, or can't be read (error: %v)", err)
		}
	})
}

func TestLeaveWithTheTableDownReleasesNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := len(members[0].ownedShards())
		s.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(tableUnreachableAfter + tickInterval)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := members[0].svc.Leave(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Leave: %v, want DeadlineExceeded", err)
		}
		if got := len(members[0].ownedShards()); got != before {
			t.Errorf("the member owns %d shards, want %d", got, before)
		}
	})
}

// TestSlowTableMovesNothing makes every operation of the table take nearly as long as its timeout.
func TestSlowTableMovesNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := ownersByShard(members...)
		s.table.SetFaults(standin.TableFaults{Delay: tableTimeout * 9 / 10})
		members[0].peersUnreachable.Store(true)
		time.Sleep(10 * time.Minute)
		for shard, owners := range ownersByShard(members...) {
			if !slices.Equal(owners, before[shard]) {
				t.Errorf("%s is owned by %v, want %v", shard, owners, before[shard])
			}
		}
	})
}

func TestTableDownKeepsOwnersAndAcquiresNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		s.table.SetFaults(standin.TableFaults{Down: true})
		want := ownersByShard(members[1:]...)
		members[0].kill()
		time.Sleep(10 * time.Minute)
		got := ownersByShard(members[1:]...)
		if len(got) != len(want) {
			t.Errorf("owned shards during the outage are %v, want %v", got, want)
		}
		if err := members[1].svc.ConfirmOwnership(t.Context(), s.shards[0].ID, 1); !errors.Is(err, platformapi.ErrUnavailable) {
			t.Errorf("Confirm during the outage: %v, want ErrUnavailable", err)
		}
		s.table.SetFaults(standin.TableFaults{})
		time.Sleep(takeoverBound)
		s.wantBalanced(members[1:]...)
	})
}

func TestMemberCutOffFromTableAloneKeepsItsShards(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := members[0].ownedShards()
		members[0].tableUnreachable.Store(true)
		time.Sleep(10 * time.Minute)
		after := members[0].ownedShards()
		for shard, epoch := range before {
			if after[shard] != epoch {
				t.Errorf("%s changed from epoch %d to epoch %d", shard, epoch, after[shard])
			}
		}
		s.wantBalanced(members...)
	})
}

// TestDeathBesideAMemberCutOffFromTable kills one of three members while another can't reach the table. Only the third
// can acquire the dead member's shards.
func TestDeathBesideAMemberCutOffFromTable(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		members[0].tableUnreachable.Store(true)
		time.Sleep(time.Minute)
		members[1].kill()
		time.Sleep(takeoverBound)
		s.wantEachOwnedOnce(members[0], members[2])
		members[0].tableUnreachable.Store(false)
		time.Sleep(time.Minute)
		s.wantBalanced(members[0], members[2])
	})
}

func TestMemberCutOffFromMembersAloneKeepsItsShards(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := ownersByShard(members...)
		members[0].peersUnreachable.Store(true)
		time.Sleep(10 * time.Minute)
		if got := ownersByShard(members...); len(got) != len(before) {
			t.Errorf("owners are %v, want %v", got, before)
		}
		for _, m := range members {
			for shard, epoch := range m.ownedShards() {
				if epoch != 1 {
					t.Errorf("%s moved to epoch %d", shard, epoch)
				}
			}
		}
	})
}

// TestObservedEpochsOnlyRise passes rows to the loop late, out of order and twice.
func TestObservedEpochsOnlyRise(t *testing.T) {
	s := newSim(t, 1, 1)
	m := &simMember{sim: s, id: "me", owned: make(map[cell.ShardID]cell.Epoch)}
	l := newLoop(t.Context(), New(Options{ID: m.id, Clock: m, ShardHost: m, ConfigStore: m}))
	rows := []struct {
		row  shardRow
		want cell.Epoch
	}{
		{shardRow{Owner: "me", Epoch: 1}, 1},
		{shardRow{Owner: "other", Epoch: 2}, 0},
		{shardRow{Owner: "me", Epoch: 1}, 0},
		{shardRow{Epoch: 2, NextOwner: "me"}, 0},
		{shardRow{Owner: "other", Epoch: 2}, 0},
		{shardRow{Owner: "me", Epoch: 3}, 3},
		{shardRow{Owner: "me", Epoch: 3}, 3},
		{shardRow{Epoch: 2, NextOwner: "me"}, 3},
	}
	id := s.shards[0].ID
	for i, r := range rows {
		known := l.shard(id).row
		l.applyShardRow(id, uint64(i+1), r.row)
		if l.shard(id).row.olderThan(known) {
			t.Errorf("row %d, %+v, replaced the newer row %+v", i, r.row, known)
		}
		if got := m.ownedShards()[id]; got != r.want {
			t.Errorf("after row %d the host owns epoch %d, want %d", i, got, r.want)
		}
	}
	l.endSuperseded(l.shard(id), "other")
	l.applyShardRow(id, 9, shardRow{Owner: "me", Epoch: 3})
	if got := m.ownedShards()[id]; got != 0 {
		t.Errorf("the host owns epoch %d again after it was superseded", got)
	}
}

// TestShareIsKeptWhileOthersAcquire checks that a member that is acquiring its share acquires nothing more when it sees
// that another member has acquired a shard.
func TestShareIsKeptWhileOthersAcquire(t *testing.T) {
	const cells = 20
	for c := range cells {
		ids := []cell.MemberID{}
		for i := range 3 {
			ids = append(ids, cell.MemberID(fmt.Sprintf("cell%d-m%d", c, i)))
		}
		assigned := newLoopWithMembers(t, ids[0], ids).assign()
		for acquired, other := range assigned {
			if other == ids[0] {
				continue
			}
			l := newLoopWithMembers(t, ids[0], ids)
			for shard, owner := range assigned {
				l.shard(shard).acquiring = owner == ids[0]
			}
			l.applyShardRow(acquired, 1, shardRow{Owner: other, Epoch: 1})
			for shard, owner := range l.assign() {
				if owner == ids[0] && assigned[shard] != owner {
					t.Errorf("after %s acquired %s, %s was assigned beyond the share", other, acquired, shard)
				}
			}
		}
	}
}

// newLoopWithMembers returns the loop of member self, to which all members are live and no shard has an owner.
func newLoopWithMembers(t *testing.T, self cell.MemberID, ids []cell.MemberID) *loop {
	m := &simMember{sim: newSim(t, 1, 6), id: self, owned: make(map[cell.ShardID]cell.Epoch)}
	l := newLoop(t.Context(), New(Options{
		ID:          self,
		Zone:        "a",
		Clock:       m,
		ShardHost:   m,
		ConfigStore: m,
		Shards:      m.shardList,
	}))
	l.svc.canAcquire.Store(true)
	for _, id := range ids {
		if id != self {
			l.members[id] = &memberState{id: id, zone: "a", lastAlive: l.now, canAcquire: true}
		}
	}
	return l
}

func TestReleaseComesLastInItsEpoch(t *testing.T) {
	ordered := []shardRow{{}, {Owner: "a", Epoch: 1}, {Epoch: 1}, {Owner: "b", Epoch: 2}, {Epoch: 2}}
	for i, x := range ordered {
		for j, y := range ordered {
			if got := x.olderThan(y); got != (i < j) {
				t.Errorf("(%+v).olderThan(%+v) = %v", x, y, got)
			}
		}
	}
}

// TestRacingTakeoversHaveOneWinner lets members acquire the same shards because they do not see each other's rows.
func TestRacingTakeoversHaveOneWinner(t *testing.T) {
	runSim(t, 2, 4, func(t *testing.T, s *sim) {
		s.hideMembers.Store(true)
		members := s.startAll(0, 1, 0)
		time.Sleep(settleTime) // recordOwner checks meanwhile that no epoch has two owners
		s.hideMembers.Store(false)
		time.Sleep(settleTime)
		s.wantEachOwnedOnce(members...)
	})
}

// TestPausedObserverAcquiresNothing pauses a member for longer than the failure timeout after which another member would
// count as dead. That other member can't reach the table, so that only its heartbeats show that it runs.
func TestPausedObserverAcquiresNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := members[1].ownedShards()
		members[1].tableUnreachable.Store(true)
		time.Sleep(30 * time.Second)
		members[0].freeze()
		time.Sleep(minFailureTimeout + minHeartbeatInterval)
		members[0].thaw()
		time.Sleep(30 * time.Second)
		after := members[1].ownedShards()
		for shard, epoch := range before {
			if after[shard] != epoch {
				t.Errorf("%s changed from epoch %d to epoch %d", shard, epoch, after[shard])
			}
		}
		s.wantEachOwnedOnce(members...)
	})
}

// TestTableOutageIsNoProofOfDeath ends an outage of the table while one member exchanges no heartbeats. The age of its
// row during the outage must not count against it.
func TestTableOutageIsNoProofOfDeath(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		before := ownersByShard(members...)
		s.table.SetFaults(standin.TableFaults{Down: true})
		members[0].peersUnreachable.Store(true)
		time.Sleep(time.Minute)
		s.table.SetFaults(standin.TableFaults{})
		time.Sleep(time.Minute)
		for shard, owners := range ownersByShard(members...) {
			if !slices.Equal(owners, before[shard]) {
				t.Errorf("%s is owned by %v, want %v", shard, owners, before[shard])
			}
		}
	})
}

// TestSupersededOwnerCutOffFromTableLearns resumes a paused owner that has been superseded and can't reach the table.
// It learns of the new epochs from heartbeats.
func TestSupersededOwnerCutOffFromTableLearns(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		members[0].freeze()
		time.Sleep(takeoverBound + minFailureTimeout)
		members[0].tableUnreachable.Store(true)
		members[0].thaw()
		time.Sleep(2 * minHeartbeatInterval)
		if got := members[0].ownedShards(); len(got) != 0 {
			t.Errorf("the old owner still owns %v", got)
		}
	})
}

func TestLostTableAnswersAreResolved(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		s.table.SetFaults(standin.TableFaults{LoseAnswers: 12})
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		s.wantBalanced(members...)
		s.table.SetFaults(standin.TableFaults{LoseAnswers: 100})
		ctx, cancel := context.WithTimeout(t.Context(), takeoverBound)
		defer cancel()
		if err := members[0].svc.Leave(ctx); err != nil {
			t.Fatalf("Leave: %v", err)
		}
		members[0].kill()
		time.Sleep(takeoverBound)
		s.wantBalanced(members[1:]...)
	})
}

// TestJoinMovesFewShards adds a member to a stable cell and counts the released shards.
func TestJoinMovesFewShards(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(time.Minute)
		var settled int
		for _, m := range members {
			settled += m.releaseCount()
		}
		members = append(members, s.start(3))
		time.Sleep(2 * time.Minute)
		s.wantBalanced(members...)
		moves := -settled
		for _, m := range members {
			moves += m.releaseCount()
		}
		if moves != 4 {
			t.Errorf("%d shards were released, want the fourth member's share of 4", moves)
		}
		for _, m := range members {
			for i := 1; i < len(m.released); i++ {
				if gap := m.released[i].Sub(m.released[i-1]); gap < rebalanceInterval {
					t.Errorf("%s released two shards within %v", m.id, gap)
				}
			}
		}
	})
}

// TestFlappingMemberMovesNothingForBalance starts and kills one member at intervals shorter than stableBeforeRebalance.
func TestFlappingMemberMovesNothingForBalance(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(time.Minute)
		before := members[0].releaseCount() + members[1].releaseCount() + members[2].releaseCount()
		for range 10 {
			flapping := s.start(3)
			time.Sleep(stableBeforeRebalance / 2)
			flapping.kill()
			time.Sleep(stableBeforeRebalance / 2)
		}
		after := members[0].releaseCount() + members[1].releaseCount() + members[2].releaseCount()
		if after != before {
			t.Errorf("%d shards were released for rebalancing, want 0", after-before)
		}
		s.wantBalanced(members...)
	})
}

func TestLeavingWorkersReachAllMembersWithinASecond(t *testing.T) {
	runSim(t, 3, 1, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1, 2)
		time.Sleep(settleTime)
		members[0].mu.Lock()
		members[0].leavingWorkers = []cell.WorkerID{"w1"}
		members[0].mu.Unlock()
		members[0].svc.BroadcastHeartbeat()
		time.Sleep(time.Second)
		for _, m := range members[1:] {
			m.mu.Lock()
			if !slices.Contains(m.markedLeaving, "w1") {
				t.Errorf("%s was not notified of the leaving worker w1", m.id)
			}
			m.mu.Unlock()
		}
	})
}

func TestDeadMembersRowIsRemoved(t *testing.T) {
	runSim(t, 2, 1, func(t *testing.T, s *sim) {
		members := s.startAll(0, 1)
		time.Sleep(settleTime)
		members[0].kill()
		time.Sleep(deadRowRetention / 2)
		if row, _ := s.table.Get(t.Context(), memberKey(members[0].id)); row.Version == 0 {
			t.Error("the dead member's row was deleted before deadRowRetention")
		}
		time.Sleep(deadRowRetention)
		if row, _ := s.table.Get(t.Context(), memberKey(members[0].id)); row.Version != 0 {
			t.Error("the dead member's row was not deleted")
		}
		members[1].mu.Lock()
		defer members[1].mu.Unlock()
		if len(members[1].configMembers) != 0 {
			t.Errorf("the configuration store still lists members %v", members[1].configMembers)
		}
	})
}

// TestHeartbeatsAreExchangedOncePerPair bounds the exchanges of nine members: one per pair and heartbeat interval, and
// one more per pair and ownExchangeInterval.
func TestHeartbeatsAreExchangedOncePerPair(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		for i := range 9 {
			s.start(i % 4)
			time.Sleep(minHeartbeatInterval * 3 / 10)
		}
		time.Sleep(time.Minute)
		const seconds, pairs = 100, 9 * 8 / 2
		before := s.exchanges.Load()
		time.Sleep(seconds * time.Second)
		got := s.exchanges.Load() - before
		own := int64(minHeartbeatInterval*seconds*pairs) / int64(ownExchangeInterval)
		if got > seconds*pairs+own {
			t.Errorf("%d exchanges of %d pairs in %d s, want at most %d", got, pairs, seconds, seconds*pairs+own)
		}
		if got < seconds*pairs*9/10 {
			t.Errorf("%d exchanges of %d pairs in %d s, want at least 0.9 per pair and second", got, pairs, seconds)
		}
		t.Logf("%d exchanges of %d pairs in %d s", got, pairs, seconds)
	})
}

// TestIdleTableTraffic bounds the table's load from an idle cell of nine members.
func TestIdleTableTraffic(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		s.startAll(0, 1, 2, 3, 0, 1, 2, 3, 0)
		time.Sleep(time.Minute)
		before := s.table.Counts()
		time.Sleep(100 * time.Second)
		after := s.table.Counts()
		if writes := after.Writes - before.Writes; writes > 10*100 {
			t.Errorf("%d writes in 100 s, want at most 10 per second", writes)
		}
		const rowReads = 9 * 100 * time.Second / rowReadInterval
		if reads := after.Reads - before.Reads; reads > uint64(2*rowReads*5/4) {
			t.Errorf("%d reads in 100 s, want at most two lists for each of %d row reads and a quarter more", reads, rowReads)
		}
		t.Logf("in 100 s: %d writes, %d reads", after.Writes-before.Writes, after.Reads-before.Reads)
	})
}
