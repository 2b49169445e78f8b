package httpplatform_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/standin/httpserver"
)

const (
	longTTL   = time.Hour // longer than any test
	shortTTL  = 30 * time.Millisecond
	longRunMS = int64(time.Hour / time.Millisecond) // run time in ms, longer than any test
)

// fixture is a worker of a fleet and a client of its runner.
type fixture struct {
	t      *testing.T
	fleet  *standin.Fleet
	runner platformapi.RunnerClient
	worker cell.Worker
	bootID string
}

// forEachTransport runs the test once with direct calls to the fleet and once with calls over HTTP.
func forEachTransport(t *testing.T, options standin.FleetOptions, test func(f *fixture)) {
	w := cell.Worker{ID: "w1", Capacity: cell.Resources{MilliCPU: 1000, Slots: 8}}
	t.Run("in process", func(t *testing.T) {
		fleet := standin.NewFleet(options, w)
		test(&fixture{t: t, fleet: fleet, runner: fleet.RunnerFor("m1"), worker: w})
	})
	t.Run("http", func(t *testing.T) {
		host, err := httpserver.NewHost(options, "127.0.0.1", []cell.Worker{w})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(host.Close)
		client := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{Member: "m1"})
		t.Cleanup(client.Close)
		test(&fixture{t: t, fleet: host.Fleet(), runner: client, worker: host.Workers()[0]})
	})
}

func (f *fixture) claim(epoch cell.Epoch, ttl time.Duration) platformapi.WorkerReport {
	f.t.Helper()
	unclaimed, err := f.runner.Claim(f.t.Context(), f.worker, platformapi.WorkerClaim{Epoch: epoch})
	if err != nil || unclaimed.Claimed {
		f.t.Fatalf("claim without a boot id: report %+v, error %v; want an unclaimed report", unclaimed, err)
	}
	report, err := f.runner.Claim(f.t.Context(), f.worker, platformapi.WorkerClaim{Epoch: epoch, BootID: unclaimed.BootID, TTL: ttl})
	if err != nil || !report.Claimed || report.Epoch != epoch {
		f.t.Fatalf("claim: %+v, %v", report, err)
	}
	f.bootID = report.BootID
	return report
}

func (f *fixture) start(a cell.Attempt, runMS int64, ttl time.Duration) platformapi.StartReply {
	task := cell.Task{ID: a.Task, Kind: cell.KindRequest, Payload: standin.Payload{RunMS: runMS, Echo: string(a.Task)}.Encode()}
	return f.runner.Start(f.t.Context(), f.worker, f.bootID, a, task, ttl)
}

func (f *fixture) startService(a cell.Attempt, ttl time.Duration) platformapi.StartReply {
	return f.runner.Start(f.t.Context(), f.worker, f.bootID, a, cell.Task{ID: a.Task, Kind: cell.KindService}, ttl)
}

func (f *fixture) stop(a cell.Attempt, epoch cell.Epoch) (cell.Lease, error) {
	return f.runner.Stop(f.t.Context(), f.worker, a, epoch, platformapi.StopNow)
}

func (f *fixture) wantResult(got platformapi.StartReply, want platformapi.StartResult) {
	f.t.Helper()
	if got.Result != want {
		f.t.Errorf("result = %v (%s), want %v", got.Result, got.Detail, want)
	}
}

func attempt(task cell.TaskID, epoch cell.Epoch, number cell.AttemptNumber) cell.Attempt {
	return cell.Attempt{Task: task, Epoch: epoch, Number: number}
}

func TestEpochsOnlyRise(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(5, longTTL)
		if _, err := f.runner.Claim(t.Context(), f.worker, platformapi.WorkerClaim{Epoch: 4, BootID: f.bootID, TTL: longTTL}); !errors.Is(err, platformapi.ErrFenced) {
			f.t.Errorf("claim with a lower epoch: error %v, want ErrFenced", err)
		}
		f.wantResult(f.start(attempt("old", 4, 1), 1, longTTL), platformapi.StartFenced)
		f.wantResult(f.start(attempt("new", 6, 1), 1, longTTL), platformapi.StartRefused)
		f.wantResult(f.start(attempt("t", 5, 1), 1, longTTL), platformapi.StartFinished)
		if _, err := f.stop(attempt("t", 5, 1), 4); !errors.Is(err, platformapi.ErrFenced) {
			f.t.Errorf("stop with a lower epoch: error %v, want ErrFenced", err)
		}
		if report := f.claim(6, longTTL); len(report.Leases) != 1 || report.Leases[0].Phase != cell.LeaseEnded {
			f.t.Errorf("leases = %+v, want one ended lease", report.Leases)
		}
	})
}

