package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
)

// Bounds on virtual time.
const (
	// settleTime is enough for members started together to share the shards.
	settleTime = takeDelay + 3*time.Second
	// takeoverLimit is the stated bound from an owner's end to its shards' takeover.
	takeoverLimit = 5 * time.Second
	// leaveLimit is below every expiry and below the interval of reading the rows.
	leaveLimit = 250 * time.Millisecond
)

func TestMembersShareShards(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2, 3, 0, 1, 2, 3, 0)
		time.Sleep(settleTime)
		s.wantSpread(nodes...)
		for _, n := range nodes {
			for _, shard := range s.shards {
				o, ok := n.svc.Owner(shard.ID)
				if !ok || !o.Live || o.Addr == "" {
					t.Errorf("%s: owner of %s is %+v, %v", n.id, shard.ID, o, ok)
				}
				if d, ok := n.svc.Digest(shard.ID); !ok || d.GetQueued() != 5 {
					t.Errorf("%s: no digest of %s", n.id, shard.ID)
				}
			}
			if got := len(n.svc.Members()); got != len(nodes) {
				t.Errorf("%s: sees %d members, want %d", n.id, got, len(nodes))
			}
		}
	})
}

func TestKilledOwnersShardsAreTakenOver(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := nodes[0].holds()
		nodes[0].kill()
		time.Sleep(takeoverLimit)
		s.wantSpread(nodes[1:]...)
		for _, n := range nodes[1:] {
			for shard, epoch := range n.holds() {
				if old, was := before[shard]; was && epoch != old+1 {
					t.Errorf("%s taken over with epoch %d after %d", shard, epoch, old)
				}
			}
		}
	})
}

// TestRestartedDaemonReplacesItsFormerSelf restarts a daemon at its address at once.
func TestRestartedDaemonReplacesItsFormerSelf(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		nodes[0].kill()
		restarted := s.startAt(0, nodes[0].addr)
		time.Sleep(takeoverLimit)
		s.wantHeldBy(nodes[1], nodes[2], restarted)
		if row, _ := s.table.Get(t.Context(), memberKey(nodes[0].id)); row.Version != 0 {
			t.Error("the row of the former self is still there")
		}
	})
}

func TestFrozenOwnerIsSuperseded(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		old := nodes[0]
		before := old.holds()
		old.freeze()
		time.Sleep(takeoverLimit + silenceMin)
		s.wantSpread(nodes[1:]...)
		time.Sleep(time.Minute)
		old.thaw()
		for shard, epoch := range before {
			if err := old.svc.ConfirmOwnership(t.Context(), shard, epoch); !errors.Is(err, ErrSuperseded) {
				t.Errorf("Confirm of %s under epoch %d: %v, want ErrSuperseded", shard, epoch, err)
			}
		}
		time.Sleep(time.Second)
		if got := old.holds(); len(got) != 0 {
			t.Errorf("the old owner still holds %v", got)
		}
		s.wantHeldBy(nodes...)
	})
}

func TestGracefulLeaveHandsOverAtOnce(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		count := len(nodes[0].holds())
		begin := time.Now()
		if err := nodes[0].svc.Leave(t.Context()); err != nil {
			t.Fatalf("Leave: %v", err)
		}
		for _, shard := range s.shards {
			row, err := s.table.Get(t.Context(), shardKey(shard.ID))
			if r, _ := decodeShard(row); err != nil || r.Owner == nodes[0].id {
				t.Errorf("%s is still owned by the member that left (%v)", shard.ID, err)
			}
		}
		nodes[0].kill()
		time.Sleep(leaveLimit - time.Since(begin))
		s.wantSpread(nodes[1:]...)
		if got := nodes[0].releaseCount(); got != count {
			t.Errorf("%d releases of %d shards", got, count)
		}
		row, err := s.table.Get(t.Context(), memberKey(nodes[0].id))
		if err != nil || row.Version != 0 {
			t.Errorf("the member's row is still there (%v)", err)
		}
	})
}

func TestLeaveWithTheTableDownReleasesNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := len(nodes[0].holds())
		s.table.SetFaults(standin.TableFaults{Down: true})
		time.Sleep(tableSilenceLimit + tickInterval)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := nodes[0].svc.Leave(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Leave: %v, want DeadlineExceeded", err)
		}
		if got := len(nodes[0].holds()); got != before {
			t.Errorf("the host decides for %d shards, want %d", got, before)
		}
	})
}

// TestSlowTableMovesNothing makes every operation nearly as slow as its timeout.
func TestSlowTableMovesNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := held(nodes...)
		s.table.SetFaults(standin.TableFaults{Delay: tableTimeout * 9 / 10})
		nodes[0].peersCut.Store(true)
		time.Sleep(10 * time.Minute)
		for shard, holders := range held(nodes...) {
			if !slices.Equal(holders, before[shard]) {
				t.Errorf("%s is held by %v, want %v", shard, holders, before[shard])
			}
		}
	})
}

func TestTableDownKeepsOwnersAndTakesNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		s.table.SetFaults(standin.TableFaults{Down: true})
		want := held(nodes[1:]...)
		nodes[0].kill()
		time.Sleep(10 * time.Minute)
		got := held(nodes[1:]...)
		if len(got) != len(want) {
			t.Errorf("shards held are %v during the outage, want %v", got, want)
		}
		if err := nodes[1].svc.ConfirmOwnership(t.Context(), s.shards[0].ID, 1); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("Confirm during the outage: %v, want ErrUnavailable", err)
		}
		s.table.SetFaults(standin.TableFaults{})
		time.Sleep(takeoverLimit)
		s.wantSpread(nodes[1:]...)
	})
}

func TestMemberCutOffFromTableAloneKeepsItsShards(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := nodes[0].holds()
		nodes[0].tableCut.Store(true)
		time.Sleep(10 * time.Minute)
		after := nodes[0].holds()
		for shard, epoch := range before {
			if after[shard] != epoch {
				t.Errorf("%s under epoch %d became epoch %d", shard, epoch, after[shard])
			}
		}
		s.wantSpread(nodes...)
	})
}

// TestDeathBesideAMemberCutOffFromTable needs the shards of the dead to go to the one member that can take them.
func TestDeathBesideAMemberCutOffFromTable(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		nodes[0].tableCut.Store(true)
		time.Sleep(time.Minute)
		nodes[1].kill()
		time.Sleep(takeoverLimit)
		s.wantHeldBy(nodes[0], nodes[2])
		nodes[0].tableCut.Store(false)
		time.Sleep(time.Minute)
		s.wantSpread(nodes[0], nodes[2])
	})
}

func TestMemberCutOffFromMembersAloneKeepsItsShards(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := held(nodes...)
		nodes[0].peersCut.Store(true)
		time.Sleep(10 * time.Minute)
		if got := held(nodes...); len(got) != len(before) {
			t.Errorf("holders are %v, want %v", got, before)
		}
		for _, n := range nodes {
			for shard, epoch := range n.holds() {
				if epoch != 1 {
					t.Errorf("%s moved to epoch %d", shard, epoch)
				}
			}
		}
	})
}

// TestOwnershipOnlyRises feeds the loop rows late, out of order and twice.
func TestOwnershipOnlyRises(t *testing.T) {
	s := newSim(t, 1, 1)
	n := &node{sim: s, id: "me", held: make(map[cell.ShardID]cell.Epoch)}
	l := newLoop(t.Context(), New(Options{ID: n.id, Clock: n, ShardHost: n, ConfigStore: n}))
	rows := []struct {
		row  shardRow
		want cell.Epoch
	}{
		{shardRow{Owner: "me", Epoch: 1}, 1},
		{shardRow{Owner: "other", Epoch: 2}, 0},
		{shardRow{Owner: "me", Epoch: 1}, 0},
		{shardRow{Epoch: 2, Next: "me"}, 0},
		{shardRow{Owner: "other", Epoch: 2}, 0},
		{shardRow{Owner: "me", Epoch: 3}, 3},
		{shardRow{Owner: "me", Epoch: 3}, 3},
		{shardRow{Epoch: 2, Next: "me"}, 3},
	}
	id := s.shards[0].ID
	for i, r := range rows {
		known := l.shard(id).row
		l.observeShard(id, uint64(i+1), r.row)
		if l.shard(id).row.olderThan(known) {
			t.Errorf("row %d, %+v, replaced the later %+v", i, r.row, known)
		}
		if got := n.holds()[id]; got != r.want {
			t.Errorf("after row %d the host holds epoch %d, want %d", i, got, r.want)
		}
	}
	l.lose(l.shard(id), "other")
	l.observeShard(id, 9, shardRow{Owner: "me", Epoch: 3})
	if got := n.holds()[id]; got != 0 {
		t.Errorf("the host holds epoch %d again after it was superseded", got)
	}
}

// TestShareIsKeptWhileOthersAcquire shows a member that acquires its share one row of another that does the same.
func TestShareIsKeptWhileOthersAcquire(t *testing.T) {
	const cells = 20
	for c := range cells {
		ids := []cell.MemberID{}
		for n := range 3 {
			ids = append(ids, cell.MemberID(fmt.Sprintf("cell%d-m%d", c, n)))
		}
		full := loopAmong(t, ids[0], ids).assign()
		for taken, other := range full {
			if other == ids[0] {
				continue
			}
			l := loopAmong(t, ids[0], ids)
			for shard, owner := range full {
				l.shard(shard).acquiring = owner == ids[0]
			}
			l.observeShard(taken, 1, shardRow{Owner: other, Epoch: 1})
			for shard, owner := range l.assign() {
				if owner == ids[0] && full[shard] != owner {
					t.Errorf("after %s took %s, %s was assigned beyond the share", other, taken, shard)
				}
			}
		}
	}
}

