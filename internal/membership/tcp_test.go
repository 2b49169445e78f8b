package membership

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/wire"
)

// hangTimeout ends a test that would otherwise wait forever. No check depends on its value.
const hangTimeout = time.Minute

// tcpMember is a member set up as in the daemon, on loopback connections and the real clock.
type tcpMember struct {
	svc    *Service
	store  *config.Store
	server *peer.Server
	client *peer.Client
	set    *metrics.Set
	host   *tcpHost
	stop   context.CancelFunc
}

// tcpHost is a ShardHost that runs no shards and reports the releases that are requested of it.
type tcpHost struct {
	released chan cell.ShardID
}

func (h *tcpHost) OnShardAcquired(cell.ShardID, cell.Epoch)                      {}
func (h *tcpHost) OnShardLost(cell.ShardID, cell.Epoch)                          {}
func (h *tcpHost) ShardDigests() []*wire.ShardDigest                             { return nil }
func (h *tcpHost) LeavingWorkers() []cell.WorkerID                               { return nil }
func (h *tcpHost) MarkWorkersLeaving([]cell.WorkerID)                            {}
func (h *tcpHost) ReleaseShard(_ context.Context, id cell.ShardID, _ cell.Epoch) { h.released <- id }

// Handle implements peer.Handler.
func (m *tcpMember) Handle(_ context.Context, req *wire.Request) *wire.Reply {
	if req.GetConfig() != nil {
		return m.store.HandleConfigRequest(req.GetConfig())
	}
	return m.svc.HandleHeartbeat(req.GetHeartbeat())
}

func startTCPMember(t *testing.T, table platformapi.Table, n int) *tcpMember {
	t.Helper()
	m := &tcpMember{set: metrics.NewSet(), host: &tcpHost{released: make(chan cell.ShardID, 100)}}
	server, err := peer.Bind("127.0.0.1:0", m.set)
	if err != nil {
		t.Fatal(err)
	}
	m.server = server
	m.client = peer.NewClient(monotime.BootClock{}, m.set)
	m.store = config.NewStore(config.Options{
		Table:      table,
		Clock:      monotime.BootClock{},
		Fetcher:    config.PeerFetcher{Client: m.client},
		OnAccepted: func() { m.svc.BroadcastHeartbeat() },
	})
	m.svc = New(Options{
		ID:          cell.MemberID(fmt.Sprintf("tcp%d", n)),
		Addr:        server.Addr(),
		Zone:        "a",
		Table:       table,
		Peers:       m.client,
		Clock:       monotime.BootClock{},
		ShardHost:   m.host,
		ConfigStore: m.store,
		Shards:      func() []Shard { return makeShards(1, 6) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	if err := m.store.Bootstrap(ctx, config.Default()); err != nil {
		t.Fatal(err)
	}
	server.Serve(m)
	go m.svc.Run(ctx)
	t.Cleanup(func() {
		cancel()
		server.Close()
		m.client.Close()
	})
	return m
}

// await waits until the condition holds.
func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	for !cond() {
		select {
		case <-ctx.Done():
			t.Fatalf("waited %v for: %s", hangTimeout, what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func countOwnedBy(m *tcpMember, members ...*tcpMember) int {
	count := 0
	for _, s := range makeShards(1, 6) {
		o, ok := m.svc.Owner(s.ID)
		for _, other := range members {
			if ok && o.Owner == other.svc.opts.ID {
				count++
			}
		}
	}
	return count
}

// TestMembersOverTCP runs three members on sockets: they share the shards, a patch reaches all of them without polling,
// a leave hands shards over, and the shards of a member that ends abruptly are taken over.
func TestMembersOverTCP(t *testing.T) {
	table := standin.NewTable()
	var all []*tcpMember
	for n := range 3 {
		all = append(all, startTCPMember(t, table, n))
	}
	await(t, "every member to own two shards and to know all owners", func() bool {
		for _, m := range all {
			if countOwnedBy(m, all...) != 6 || len(m.svc.OwnedShards()) != 2 {
				return false
			}
		}
		return true
	})

	result := all[0].store.Submit(t.Context(), limitPatch(1, 7))
	if result.Status != config.StatusAccepted {
		t.Fatalf("patch is %s (%s)", result.Status, result.Reason)
	}
	await(t, "the patch to reach every member; none of them polls", func() bool {
		for _, m := range all {
			if v, _ := m.store.Current(); v.Version != 2 {
				return false
			}
		}
		return true
	})

	if err := all[0].svc.Leave(t.Context()); err != nil {
		t.Fatalf("Leave: %v", err)
	}
	if err := all[0].server.Shutdown(t.Context()); err != nil {
		t.Fatalf("Shutdown: %v", err)
	}
	all[0].stop()
	for _, s := range makeShards(1, 6) {
		row, err := table.Get(t.Context(), shardKey(s.ID))
		if r, _ := decodeShardRow(row); err != nil || r.Owner == all[0].svc.opts.ID {
			t.Errorf("%s is still owned by the member that left, or can't be read (error: %v)", s.ID, err)
		}
	}
	if got := len(all[0].host.released); got < 2 {
		t.Errorf("%d releases were requested of the host, want one for each of its 2 shards", got)
	}
	await(t, "the other members to take over from the member that left", func() bool {
		return countOwnedBy(all[1], all[1:]...) == 6 && countOwnedBy(all[2], all[1:]...) == 6
	})

	all[1].stop()
	all[1].server.Close()
	await(t, "the last member to take over from the member that ended", func() bool {
		return countOwnedBy(all[2], all[2]) == 6
	})

	var out strings.Builder
	all[2].set.WritePrometheus(&out)
	if !strings.Contains(out.String(), `laburnumpoint_peer_sent_bytes_total{side="client",traffic="control"}`) {
		t.Errorf("metrics show no control traffic:\n%s", out.String())
	}
}
