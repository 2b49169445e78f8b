package membership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"laburnumpoint/internal/config"
	"laburnumpoint/internal/standin"
)

// Bounds, in virtual time, on the propagation of the configuration.
const (
	// pushBound is shorter than every polling interval, so that a version can only have arrived by a heartbeat.
	pushBound = 100 * time.Millisecond
	// propagationBound is the stated bound on the time from a version's acceptance until it applies everywhere.
	propagationBound = 13 * time.Second
)

// runConfigSim runs body on a cell of three members that each have a real configuration store.
func runConfigSim(t *testing.T, body func(t *testing.T, s *sim, members []*simMember)) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		s.realConfig = true
		var members []*simMember
		for zone := range 3 {
			members = append(members, s.start(zone))
			time.Sleep(minHeartbeatInterval * 3 / 10) // so that in each pair the same member always begins the exchanges
		}
		time.Sleep(settleTime)
		body(t, s, members)
	})
}

func limitPatch(base uint64, limit int) config.Patch {
	return config.Patch{
		ID:    fmt.Sprintf("p%d", base),
		Base:  base,
		Merge: fmt.Appendf(nil, `{"max_queued_per_shard":%d}`, limit),
	}
}

func mustAccept(t *testing.T, m *simMember, p config.Patch) {
	t.Helper()
	if got := m.store.Submit(t.Context(), p); got.Status != config.StatusAccepted {
		t.Fatalf("%s: patch %s is %s (%s)", m.id, p.ID, got.Status, got.Reason)
	}
}

func wantVersion(t *testing.T, m *simMember, version uint64, fresh bool) {
	t.Helper()
	current, gotFresh := m.store.Current()
	if current.Version != version || gotFresh != fresh {
		t.Errorf("%s: version %d, fresh %v; want %d, %v", m.id, current.Version, gotFresh, version, fresh)
	}
}

func TestAcceptedPatchIsPushedAtOnce(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, members []*simMember) {
		members[1].tableUnreachable.Store(true)
		for base := range uint64(20) {
			mustAccept(t, members[0], limitPatch(base+1, int(base)+1))
			time.Sleep(pushBound)
			for _, m := range members {
				wantVersion(t, m, base+2, true)
			}
		}
	})
}

// TestAcceptedPatchFollowsAHeartbeatInFlight accepts a patch while heartbeats with the previous version are in flight.
func TestAcceptedPatchFollowsAHeartbeatInFlight(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, members []*simMember) {
		time.Sleep(minHeartbeatInterval / 2)
		members[0].svc.BroadcastHeartbeat()
		time.Sleep(networkDelay / 2)
		mustAccept(t, members[0], limitPatch(1, 5))
		time.Sleep(pushBound)
		for _, m := range members {
			wantVersion(t, m, 2, true)
		}
	})
}

func TestOutageOfTheTableKeepsTheVersionFresh(t *testing.T) {
	runConfigSim(t, func(t *testing.T, s *sim, members []*simMember) {
		mustAccept(t, members[0], limitPatch(1, 5))
		s.table.SetFaults(standin.TableFaults{Down: true})
		for range 10 {
			time.Sleep(time.Minute)
			for _, m := range members {
				wantVersion(t, m, 2, true)
			}
		}
		members[2].freeze()
		time.Sleep(config.FreshnessBound + minHeartbeatInterval)
		wantVersion(t, members[0], 2, false) // the frozen member may have accepted a patch
		members[2].thaw()
		time.Sleep(2 * minHeartbeatInterval)
		for _, m := range members {
			wantVersion(t, m, 2, true)
		}
	})
}

// TestCutOffMemberIsStaleWithinTheBound accepts a patch while one member reaches neither the table nor other members.
func TestCutOffMemberIsStaleWithinTheBound(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, members []*simMember) {
		members[2].tableUnreachable.Store(true)
		members[2].peersUnreachable.Store(true)
		mustAccept(t, members[0], limitPatch(1, 5))
		time.Sleep(propagationBound)
		wantVersion(t, members[0], 2, true)
		wantVersion(t, members[1], 2, true)
		wantVersion(t, members[2], 1, false)
		members[2].peersUnreachable.Store(false)
		time.Sleep(3 * minHeartbeatInterval)
		wantVersion(t, members[2], 2, true)
	})
}