// loopAmong returns the loop of one of the members, to which all are live and no shard has an owner.
func loopAmong(t *testing.T, self cell.MemberID, ids []cell.MemberID) *loop {
	n := &node{sim: newSim(t, 1, 6), id: self, held: make(map[cell.ShardID]cell.Epoch)}
	l := newLoop(t.Context(), New(Options{ID: self, Zone: "a", Clock: n, ShardHost: n, ConfigStore: n, Shards: n.shardList}))
	l.svc.takes.Store(true)
	for _, id := range ids {
		if id != self {
			l.members[id] = &observed{id: id, zone: "a", alive: l.present, takes: true}
		}
	}
	return l
}

func TestReleaseComesLastInItsEpoch(t *testing.T) {
	ordered := []shardRow{{}, {Owner: "a", Epoch: 1}, {Epoch: 1}, {Owner: "b", Epoch: 2}, {Epoch: 2}}
	for i, x := range ordered {
		for j, y := range ordered {
			if got := x.olderThan(y); got != (i < j) {
				t.Errorf("%+v olderThan %+v = %v", x, y, got)
			}
		}
	}
}

// TestRacingTakeoversHaveOneWinner lets members that do not see each other acquire the same shards.
func TestRacingTakeoversHaveOneWinner(t *testing.T) {
	runSim(t, 2, 4, func(t *testing.T, s *sim) {
		s.hideMembers.Store(true)
		nodes := s.startMany(0, 1, 0)
		time.Sleep(settleTime) // wrong judgements go on, and the sim checks that no epoch is given twice
		s.hideMembers.Store(false)
		time.Sleep(settleTime)
		s.wantHeldBy(nodes...)
	})
}

// TestPausedObserverTakesNothing pauses a member beyond the time in which another, cut off from the table and so
// heard by heartbeats alone, would seem dead.
func TestPausedObserverTakesNothing(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := nodes[1].holds()
		nodes[1].tableCut.Store(true)
		time.Sleep(30 * time.Second)
		nodes[0].freeze()
		time.Sleep(silenceMin + heartbeatMin)
		nodes[0].thaw()
		time.Sleep(30 * time.Second)
		after := nodes[1].holds()
		for shard, epoch := range before {
			if after[shard] != epoch {
				t.Errorf("%s under epoch %d became epoch %d", shard, epoch, after[shard])
			}
		}
		s.wantHeldBy(nodes...)
	})
}

// TestTableOutageIsNoProofOfDeath ends an outage while a member is silent towards the others.
func TestTableOutageIsNoProofOfDeath(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		before := held(nodes...)
		s.table.SetFaults(standin.TableFaults{Down: true})
		nodes[0].peersCut.Store(true)
		time.Sleep(time.Minute)
		s.table.SetFaults(standin.TableFaults{})
		time.Sleep(time.Minute)
		for shard, holders := range held(nodes...) {
			if !slices.Equal(holders, before[shard]) {
				t.Errorf("%s is held by %v, want %v", shard, holders, before[shard])
			}
		}
	})
}

// TestSupersededOwnerCutOffFromTableLearns cuts the old owner off from the table while it is paused.
func TestSupersededOwnerCutOffFromTableLearns(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		nodes[0].freeze()
		time.Sleep(takeoverLimit + silenceMin)
		nodes[0].tableCut.Store(true)
		nodes[0].thaw()
		time.Sleep(2 * heartbeatMin)
		if got := nodes[0].holds(); len(got) != 0 {
			t.Errorf("the old owner still holds %v", got)
		}
	})
}

func TestLostAnswersAreSettled(t *testing.T) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		s.table.SetFaults(standin.TableFaults{LoseAnswers: 12})
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		s.wantSpread(nodes...)
		s.table.SetFaults(standin.TableFaults{LoseAnswers: 100})
		ctx, cancel := context.WithTimeout(t.Context(), takeoverLimit)
		defer cancel()
		if err := nodes[0].svc.Leave(ctx); err != nil {
			t.Fatalf("Leave: %v", err)
		}
		nodes[0].kill()
		time.Sleep(takeoverLimit)
		s.wantSpread(nodes[1:]...)
	})
}

