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
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
	"laburnumpoint/internal/standin/httpserver"
)

const (
	longTTL  = time.Hour // no test reaches it
	shortTTL = 30 * time.Millisecond
	forever  = int64(time.Hour / time.Millisecond) // run time that no test reaches
)

// subject is a worker with its runner, reached in one way.
type subject struct {
	t      *testing.T
	fleet  *standin.Fleet
	runner platform.RunnerClient
	worker cell.Worker
	boot   string
}

// forEachSubject runs the test against the fleet in this process and against it over HTTP.
func forEachSubject(t *testing.T, options standin.FleetOptions, test func(s *subject)) {
	w := cell.Worker{ID: "w1", Capacity: cell.Resources{MilliCPU: 1000, Slots: 8}}
	t.Run("in process", func(t *testing.T) {
		fleet := standin.NewFleet(options, w)
		test(&subject{t: t, fleet: fleet, runner: fleet.As("m1"), worker: w})
	})
	t.Run("http", func(t *testing.T) {
		host, err := httpserver.NewHost(options, "127.0.0.1", []cell.Worker{w})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(host.Close)
		client := httpplatform.NewRunnerClient(httpplatform.RunnerOptions{Member: "m1"})
		t.Cleanup(client.Close)
		test(&subject{t: t, fleet: host.Fleet(), runner: client, worker: host.Workers()[0]})
	})
}

func (s *subject) claim(epoch cell.Epoch, ttl time.Duration) platform.WorkerReport {
	s.t.Helper()
	asked, err := s.runner.Claim(s.t.Context(), s.worker, platform.WorkerClaim{Epoch: epoch})
	if err != nil || asked.Claimed {
		s.t.Fatalf("asking for the boot id: %+v, %v", asked, err)
	}
	report, err := s.runner.Claim(s.t.Context(), s.worker, platform.WorkerClaim{Epoch: epoch, BootID: asked.BootID, TTL: ttl})
	if err != nil || !report.Claimed || report.Epoch != epoch {
		s.t.Fatalf("claim: %+v, %v", report, err)
	}
	s.boot = report.BootID
	return report
}

func (s *subject) start(a cell.Attempt, runMS int64, ttl time.Duration) platform.StartReply {
	task := cell.Task{ID: a.Task, Kind: cell.KindRequest, Payload: standin.Payload{RunMS: runMS, Echo: string(a.Task)}.Encode()}
	return s.runner.Start(s.t.Context(), s.worker, s.boot, a, task, ttl)
}

func (s *subject) startService(a cell.Attempt, ttl time.Duration) platform.StartReply {
	return s.runner.Start(s.t.Context(), s.worker, s.boot, a, cell.Task{ID: a.Task, Kind: cell.KindService}, ttl)
}

func (s *subject) stop(a cell.Attempt, epoch cell.Epoch) (cell.Lease, error) {
	return s.runner.Stop(s.t.Context(), s.worker, a, epoch, platform.StopNow)
}

func (s *subject) wantResult(got platform.StartReply, want platform.StartResult) {
	s.t.Helper()
	if got.Result != want {
		s.t.Errorf("result = %v (%s), want %v", got.Result, got.Detail, want)
	}
}

func attempt(task cell.TaskID, epoch cell.Epoch, n cell.AttemptNumber) cell.Attempt {
	return cell.Attempt{Task: task, Epoch: epoch, Number: n}
}

func TestEpochsGoUpwardsOnly(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(5, longTTL)
		if _, err := s.runner.Claim(t.Context(), s.worker, platform.WorkerClaim{Epoch: 4, BootID: s.boot, TTL: longTTL}); !errors.Is(err, platform.ErrFenced) {
			s.t.Errorf("lower claim: %v", err)
		}
		s.wantResult(s.start(attempt("old", 4, 1), 1, longTTL), platform.StartFenced)
		s.wantResult(s.start(attempt("new", 6, 1), 1, longTTL), platform.StartRefused)
		s.wantResult(s.start(attempt("t", 5, 1), 1, longTTL), platform.StartFinished)
		if _, err := s.stop(attempt("t", 5, 1), 4); !errors.Is(err, platform.ErrFenced) {
			s.t.Errorf("stop with lower epoch: %v", err)
		}
		if report := s.claim(6, longTTL); len(report.Leases) != 1 || report.Leases[0].Phase != cell.LeaseEnded {
			s.t.Errorf("leases = %+v", report.Leases)
		}
	})
}