// TestThawedProcessUsesNoStaleConfiguration reads the version of a thawed process before anything else has run in it.
func TestThawedProcessUsesNoStaleConfiguration(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, members []*simMember) {
		members[2].freeze()
		mustAccept(t, members[0], limitPatch(1, 5))
		time.Sleep(propagationBound)
		members[2].thaw()
		if current, fresh := members[2].store.Current(); fresh && current.Version != 2 {
			t.Errorf("thawed process reports version %d as fresh", current.Version)
		}
		time.Sleep(3 * minHeartbeatInterval)
		wantVersion(t, members[2], 2, true)
	})
}

func TestStartedWhileTheTableIsDownServesNothing(t *testing.T) {
	runConfigSim(t, func(t *testing.T, s *sim, _ []*simMember) {
		s.table.SetFaults(standin.TableFaults{Down: true})
		late := s.start(0)
		time.Sleep(time.Minute)
		wantVersion(t, late, 0, false)
		if got := late.ownedShards(); len(got) != 0 {
			t.Errorf("the member owns shards without a configuration: %v", got)
		}
		s.table.SetFaults(standin.TableFaults{})
		time.Sleep(settleTime)
		wantVersion(t, late, 1, true)
	})
}

// TestRacingOperatorsUnderFaults submits patches through every member at once while the table goes down and loses
// answers and single members lose their connection to it. Each member's version only rises, no version is accepted
// twice, and the history has every version.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	runConfigSim(t, func(t *testing.T, s *sim, members []*simMember) {
		var mu sync.Mutex
		accepted := make(map[uint64]string)
		var wg sync.WaitGroup
		for _, m := range members {
			wg.Go(func() {
				for i := range 30 {
					current, _ := m.store.Current()
					p := limitPatch(current.Version, i+1)
					p.ID = fmt.Sprintf("%s-%d", m.id, i)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					got := m.store.Submit(ctx, p)
					cancel()
					mu.Lock()
					if other, taken := accepted[got.Version]; got.Status == config.StatusAccepted && taken {
						t.Errorf("version %d was accepted for %s and %s", got.Version, p.ID, other)
					}
					if got.Status == config.StatusAccepted {
						accepted[got.Version] = p.ID
					}
					mu.Unlock()
					time.Sleep(time.Second)
				}
			})
		}
		for i := range 10 {
			s.table.SetFaults(standin.TableFaults{
				Down:        i%4 == 1,
				LoseAnswers: i % 3,
				Delay:       time.Duration(i%3) * 100 * time.Millisecond,
			})
			members[i%3].tableUnreachable.Store(true)
			time.Sleep(3 * time.Second)
			members[i%3].tableUnreachable.Store(false)
		}
		s.table.SetFaults(standin.TableFaults{})
		wg.Wait()
		time.Sleep(propagationBound)
		latest, _ := members[0].store.Current()
		for _, m := range members {
			wantVersion(t, m, latest.Version, true)
		}
		history, err := members[0].store.History(t.Context(), 100)
		if err != nil || len(history) != int(latest.Version) {
			t.Fatalf("history has %d versions, want %d (error: %v)", len(history), latest.Version, err)
		}
		if len(accepted) == 0 {
			t.Error("no patch was accepted")
		}
	})
}

// configStore returns the member's real configuration store, or the member itself if the test has none.
func (m *simMember) configStore() ConfigStore {
	if m.store == nil {
		return m
	}
	return m.store
}

func (m *simMember) startStore(ctx context.Context) {
	var notified uint64
	m.store = config.NewStore(config.Options{
		Table:   memberTable{m},
		Clock:   m,
		Fetcher: config.PeerFetcher{Client: m},
		OnChange: func(v config.Versioned) {
			if v.Version <= notified {
				m.sim.t.Errorf("%s: notified of version %d after %d", m.id, v.Version, notified)
			}
			notified = v.Version
		},
		OnAccepted: func() { m.svc.BroadcastHeartbeat() },
	})
	go func() {
		for m.store.Bootstrap(ctx, config.Default()) != nil {
			time.Sleep(time.Second)
		}
		m.store.Run(ctx)
	}()
}

func (m *simMember) shardList() []Shard {
	if m.store == nil {
		return m.sim.shards
	}
	if current, _ := m.store.Current(); current.Version == 0 {
		return nil
	}
	return m.sim.shards
}