// TestJoinMovesFewShards adds a member to a stable cell and counts the moves.
func TestJoinMovesFewShards(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(time.Minute)
		var settled int
		for _, n := range nodes {
			settled += n.releaseCount()
		}
		nodes = append(nodes, s.start(3))
		time.Sleep(2 * time.Minute)
		s.wantSpread(nodes...)
		moves := -settled
		for _, n := range nodes {
			moves += n.releaseCount()
		}
		if moves != 4 {
			t.Errorf("%d shards moved to the fourth member, want its share of 4", moves)
		}
		for _, n := range nodes {
			for i := 1; i < len(n.released); i++ {
				if gap := n.released[i].Sub(n.released[i-1]); gap < moveInterval {
					t.Errorf("%s released two shards within %v", n.id, gap)
				}
			}
		}
	})
}

// TestFlappingMemberMovesNothingForBalance lets one member come and go faster than the others take it as stable.
func TestFlappingMemberMovesNothingForBalance(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(time.Minute)
		before := nodes[0].releaseCount() + nodes[1].releaseCount() + nodes[2].releaseCount()
		for range 10 {
			flapping := s.start(3)
			time.Sleep(stableBefore / 2)
			flapping.kill()
			time.Sleep(stableBefore / 2)
		}
		after := nodes[0].releaseCount() + nodes[1].releaseCount() + nodes[2].releaseCount()
		if after != before {
			t.Errorf("%d shards moved", after-before)
		}
		s.wantSpread(nodes...)
	})
}

func TestLeavingWorkersReachAllMembersWithinASecond(t *testing.T) {
	runSim(t, 3, 1, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1, 2)
		time.Sleep(settleTime)
		nodes[0].mu.Lock()
		nodes[0].leaving = []cell.WorkerID{"w1"}
		nodes[0].mu.Unlock()
		nodes[0].svc.BroadcastHeartbeat()
		time.Sleep(time.Second)
		for _, n := range nodes[1:] {
			n.mu.Lock()
			if !slices.Contains(n.noted, "w1") {
				t.Errorf("%s has not heard of the leaving worker", n.id)
			}
			n.mu.Unlock()
		}
	})
}

func TestDeadMembersRowIsRemoved(t *testing.T) {
	runSim(t, 2, 1, func(t *testing.T, s *sim) {
		nodes := s.startMany(0, 1)
		time.Sleep(settleTime)
		nodes[0].kill()
		time.Sleep(removeAfter / 2)
		if row, _ := s.table.Get(t.Context(), memberKey(nodes[0].id)); row.Version == 0 {
			t.Error("the row was removed early")
		}
		time.Sleep(removeAfter)
		if row, _ := s.table.Get(t.Context(), memberKey(nodes[0].id)); row.Version != 0 {
			t.Error("the row is still there")
		}
		nodes[1].mu.Lock()
		defer nodes[1].mu.Unlock()
		if len(nodes[1].members) != 0 {
			t.Errorf("the configuration still waits for %v", nodes[1].members)
		}
	})
}

// TestHeartbeatsAreExchangedOncePerPair bounds the exchanges of nine members: one for each pair and interval, and one
// more where a member's own exchange is due.
func TestHeartbeatsAreExchangedOncePerPair(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		for n := range 9 {
			s.start(n % 4)
			time.Sleep(heartbeatMin * 3 / 10)
		}
		time.Sleep(time.Minute)
		const seconds, pairs = 100, 9 * 8 / 2
		before := s.calls.Load()
		time.Sleep(seconds * time.Second)
		got := s.calls.Load() - before
		own := int64(heartbeatMin*seconds*pairs) / int64(ownExchangeInterval)
		if got > seconds*pairs+own {
			t.Errorf("%d exchanges of %d pairs in %d s, want at most %d", got, pairs, seconds, seconds*pairs+own)
		}
		if got < seconds*pairs*9/10 {
			t.Errorf("%d exchanges of %d pairs in %d s are too few", got, pairs, seconds)
		}
		t.Logf("%d exchanges of %d pairs in %d s", got, pairs, seconds)
	})
}

// TestIdleTableTraffic bounds what a cell of nine members costs the table each second.
func TestIdleTableTraffic(t *testing.T) {
	runSim(t, 4, 4, func(t *testing.T, s *sim) {
		s.startMany(0, 1, 2, 3, 0, 1, 2, 3, 0)
		time.Sleep(time.Minute)
		before := s.table.Counts()
		time.Sleep(100 * time.Second)
		after := s.table.Counts()
		if writes := after.Writes - before.Writes; writes > 10*100 {
			t.Errorf("%d writes in 100 s, want at most ten a second", writes)
		}
		const readings = 9 * 100 * time.Second / rowsInterval
		if reads := after.Reads - before.Reads; reads > uint64(2*readings*5/4) {
			t.Errorf("%d reads in 100 s, want two lists for each of %d readings and a quarter more", reads, readings)
		}
		t.Logf("in 100 s: %d writes, %d reads", after.Writes-before.Writes, after.Reads-before.Reads)
	})
}
