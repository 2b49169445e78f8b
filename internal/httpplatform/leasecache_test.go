package httpplatform

import (
	"testing"
	"time"

	"laburnumpoint/internal/cell"
)

const retention = 10 * time.Second

var now = time.Unix(1_000_000, 0)

func reply(revision uint64, full bool, leases ...ChangedLease) ClaimReply {
	return ClaimReply{Worker: "w1", BootID: "b1", Claimed: true, Revision: revision, Full: full, Retention: retention, Changed: leases}
}

func running(task cell.TaskID) ChangedLease {
	return ChangedLease{Attempt: cell.Attempt{Task: task}, Phase: cell.LeaseRunning, Task: &cell.Task{ID: task, Team: "team"}, Elapsed: time.Second}
}

func ended(task cell.TaskID) ChangedLease {
	return ChangedLease{Attempt: cell.Attempt{Task: task}, Phase: cell.LeaseEnded}
}

func wantLeases(t *testing.T, got []cell.Lease, want map[cell.TaskID]cell.LeasePhase) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("leases = %+v, want %v", got, want)
	}
	for _, l := range got {
		if l.Phase != want[l.Attempt.Task] || l.Worker != "w1" || l.Task.ID != l.Attempt.Task {
			t.Errorf("lease = %+v, want %v", l, want)
		}
	}
}

func TestLeaseCacheAddsUpChanges(t *testing.T) {
	var c leaseCache
	c.merge(reply(2, true, running("a"), running("b")), now)
	if c.knownRevision("b1") != 2 || c.knownRevision("b2") != 0 {
		t.Errorf("known revision = %d for the worker's boot id, %d for another; want 2 and 0", c.knownRevision("b1"), c.knownRevision("b2"))
	}
	report := c.merge(reply(3, false, ended("b")), now.Add(time.Second))
	wantLeases(t, report.Leases, map[cell.TaskID]cell.LeasePhase{"a": cell.LeaseRunning, "b": cell.LeaseEnded})
	for _, l := range report.Leases {
		if l.Phase == cell.LeaseRunning && (l.Elapsed != 2*time.Second || l.Task.Team != "team") {
			t.Errorf("running lease = %+v, want 2 s elapsed and its team", l)
		}
	}
	report = c.merge(reply(3, false), now.Add(time.Second+retention))
	wantLeases(t, report.Leases, map[cell.TaskID]cell.LeasePhase{"a": cell.LeaseRunning})
}

func TestLeaseCacheTakesRepliesInAnyOrder(t *testing.T) {
	var c leaseCache
	c.merge(reply(1, true, running("a")), now)
	c.merge(reply(3, false, ended("a"), running("b")), now)
	report := c.merge(reply(2, false, running("a")), now) // sent before the lease's end and received after it
	wantLeases(t, report.Leases, map[cell.TaskID]cell.LeasePhase{"a": cell.LeaseEnded, "b": cell.LeaseRunning})
	report = c.merge(reply(1, true, running("a")), now)
	wantLeases(t, report.Leases, map[cell.TaskID]cell.LeasePhase{"a": cell.LeaseEnded, "b": cell.LeaseRunning})
	if c.knownRevision("b1") != 3 {
		t.Errorf("known revision = %d, want 3", c.knownRevision("b1"))
	}
}

func TestLeaseCacheFullReplyReplaces(t *testing.T) {
	var c leaseCache
	c.merge(reply(1, true, running("a")), now)
	report := c.merge(reply(9, true, running("b")), now) // the worker no longer knows of a's end
	wantLeases(t, report.Leases, map[cell.TaskID]cell.LeasePhase{"b": cell.LeaseRunning})
	rebooted := reply(1, true, running("c"))
	rebooted.BootID = "b2"
	wantLeases(t, c.merge(rebooted, now).Leases, map[cell.TaskID]cell.LeasePhase{"c": cell.LeaseRunning})
}

func TestStateOfIdleRunnersIsDropped(t *testing.T) {
	r := NewRunnerClient(RunnerOptions{})
	r.runnerState(cell.Worker{Addr: "127.0.0.1:1"}).lastCalled = time.Now().Add(-runnerIdleTime - time.Minute)
	r.runnerState(cell.Worker{Addr: "127.0.0.1:2"})
	r.runnerState(cell.Worker{Addr: "127.0.0.1:3"})
	if _, ok := r.runners["127.0.0.1:1"]; ok || len(r.runners) != 2 {
		t.Errorf("state of %d runners is kept, want 2 without the idle one", len(r.runners))
	}
}