func TestAttemptStartsOnceAndAnswersTheSame(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		a := attempt("t", 1, 1)
		first := s.start(a, 1, longTTL)
		again := s.start(a, forever, longTTL)
		awaited := s.runner.Await(t.Context(), s.worker, a)
		for _, reply := range []platform.StartReply{again, awaited} {
			if reply.Result != platform.StartFinished || string(reply.Answer) != string(first.Answer) {
				s.t.Errorf("reply = %+v, want %+v", reply, first)
			}
		}
		var answer standin.Answer
		if err := json.Unmarshal(first.Answer, &answer); err != nil || answer.Attempt != a || answer.Echo != "t" {
			s.t.Errorf("answer = %+v, %v", answer, err)
		}
	})
}

func TestStopOfUnknownAttemptLeavesTombstone(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		a := attempt("t", 1, 1)
		if lease, err := s.stop(a, 1); err != nil || lease.Phase != cell.LeaseTombstone {
			s.t.Fatalf("stop: %+v, %v", lease, err)
		}
		s.wantResult(s.start(a, 1, longTTL), platform.StartRefused)
		s.wantResult(s.runner.Await(t.Context(), s.worker, a), platform.StartRefused)
	})
}

func TestStopEndsRunningAttempt(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		a := attempt("service", 1, 1)
		s.wantResult(s.startService(a, longTTL), platform.StartAccepted)
		s.wantResult(s.startService(a, longTTL), platform.StartAccepted)
		for range 2 {
			if lease, err := s.stop(a, 1); err != nil || lease.Phase != cell.LeaseEnded {
				s.t.Fatalf("stop: %+v, %v", lease, err)
			}
		}
		if reply := s.startService(a, longTTL); reply.Result != platform.StartFinished || !reply.Failed {
			s.t.Errorf("start of a stopped attempt: %+v", reply)
		}
	})
}

func TestLeaseLapsesUnlessRenewed(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		s.startService(attempt("renewed", 1, 1), longTTL)
		s.startService(attempt("short", 1, 1), shortTTL)
		if reply := s.runner.Await(t.Context(), s.worker, attempt("short", 1, 1)); reply.Result != platform.StartFinished || !reply.Failed {
			s.t.Fatalf("lapsed lease answers %+v", reply)
		}
		s.wantPhases(map[cell.TaskID]cell.LeasePhase{"renewed": cell.LeaseRunning, "short": cell.LeaseEnded})
		s.claim(1, shortTTL) // a claim's ttl replaces that of the start
		s.wantResult(s.runner.Await(t.Context(), s.worker, attempt("renewed", 1, 1)), platform.StartFinished)
	})
}

func TestLeaseLapsesOverPause(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		s.startService(attempt("t", 1, 1), shortTTL)
		s.fleet.Freeze("w1")
		ctx, cancel := context.WithTimeout(t.Context(), 2*shortTTL)
		defer cancel()
		if _, err := s.runner.Claim(ctx, s.worker, platform.WorkerClaim{Epoch: 1, BootID: s.boot, TTL: longTTL}); !errors.Is(err, platform.ErrUnreachable) {
			s.t.Fatalf("claim of a paused worker: %v", err)
		}
		s.fleet.Thaw("w1")
		s.wantPhases(map[cell.TaskID]cell.LeasePhase{"t": cell.LeaseEnded}) // although this claim would renew it
	})
}

func TestRestartForgets(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(7, longTTL)
		s.startService(attempt("t", 7, 1), longTTL)
		before := s.boot
		s.fleet.Restart("w1")
		report, err := s.runner.Claim(t.Context(), s.worker, platform.WorkerClaim{Epoch: 7, BootID: before, TTL: longTTL})
		if err != nil || report.Claimed || report.BootID == before || report.Epoch != 0 || len(report.Leases) != 0 {
			s.t.Fatalf("claim with the earlier boot id: %+v, %v", report, err)
		}
		s.wantResult(s.start(attempt("t", 7, 2), 1, longTTL), platform.StartRefused)
		if report := s.claim(3, longTTL); len(report.Leases) != 0 {
			s.t.Errorf("leases after restart: %+v", report.Leases)
		}
	})
}