func TestAttemptStartsOnceAndAnswersTheSame(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		a := attempt("t", 1, 1)
		first := f.start(a, 1, longTTL)
		again := f.start(a, longRunMS, longTTL)
		awaited := f.runner.Await(t.Context(), f.worker, a)
		for _, reply := range []platformapi.StartReply{again, awaited} {
			if reply.Result != platformapi.StartFinished || string(reply.Answer) != string(first.Answer) {
				f.t.Errorf("reply = %+v, want %+v", reply, first)
			}
		}
		var answer standin.Answer
		if err := json.Unmarshal(first.Answer, &answer); err != nil || answer.Attempt != a || answer.Echo != "t" {
			f.t.Errorf("answer = %+v, %v", answer, err)
		}
	})
}

func TestStopOfUnknownAttemptLeavesTombstone(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		a := attempt("t", 1, 1)
		if lease, err := f.stop(a, 1); err != nil || lease.Phase != cell.LeaseTombstone {
			f.t.Fatalf("stop: %+v, %v", lease, err)
		}
		f.wantResult(f.start(a, 1, longTTL), platformapi.StartRefused)
		f.wantResult(f.runner.Await(t.Context(), f.worker, a), platformapi.StartRefused)
	})
}

func TestStopEndsRunningAttempt(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		a := attempt("service", 1, 1)
		f.wantResult(f.startService(a, longTTL), platformapi.StartAccepted)
		f.wantResult(f.startService(a, longTTL), platformapi.StartAccepted)
		for range 2 {
			if lease, err := f.stop(a, 1); err != nil || lease.Phase != cell.LeaseEnded {
				f.t.Fatalf("stop: %+v, %v", lease, err)
			}
		}
		if reply := f.startService(a, longTTL); reply.Result != platformapi.StartFinished || !reply.Failed {
			f.t.Errorf("start of a stopped attempt: reply %+v, want a failed run", reply)
		}
	})
}

func TestLeaseExpiresUnlessRenewed(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		f.startService(attempt("renewed", 1, 1), longTTL)
		f.startService(attempt("short", 1, 1), shortTTL)
		if reply := f.runner.Await(t.Context(), f.worker, attempt("short", 1, 1)); reply.Result != platformapi.StartFinished || !reply.Failed {
			f.t.Fatalf("await of an expired lease: reply %+v, want a failed run", reply)
		}
		f.wantPhases(map[cell.TaskID]cell.LeasePhase{"renewed": cell.LeaseRunning, "short": cell.LeaseEnded})
		f.claim(1, shortTTL) // a claim's TTL replaces the one of the start
		f.wantResult(f.runner.Await(t.Context(), f.worker, attempt("renewed", 1, 1)), platformapi.StartFinished)
	})
}

func TestLeaseExpiresDuringAPause(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		f.startService(attempt("t", 1, 1), shortTTL)
		f.fleet.Freeze("w1")
		ctx, cancel := context.WithTimeout(t.Context(), 2*shortTTL)
		defer cancel()
		if _, err := f.runner.Claim(ctx, f.worker, platformapi.WorkerClaim{Epoch: 1, BootID: f.bootID, TTL: longTTL}); !errors.Is(err, platformapi.ErrUnreachable) {
			f.t.Fatalf("claim of a paused worker: error %v, want ErrUnreachable", err)
		}
		f.fleet.Thaw("w1")
		f.wantPhases(map[cell.TaskID]cell.LeasePhase{"t": cell.LeaseEnded}) // although this claim would renew the lease
	})
}

func TestRestartedRunnerHasNoLeases(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(7, longTTL)
		f.startService(attempt("t", 7, 1), longTTL)
		earlierBootID := f.bootID
		f.fleet.Restart("w1")
		report, err := f.runner.Claim(t.Context(), f.worker, platformapi.WorkerClaim{Epoch: 7, BootID: earlierBootID, TTL: longTTL})
		if err != nil || report.Claimed || report.BootID == earlierBootID || report.Epoch != 0 || len(report.Leases) != 0 {
			f.t.Fatalf("claim with the earlier boot id: report %+v, error %v; want an unclaimed report without leases", report, err)
		}
		f.wantResult(f.start(attempt("t", 7, 2), 1, longTTL), platformapi.StartRefused)
		if report := f.claim(3, longTTL); len(report.Leases) != 0 {
			f.t.Errorf("leases after a restart = %+v, want none", report.Leases)
		}
	})
}

