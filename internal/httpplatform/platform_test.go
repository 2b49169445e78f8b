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
	"laburnumpoint/internal/platformapi"
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
	create := []platformapi.Op{{Key: key, Value: []byte{0, 255}}}
	versions, err := client.Apply(t.Context(), create)
	if err != nil || len(versions) != 1 {
		t.Fatalf("Apply: versions %v, error %v", versions, err)
	}
	if _, err := client.Apply(t.Context(), create); !errors.Is(err, platformapi.ErrConflict) {
		t.Errorf("Apply of the same transaction again: error %v, want ErrConflict", err)
	}
	row, err := client.Get(t.Context(), key)
	if err != nil || row.Key != key || row.Version != versions[0] || !bytes.Equal(row.Value, []byte{0, 255}) {
		t.Errorf("Get: row %+v, error %v", row, err)
	}
	if missing, err := client.Get(t.Context(), "none"); err != nil || missing.Version != 0 {
		t.Errorf("Get of a missing row: row %+v, error %v", missing, err)
	}
	if rows, err := client.List(t.Context(), "a key/"); err != nil || len(rows) != 1 || rows[0].Key != key {
		t.Errorf("List: rows %+v, error %v", rows, err)
	}
	services.Table.SetFaults(standin.TableFaults{LoseAnswers: 1})
	if _, err := client.Apply(t.Context(), []platformapi.Op{{Key: "lost"}}); !errors.Is(err, platformapi.ErrUncertain) {
		t.Errorf("Apply with a lost answer: error %v, want ErrUncertain", err)
	}
	if row, err := client.Get(t.Context(), "lost"); err != nil || row.Version == 0 {
		t.Errorf("row of the write whose answer was lost: %+v, error %v", row, err)
	}
	services.Table.SetFaults(standin.TableFaults{Down: true})
	if _, err := client.Apply(t.Context(), create); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("Apply while the table is down: error %v, want ErrUnavailable", err)
	}
}

func TestObjectsOverHTTP(t *testing.T) {
	services, client := newStandin(t)
	objects := client.Objects()
	if _, err := objects.Get(t.Context(), "a/b"); !errors.Is(err, platformapi.ErrNotFound) {
		t.Errorf("Get of a missing object: error %v, want ErrNotFound", err)
	}
	data := bytes.Repeat([]byte{1, 2, 3}, 100_000)
	services.ObjectStore.SetFaults(standin.ObjectFaults{LoseAnswers: 1})
	if err := objects.Put(t.Context(), "a/b c%2F", data); !errors.Is(err, platformapi.ErrUncertain) {
		t.Errorf("Put with a lost answer: error %v, want ErrUncertain", err)
	}
	if err := objects.Put(t.Context(), "a/b c%2F", data); err != nil {
		t.Errorf("Put: %v", err)
	}
	if got, err := objects.Get(t.Context(), "a/b c%2F"); err != nil || !bytes.Equal(got, data) {
		t.Errorf("Get: %d bytes, error %v", len(got), err)
	}
}

func TestRunnerRefusesConnectionsBeyondItsBound(t *testing.T) {
	host, err := httpserver.NewHost(standin.FleetOptions{MaxConnections: 2}, "127.0.0.1", []cell.Worker{{ID: "w1"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Close)
	f := &fixture{t: t, fleet: host.Fleet(), worker: host.Workers()[0]}
	for range 2 { // each client keeps the connection of its claim open
		client := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
		t.Cleanup(client.Close)
		f.runner = client
		f.claim(1, longTTL)
	}
	thirdClient := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{})
	t.Cleanup(thirdClient.Close)
	f.runner = thirdClient
	f.wantResult(f.start(attempt("t", 1, 1), 1, longTTL), platformapi.StartNotSent)
	if _, err := thirdClient.Claim(t.Context(), f.worker, platformapi.WorkerClaim{Epoch: 1}); !errors.Is(err, platformapi.ErrUnreachable) {
		t.Errorf("claim without a free connection: error %v, want ErrUnreachable", err)
	}
}

func TestNetworkFaultsOverHTTP(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.WorkerFaults
		want   platformapi.StartResult
		starts int
	}{
		{"unreachable", standin.WorkerFaults{Unreachable: true}, platformapi.StartNotSent, 0},
		{"unreachable from this member", standin.WorkerFaults{UnreachableFrom: []cell.MemberID{"m1"}}, platformapi.StartInDoubt, 0},
		{"worker does not respond", standin.WorkerFaults{Unresponsive: true}, platformapi.StartInDoubt, 0},
		{"answer dropped", standin.WorkerFaults{DropAnswers: true}, platformapi.StartInDoubt, 1},
		{"answer truncated", standin.WorkerFaults{TruncateAnswers: true}, platformapi.StartInDoubt, 1},
		{"every task fails", standin.WorkerFaults{FailTasks: true}, platformapi.StartFinished, 1},
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
			f := &fixture{t: t, fleet: host.Fleet(), worker: host.Workers()[0], runner: client}
			f.claim(1, longTTL)
			setFaults(t, host, c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			if c.faults.Unresponsive {
				ctx, cancel = context.WithTimeout(t.Context(), shortTimeout)
			}
			defer cancel()
			reply := client.Start(ctx, f.worker, f.bootID, attempt("t", 1, 1), cell.Task{ID: "t", Kind: cell.KindRequest}, longTTL)
			f.wantResult(reply, c.want)
			if reply.Failed != c.faults.FailTasks {
				t.Errorf("reply = %+v, want Failed as in the injected faults", reply)
			}
			if got := countStarts(host.Fleet()); got != c.starts {
				t.Errorf("%d starts recorded, want %d", got, c.starts)
			}
			setFaults(t, host, standin.WorkerFaults{})
			freshClient := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{}) // the first client's connections may be dead
			t.Cleanup(freshClient.Close)
			f.runner = freshClient
			f.claim(1, longTTL)
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
