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

// Bounds on virtual time for the configuration.
const (
	// pushLimit is below every polling interval.
	pushLimit = 100 * time.Millisecond
	// forceLimit is the stated bound from acceptance to force everywhere.
	forceLimit = 13 * time.Second
)

// runConfigSim runs body on a cell of three members with a real configuration store each.
func runConfigSim(t *testing.T, body func(t *testing.T, s *sim, nodes []*node)) {
	runSim(t, 3, 2, func(t *testing.T, s *sim) {
		s.realConfig = true
		var nodes []*node
		for zone := range 3 {
			nodes = append(nodes, s.start(zone))
			time.Sleep(heartbeatMin * 3 / 10) // so that one of each pair always begins the exchanges
		}
		time.Sleep(settleTime)
		body(t, s, nodes)
	})
}

func limitPatch(base uint64, limit int) config.Patch {
	return config.Patch{
		ID:    fmt.Sprintf("p%d", base),
		Base:  base,
		Merge: fmt.Appendf(nil, `{"max_queued_per_shard":%d}`, limit),
	}
}

func mustAccept(t *testing.T, n *node, p config.Patch) {
	t.Helper()
	if got := n.store.Submit(t.Context(), p); got.Status != config.StatusAccepted {
		t.Fatalf("%s: patch %s is %s (%s)", n.id, p.ID, got.Status, got.Reason)
	}
}

func wantVersion(t *testing.T, n *node, version uint64, fresh bool) {
	t.Helper()
	current, gotFresh := n.store.Current()
	if current.Version != version || gotFresh != fresh {
		t.Errorf("%s: version %d, fresh %v; want %d, %v", n.id, current.Version, gotFresh, version, fresh)
	}
}

func TestAcceptedPatchIsPushedAtOnce(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, nodes []*node) {
		nodes[1].tableCut.Store(true)
		for base := range uint64(20) {
			mustAccept(t, nodes[0], limitPatch(base+1, int(base)+1))
			time.Sleep(pushLimit)
			for _, n := range nodes {
				wantVersion(t, n, base+2, true)
			}
		}
	})
}

// TestAcceptedPatchFollowsAHeartbeatInFlight accepts a patch just after heartbeats told of the version before.
func TestAcceptedPatchFollowsAHeartbeatInFlight(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, nodes []*node) {
		time.Sleep(heartbeatMin / 2)
		nodes[0].svc.BroadcastHeartbeat()
		time.Sleep(networkDelay / 2)
		mustAccept(t, nodes[0], limitPatch(1, 5))
		time.Sleep(pushLimit)
		for _, n := range nodes {
			wantVersion(t, n, 2, true)
		}
	})
}

func TestOutageOfTheTableKeepsTheVersionFresh(t *testing.T) {
	runConfigSim(t, func(t *testing.T, s *sim, nodes []*node) {
		mustAccept(t, nodes[0], limitPatch(1, 5))
		s.table.SetFaults(standin.TableFaults{Down: true})
		for range 10 {
			time.Sleep(time.Minute)
			for _, n := range nodes {
				wantVersion(t, n, 2, true)
			}
		}
		nodes[2].freeze()
		time.Sleep(config.FreshnessBound + heartbeatMin)
		wantVersion(t, nodes[0], 2, false) // the frozen member may have accepted a patch
		nodes[2].thaw()
		time.Sleep(2 * heartbeatMin)
		for _, n := range nodes {
			wantVersion(t, n, 2, true)
		}
	})
}

// TestCutOffMemberIsStaleWithinTheBound accepts a patch that one member can't learn of.
func TestCutOffMemberIsStaleWithinTheBound(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, nodes []*node) {
		nodes[2].tableCut.Store(true)
		nodes[2].peersCut.Store(true)
		mustAccept(t, nodes[0], limitPatch(1, 5))
		time.Sleep(forceLimit)
		wantVersion(t, nodes[0], 2, true)
		wantVersion(t, nodes[1], 2, true)
		wantVersion(t, nodes[2], 1, false)
		nodes[2].peersCut.Store(false)
		time.Sleep(3 * heartbeatMin)
		wantVersion(t, nodes[2], 2, true)
	})
}

