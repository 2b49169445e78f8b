package httpplatform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/standin/httpserver"
)

func newStandin(t *testing.T) (*httpserver.Platform, *httpplatform.PlatformClient) {
	t.Helper()
	services := httpserver.NewPlatform(0)
	server := httptest.NewServer(services.Handler())
	t.Cleanup(server.Close)
	client := httpplatform.NewPlatformClient(httpplatform.PlatformOptions{Addr: strings.TrimPrefix(server.URL, "http://")})
	t.Cleanup(client.Close)
	return services, client
}

func TestTableOverHTTP(t *testing.T) {
	services, client := newStandin(t)
	key := "a key/with ü?&%2F"
	create := []platform.Op{{Key: key, Value: []byte{0, 255}}}
	versions, err := client.Apply(t.Context(), create)
	if err != nil || len(versions) != 1 {
		t.Fatalf("apply: %v, %v", versions, err)
	}
	if _, err := client.Apply(t.Context(), create); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("apply again: %v", err)
	}
	row, err := client.Get(t.Context(), key)
	if err != nil || row.Key != key || row.Version != versions[0] || !bytes.Equal(row.Value, []byte{0, 255}) {
		t.Errorf("get: %+v, %v", row, err)
	}
	if missing, err := client.Get(t.Context(), "none"); err != nil || missing.Version != 0 {
		t.Errorf("get of no row: %+v, %v", missing, err)
	}
	if rows, err := client.List(t.Context(), "a key/"); err != nil || len(rows) != 1 || rows[0].Key != key {
		t.Errorf("list: %+v, %v", rows, err)
	}
	services.Table.SetFaults(standin.TableFaults{LoseAnswers: 1})
	if _, err := client.Apply(t.Context(), []platform.Op{{Key: "lost"}}); !errors.Is(err, platform.ErrUncertain) {
		t.Errorf("answer lost: %v", err)
	}
	if row, err := client.Get(t.Context(), "lost"); err != nil || row.Version == 0 {
		t.Errorf("the write whose answer was lost: %+v, %v", row, err)
	}
	services.Table.SetFaults(standin.TableFaults{Down: true})
	if _, err := client.Apply(t.Context(), create); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("down: %v", err)
	}
}

func TestObjectsOverHTTP(t *testing.T) {
	services, client := newStandin(t)
	objects := client.Objects()
	if _, err := objects.Get(t.Context(), "a/b"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("get of no object: %v", err)
	}
	data := bytes.Repeat([]byte{1, 2, 3}, 100_000)
	services.Objects.SetFaults(standin.ObjectFaults{LoseAnswers: 1})
	if err := objects.Put(t.Context(), "a/b c%2F", data); !errors.Is(err, platform.ErrUncertain) {
		t.Errorf("answer lost: %v", err)
	}
	if err := objects.Put(t.Context(), "a/b c%2F", data); err != nil {
		t.Errorf("put: %v", err)
	}
	if got, err := objects.Get(t.Context(), "a/b c%2F"); err != nil || !bytes.Equal(got, data) {
		t.Errorf("get: %d bytes, %v", len(got), err)
	}
}

func TestRunnerRefusesConnectionsBeyondItsBound(t *testing.T) {
	host, err := httpserver.NewHost(standin.FleetOptions{Connections: 2}, "127.0.0.1", []cell.Worker{{ID: "w1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	s := &subject{t: t, fleet: host.Fleet(), worker: host.Workers()[0]}
	for range 2 { // each client keeps the connection of its claim
		client := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
		t.Cleanup(client.Close)
		s.runner = client
		s.claim(1, longTTL)
	}
	third := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
	t.Cleanup(third.Close)
	s.runner = third
	s.wantResult(s.start(attempt("t", 1, 1), 1, longTTL), platform.StartNotSent)
	if _, err := third.Claim(t.Context(), s.worker, platform.WorkerClaim{Epoch: 1}); !errors.Is(err, platform.ErrUnreachable) {
		t.Errorf("claim: %v", err)
	}
}

func TestNetworkFaultsOverHTTP(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.WorkerFaults
		want   platform.StartResult
		starts int
	}{
		{"unreachable", standin.WorkerFaults{Unreachable: true}, platform.StartNotSent, 0},
		{"unreachable from this member", standin.WorkerFaults{UnreachableFrom: []cell.MemberID{"m1"}}, platform.StartInDoubt, 0},
		{"silent", standin.WorkerFaults{Silent: true}, platform.StartInDoubt, 0},
		{"answer dropped", standin.WorkerFaults{DropAnswers: true}, platform.StartInDoubt, 1},
		{"answer cut", standin.WorkerFaults{CutAnswers: true}, platform.StartInDoubt, 1},
		{"every task fails", standin.WorkerFaults{FailTasks: true}, platform.StartFinished, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			host, err := httpserver.NewHost(standin.FleetOptions{}, "127.0.0.1", []cell.Worker{{ID: "w1"}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(host.Close)
			client := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{Member: "m1"})
			t.Cleanup(client.Close)
			s := &subject{t: t, fleet: host.Fleet(), worker: host.Workers()[0], runner: client}
			s.claim(1, longTTL)
			setFaults(t, host, c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
			if c.faults.Silent {
				ctx, cancel = context.WithTimeout(t.Context(), shortWait)
			}
			defer cancel()
			reply := client.Start(ctx, s.worker, s.boot, attempt("t", 1, 1), cell.Task{ID: "t", Kind: cell.KindRequest}, longTTL)
			s.wantResult(reply, c.want)
			if reply.Failed != c.faults.FailTasks {
				t.Errorf("reply = %+v", reply)
			}
			if got := countStarts(host.Fleet()); got != c.starts {
				t.Errorf("%d starts recorded, want %d", got, c.starts)
			}
			setFaults(t, host, standin.WorkerFaults{})
			again := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{}) // the first client's connections may be dead
			t.Cleanup(again.Close)
			s.runner = again
			s.claim(1, longTTL)
		})
	}
}

func setFaults(t *testing.T, host *httpserver.Host, f standin.WorkerFaults) {
	t.Helper()
	if err := host.SetFaults("w1", f); err != nil {
		t.Fatal(err)
	}
}

func countStarts(f *standin.Fleet) int {
	n := 0
	for _, e := range f.History() {
		if e.Kind == history.KindLeaseStart {
			n++
		}
	}
	return n
}