func TestEndedLeasesAreKeptForRetention(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{Retention: time.Nanosecond}, func(s *subject) {
		s.claim(1, longTTL)
		s.start(attempt("t", 1, 1), 1, longTTL)
		s.wantPhases(nil)
		s.wantResult(s.runner.Await(t.Context(), s.worker, attempt("t", 1, 1)), platform.StartRefused)
	})
}

func TestReportsAreWholeOverManyChanges(t *testing.T) {
	const steps, seed = 300, 7
	retentions := map[string]time.Duration{"nothing forgotten": time.Hour, "all forgotten at once": time.Nanosecond}
	for name, retention := range retentions {
		t.Run(name, func(t *testing.T) {
			forEachSubject(t, standin.FleetOptions{Retention: retention}, func(s *subject) {
				s.claim(1, longTTL)
				random := rand.New(rand.NewPCG(seed, seed))
				for range steps {
					a := attempt(cell.TaskID("t"+strconv.Itoa(random.IntN(steps/4))), 1, 1)
					switch random.IntN(3) {
					case 0:
						s.startService(a, longTTL)
					case 1:
						if _, err := s.stop(a, 1); err != nil {
							s.t.Fatal(err)
						}
					default:
						s.wantWholeReport()
					}
				}
			})
		})
	}
}

// wantWholeReport compares a claim with the whole list of leases.
func (s *subject) wantWholeReport() {
	s.t.Helper()
	c := platform.WorkerClaim{Epoch: 1, BootID: s.boot, TTL: longTTL}
	report, err := s.runner.Claim(s.t.Context(), s.worker, c)
	if err != nil {
		s.t.Fatal(err)
	}
	whole, err := s.fleet.Claim(s.t.Context(), s.worker, c)
	if err != nil {
		s.t.Fatal(err)
	}
	if got, want := phasesOf(report), phasesOf(whole); !maps.Equal(got, want) {
		s.t.Fatalf("report %v, want %v", got, want)
	}
}

func phasesOf(report platform.WorkerReport) map[cell.Attempt]cell.LeasePhase {
	phases := make(map[cell.Attempt]cell.LeasePhase)
	for _, l := range report.Leases {
		phases[l.Attempt] = l.Phase
	}
	return phases
}

func TestCrashEndsEverything(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		started := make(chan platform.StartReply)
		go func() { started <- s.start(attempt("t", 1, 1), forever, longTTL) }()
		for len(s.fleet.History()) < 2 { // the worker itself and the lease's start
			time.Sleep(time.Millisecond)
		}
		s.fleet.Crash("w1")
		s.wantResult(<-started, platform.StartInDoubt)
		if _, err := s.stop(attempt("t", 1, 1), 1); !errors.Is(err, platform.ErrUnreachable) {
			s.t.Errorf("stop on a lost worker: %v", err)
		}
	})
}

func TestLeavingIsReported(t *testing.T) {
	forEachSubject(t, standin.FleetOptions{}, func(s *subject) {
		s.claim(1, longTTL)
		s.fleet.Leave("w1")
		if report := s.claim(1, longTTL); !report.Leaving {
			s.t.Errorf("report = %+v", report)
		}
	})
}

// wantPhases checks the leases that a claim reports.
func (s *subject) wantPhases(want map[cell.TaskID]cell.LeasePhase) {
	s.t.Helper()
	report := s.claim(1, longTTL)
	if len(report.Leases) != len(want) {
		s.t.Errorf("leases = %+v, want %v", report.Leases, want)
	}
	for _, l := range report.Leases {
		if l.Phase != want[l.Attempt.Task] {
			s.t.Errorf("lease %v is %s, want %s", l.Attempt, l.Phase, want[l.Attempt.Task])
		}
	}
}