// TestFrozenAndWokenDecidesNothingStale asks a woken process for its version before anything else has run in it.
func TestFrozenAndWokenDecidesNothingStale(t *testing.T) {
	runConfigSim(t, func(t *testing.T, _ *sim, nodes []*node) {
		nodes[2].freeze()
		mustAccept(t, nodes[0], limitPatch(1, 5))
		time.Sleep(forceLimit)
		nodes[2].thaw()
		if current, fresh := nodes[2].store.Current(); fresh && current.Version != 2 {
			t.Errorf("woken process takes version %d as fresh", current.Version)
		}
		time.Sleep(3 * heartbeatMin)
		wantVersion(t, nodes[2], 2, true)
	})
}

func TestStartedWhileTheTableIsDownServesNothing(t *testing.T) {
	runConfigSim(t, func(t *testing.T, s *sim, _ []*node) {
		s.table.SetFaults(standin.TableFaults{Down: true})
		late := s.start(0)
		time.Sleep(time.Minute)
		wantVersion(t, late, 0, false)
		if got := late.holds(); len(got) != 0 {
			t.Errorf("it holds %v", got)
		}
		s.table.SetFaults(standin.TableFaults{})
		time.Sleep(settleTime)
		wantVersion(t, late, 1, true)
	})
}

// TestRacingOperatorsUnderFaults has operators race through every member while the table comes and goes and loses
// answers, and one member is cut off and back. Versions at each member only rise, and accepted ones are one chain.
func TestRacingOperatorsUnderFaults(t *testing.T) {
	runConfigSim(t, func(t *testing.T, s *sim, nodes []*node) {
		var mu sync.Mutex
		accepted := make(map[uint64]string)
		var wg sync.WaitGroup
		for _, n := range nodes {
			wg.Go(func() {
				for i := range 30 {
					current, _ := n.store.Current()
					p := limitPatch(current.Version, i+1)
					p.ID = fmt.Sprintf("%s-%d", n.id, i)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					got := n.store.Submit(ctx, p)
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
			s.table.SetFaults(standin.TableFaults{Down: i%4 == 1, LoseAnswers: i % 3, Delay: time.Duration(i%3) * 100 * time.Millisecond})
			nodes[i%3].tableCut.Store(true)
			time.Sleep(3 * time.Second)
			nodes[i%3].tableCut.Store(false)
		}
		s.table.SetFaults(standin.TableFaults{})
		wg.Wait()
		time.Sleep(forceLimit)
		latest, _ := nodes[0].store.Current()
		for _, n := range nodes {
			wantVersion(t, n, latest.Version, true)
		}
		history, err := nodes[0].store.History(t.Context(), 100)
		if err != nil || len(history) != int(latest.Version) {
			t.Fatalf("history has %d of %d versions (%v)", len(history), latest.Version, err)
		}
		if len(accepted) == 0 {
			t.Error("no patch was accepted")
		}
	})
}

// configOf lets a member take its configuration from a real store or from the fields of node.
func (n *node) configOf() ConfigStore {
	if n.store == nil {
		return n
	}
	return n.store
}

func (n *node) startStore(ctx context.Context) {
	var told uint64
	n.store = config.NewStore(config.Options{
		Table: nodeTable{n},
		Clock: n,
		Fetch: config.PeerFetcher{Caller: n},
		Changed: func(v config.Versioned) {
			if v.Version <= told {
				n.sim.t.Errorf("%s: told of version %d after %d", n.id, v.Version, told)
			}
			told = v.Version
		},
		Accepted: func() { n.svc.BroadcastHeartbeat() },
	})
	go func() {
		for n.store.Bootstrap(ctx, config.Default()) != nil {
			time.Sleep(time.Second)
		}
		n.store.Run(ctx)
	}()
}

func (n *node) shardList() []Shard {
	if n.store == nil {
		return n.sim.shards
	}
	if current, _ := n.store.Current(); current.Version == 0 {
		return nil
	}
	return n.sim.shards
}