func TestEndedLeasesAreKeptForRetention(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{Retention: time.Nanosecond}, func(f *fixture) {
		f.claim(1, longTTL)
		f.start(attempt("t", 1, 1), 1, longTTL)
		f.wantPhases(nil)
		f.wantResult(f.runner.Await(t.Context(), f.worker, attempt("t", 1, 1)), platformapi.StartRefused)
	})
}

func TestReportsAreWholeOverManyChanges(t *testing.T) {
	const steps, seed = 300, 7
	retentions := map[string]time.Duration{"ended leases are kept": time.Hour, "ended leases are dropped at once": time.Nanosecond}
	for name, retention := range retentions {
		t.Run(name, func(t *testing.T) {
			forEachTransport(t, standin.FleetOptions{Retention: retention}, func(f *fixture) {
				f.claim(1, longTTL)
				random := rand.New(rand.NewPCG(seed, seed))
				for range steps {
					a := attempt(cell.TaskID("t"+strconv.Itoa(random.IntN(steps/4))), 1, 1)
					switch random.IntN(3) {
					case 0:
						f.startService(a, longTTL)
					case 1:
						if _, err := f.stop(a, 1); err != nil {
							f.t.Fatal(err)
						}
					default:
						f.wantFullReport()
					}
				}
			})
		})
	}
}

// wantFullReport compares the report of a claim by the client with the fleet's own report.
func (f *fixture) wantFullReport() {
	f.t.Helper()
	c := platformapi.WorkerClaim{Epoch: 1, BootID: f.bootID, TTL: longTTL}
	report, err := f.runner.Claim(f.t.Context(), f.worker, c)
	if err != nil {
		f.t.Fatal(err)
	}
	full, err := f.fleet.Claim(f.t.Context(), f.worker, c)
	if err != nil {
		f.t.Fatal(err)
	}
	if got, want := phasesOf(report), phasesOf(full); !maps.Equal(got, want) {
		f.t.Fatalf("phases in the report = %v, want %v", got, want)
	}
}

func phasesOf(report platformapi.WorkerReport) map[cell.Attempt]cell.LeasePhase {
	phases := make(map[cell.Attempt]cell.LeasePhase)
	for _, l := range report.Leases {
		phases[l.Attempt] = l.Phase
	}
	return phases
}

func TestCrashEndsEverything(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		started := make(chan platformapi.StartReply)
		go func() { started <- f.start(attempt("t", 1, 1), longRunMS, longTTL) }()
		for len(f.fleet.History()) < 2 { // the worker itself and the lease's start
			time.Sleep(time.Millisecond)
		}
		f.fleet.Crash("w1")
		f.wantResult(<-started, platformapi.StartInDoubt)
		if _, err := f.stop(attempt("t", 1, 1), 1); !errors.Is(err, platformapi.ErrUnreachable) {
			f.t.Errorf("stop on a lost worker: error %v, want ErrUnreachable", err)
		}
	})
}

func TestLeavingIsReported(t *testing.T) {
	forEachTransport(t, standin.FleetOptions{}, func(f *fixture) {
		f.claim(1, longTTL)
		f.fleet.MarkLeaving("w1")
		if report := f.claim(1, longTTL); !report.Leaving {
			f.t.Errorf("report = %+v, want Leaving", report)
		}
	})
}

// wantPhases checks the phases of the leases that a claim reports.
func (f *fixture) wantPhases(want map[cell.TaskID]cell.LeasePhase) {
	f.t.Helper()
	report := f.claim(1, longTTL)
	if len(report.Leases) != len(want) {
		f.t.Errorf("leases = %+v, want %v", report.Leases, want)
	}
	for _, l := range report.Leases {
		if l.Phase != want[l.Attempt.Task] {
			f.t.Errorf("phase of lease %v = %s, want %s", l.Attempt, l.Phase, want[l.Attempt.Task])
		}
	}
}
