package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/inbound"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/monotime/monotimetest"
	"laburnumpoint/internal/rowstore"
)

const (
	testMaxKeyUse    = 5 * time.Second
	testMaxConfigAge = 2900 * time.Millisecond
	testJob          = "/q/00000000000000aa"
)

// keyTest is a daemon that reads its configuration from a store which tests can cut off. It runs in virtual time.
type keyTest struct {
	*Service
	store *unreachableStore
}

func newKeyTest(ctx context.Context, t *testing.T) *keyTest {
	t.Helper()
	store := &unreachableStore{MemoryStore: rowstore.NewMemoryStore()}
	clock := monotimetest.Clock{Start: time.Now()}
	quiet := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	replica := ledger.NewReplica(store, clock, quiet, ledger.DaemonInfo{Incarnation: "a"})
	go replica.Run(ctx)
	k := &keyTest{store: store}
	k.Service = NewService(Options{
		Replica: replica, Clock: clock, Log: quiet, Incarnation: "a", Metrics: metrics.NewSet(), MaxConfigAge: testMaxConfigAge,
		RequireKeys: true, MaxKeyUse: testMaxKeyUse,
		StoreDown:      func() bool { return false },
		StoreUp:        func() bool { return true },
		StoreAge:       func() time.Duration { return 0 },
		OtherDaemons:   func() []string { return nil },
		ExplainIfOwner: func(context.Context, graph.JobID) ([]string, bool) { return nil, true },
	})
	// The short wait makes the configuration's age 0 when a test cuts the store off, so that keys are granted as long as possible.
	follower := &rowstore.Follower{Store: store, Clock: clock, Log: quiet, Table: "config", Parts: []string{""}, FeedWait: 10 * time.Millisecond}
	follower.OnUpdate = func(u rowstore.Update) {
		for _, change := range u.Changes {
			config := &Config{Version: change.Version, Routes: []Route{{Prefix: "/q/", Queue: graph.Queue{Name: "q", MaxAttempts: 1}}}}
			if err := config.Keys.Add("sparks", access.NewKey(string(change.Value))); err != nil {
				t.Error(err)
			}
			k.SetConfig(config)
		}
	}
	follower.OnCurrent = k.MarkConfigCurrent
	k.putKey(t, "k1")
	go follower.Run(ctx)
	time.Sleep(time.Second)
	return k
}

// putKey stores a configuration with one key.
func (k *keyTest) putKey(t *testing.T, key string) {
	t.Helper()
	row := rowstore.Row{Key: rowstore.Key{Table: "config", Name: "config"}, Value: []byte(key)}
	if _, _, err := k.store.Apply(t.Context(), rowstore.Tx{Put: []rowstore.Row{row}}); err != nil {
		t.Fatal(err)
	}
}

func oneTask() (*graph.Spec, error) { return &graph.Spec{Steps: []graph.Step{{Count: 1}}}, nil }

// callAll makes every kind of call with a key and returns the answers by name.
func (k *keyTest) callAll(ctx context.Context, key string) map[string]Answer {
	job, queue := Request{Path: testJob, Key: access.NewKey(key)}, Request{Path: "/q/", Key: access.NewKey(key)}
	return map[string]Answer{
		labelSubmit:  k.Submit(ctx, job, oneTask),
		labelState:   k.State(ctx, job),
		labelExplain: k.Explain(ctx, job),
		labelPending: k.State(ctx, queue),
		labelCancel:  k.Cancel(ctx, job),
	}
}

// runKeyTest runs a test in virtual time with a context that ends with it.
func runKeyTest(t *testing.T, test func(ctx context.Context, t *testing.T, k *keyTest)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second) // the calls under way end
		}()
		test(ctx, t, newKeyTest(ctx, t))
	})
}

func (k *keyTest) expectAll(t *testing.T, what, key string, want Result) {
	t.Helper()
	for name, answer := range k.callAll(t.Context(), key) {
		if answer.Result != want || (want == Unavailable) != (answer.RetryAfter > 0) {
			t.Errorf("%s, %s: %s with Retry-After %s, want %s", what, name, answer.Result, answer.RetryAfter, want)
		}
	}
}

// A key is removed while the store does not answer the daemon's reads. The failure is a daemon that accepts the removed key
// longer than MaxKeyUse, or that calls a key unknown which it has not read yet.
func TestRemovedKeyWithoutTheStore(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		k.expectAll(t, "known key", "k1", OK)
		k.expectAll(t, "unknown key", "k2", Unauthorized)
		k.store.unreachable.Store(true)
		k.putKey(t, "k2")
		removed := time.Now()
		time.Sleep(testMaxKeyUse / 2)
		if a := k.State(ctx, Request{Path: testJob, Key: access.NewKey("k1")}); a.Result != OK {
			t.Errorf("half of the bound after the removal: %s, want ok", a.Result)
		}
		time.Sleep(time.Until(removed.Add(testMaxKeyUse)))
		for range 20 {
			k.expectAll(t, fmt.Sprint("removed key after ", time.Since(removed)), "k1", Unavailable)
			k.expectAll(t, fmt.Sprint("new key after ", time.Since(removed)), "k2", Unavailable)
			time.Sleep(500 * time.Millisecond)
		}
		k.store.unreachable.Store(false)
		time.Sleep(time.Second)
		k.expectAll(t, "removed key, store back", "k1", Unauthorized)
		k.expectAll(t, "new key, store back", "k2", OK)
	})
}

// A daemon is frozen between the check of a submission's key and the write to the store. The failure is a job that is accepted
// with a key which was removed longer ago than MaxKeyUse.
func TestFreezeBetweenCheckAndWrite(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		k.store.unreachable.Store(true)
		frozen := func() (*graph.Spec, error) {
			time.Sleep(testMaxKeyUse)
			return oneTask()
		}
		if a := k.Submit(ctx, Request{Path: testJob, Key: access.NewKey("k1")}, frozen); a.Result != Unavailable {
			t.Errorf("submission over a freeze: %s, want unavailable", a.Result)
		}
		if _, ok, err := k.Replica.Find(ctx, "00000000000000aa"); ok {
			t.Errorf("the job is stored, error %v", err)
		}
	})
}

// The store falls silent while a command is written. The failures are a command that is let through shortly before the bound
// and takes effect after it, for as long as its caller waits, and one that is called refused though it may be stored.
func TestCommandEndsWithinTheBound(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Second, 3 * time.Second, 4 * time.Second, 4300 * time.Millisecond} {
		runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
			// The key may be removed now, and not earlier: the store answers no read from now on.
			k.store.unreachable.Store(true)
			removed := time.Now()
			time.Sleep(delay)
			k.store.silent.Store(true)
			caller, cancelCaller := context.WithTimeout(ctx, time.Minute)
			defer cancelCaller()
			answer := k.Submit(caller, Request{Path: testJob, Key: access.NewKey("k1")}, oneTask)
			if took := time.Since(removed); took > testMaxKeyUse || answer.Result != Uncertain {
				t.Errorf("submission %s after the removal: answered with %s after %s, want uncertain after %s at most", delay, answer.Result, took, testMaxKeyUse)
			}
		})
	}
}

// Answers of more organisations than have a counter. The failure is a number of series that grows with the configuration.
func TestCountersOfOrganisationsAreBounded(t *testing.T) {
	set := metrics.NewSet()
	c := newOrganisationCounters(set)
	c.count("")
	c.count("quo\"te\\d\nname")
	for i := range 3 * maxCountedOrganisations {
		c.count(fmt.Sprint("organisation-", i))
	}
	if n := len(set.ListMetricNames()); n != maxCountedOrganisations+1 {
		t.Errorf("%d series, want %d", n, maxCountedOrganisations+1)
	}
	var served strings.Builder
	set.WritePrometheus(&served)
	want := fmt.Sprintf("%s{organisation=\"other\"} %d\n", organisationAnswersMetric, 2*maxCountedOrganisations+1)
	if !strings.Contains(served.String(), want) {
		t.Errorf("served without %q:\n%s", want, served.String())
	}
}

// The store turns a daemon away and serves the others. What the owner knows of the configuration keeps the daemon from refusing all
// keys, and a key that is removed meanwhile stops being accepted. A word of an older version, or an older word, confirms nothing.
func TestConfigurationIsConfirmedByAnotherDaemon(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		k.DecodeConfig = func(document []byte) (*Config, error) {
			config := &Config{Version: 1000, Routes: []Route{{Prefix: "/q/", Queue: graph.Queue{Name: "q", MaxAttempts: 1}}}, Document: document}
			return config, config.Keys.Add("sparks", access.NewKey(string(document)))
		}
		version, _, _ := k.ConfigState()
		k.store.unreachable.Store(true)
		accepts := func(key string) bool {
			_, refusal := k.admit(Request{Path: testJob, Key: access.NewKey(key)})
			return refusal == nil
		}
		for range 20 {
			time.Sleep(time.Second)
			k.ObserveConfig(version, nil, k.Clock.Now().Add(-time.Second))
			if !accepts("k1") || !k.Ready() {
				t.Fatal("the key is refused, or the daemon is not ready, though the owner confirms the configuration")
			}
		}
		k.ObserveConfig(1000, []byte("k2"), k.Clock.Now())
		if accepts("k1") || !accepts("k2") {
			t.Error("the newer configuration is not in force")
		}
		k.ObserveConfig(version, nil, k.Clock.Now().Add(time.Minute))
		k.ObserveConfig(1000, nil, k.Clock.Now().Add(-time.Minute))
		time.Sleep(testMaxKeyUse)
		if accepts("k2") || k.Ready() {
			t.Error("the configuration counts as confirmed by words that are old or of an older version")
		}
	})
}

// Guards against a caller that waits and tries again for ever: a job whose record exceeds a row of the store can never be accepted.
func TestJobWhoseRecordExceedsARowIsRefused(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		spec := &graph.Spec{}
		for range graph.MaxSteps {
			spec.Steps = append(spec.Steps, graph.Step{Count: 1, Label: strings.Repeat("x", 2000)})
		}
		answer := k.Submit(ctx, Request{Path: testJob, Key: access.NewKey("k1")}, func() (*graph.Spec, error) { return spec, nil })
		if answer.Result != Invalid {
			t.Errorf("%s, want invalid", answer.Result)
		}
	})
}

// Guards against a body that arrives slowly and is accepted with a key that was removed in the meantime.
func TestKeyIsCheckedAgainAfterASlowBody(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		slow := func() (*graph.Spec, error) {
			k.putKey(t, "k2")
			time.Sleep(time.Second)
			return oneTask()
		}
		job := Request{Path: testJob, Key: access.NewKey("k1")}
		if a := k.Submit(ctx, job, slow); a.Result != Unauthorized {
			t.Errorf("%s, want unauthorized", a.Result)
		}
		job.Key = access.NewKey("k2")
		if a := k.State(ctx, job); a.Result != NoJob {
			t.Errorf("state %s, want that there is no job", a.Result)
		}
	})
}

// Guards against a body that arrives slowly and is accepted for a queue that was removed in the meantime.
func TestQueueIsLookedUpAgainAfterASlowBody(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		k.RequireKeys = false // with keys the whole admission is looked at again before each try
		slow := func() (*graph.Spec, error) {
			config := *k.Config()
			config.Version, config.Routes = 1000, nil
			k.SetConfig(&config)
			time.Sleep(time.Second)
			return oneTask()
		}
		if a := k.Submit(ctx, Request{Path: testJob, Key: access.NewKey("k1")}, slow); a.Result != NoQueue {
			t.Errorf("%s, want no_queue", a.Result)
		}
	})
}

// Guards against a refusal for want of room that is told as a mistake of the caller, or without a time to come back.
func TestNoRoomIsUnavailable(t *testing.T) {
	runKeyTest(t, func(ctx context.Context, t *testing.T, k *keyTest) {
		job := Request{Path: testJob, Key: access.NewKey("k1")}
		full := func() (*graph.Spec, error) { return nil, inbound.ErrNoRoom }
		if a := k.Submit(ctx, job, full); a.Result != Unavailable || a.RetryAfter != inbound.RetryAfter() {
			t.Errorf("submit: %s, Retry-After %s", a.Result, a.RetryAfter)
		}
		if a, _ := k.Preview(ctx, job, full); a.Result != Unavailable || a.RetryAfter != inbound.RetryAfter() {
			t.Errorf("preview: %s, Retry-After %s", a.Result, a.RetryAfter)
		}
		if a := k.State(ctx, job); a.Result != NoJob {
			t.Errorf("state %s, want that there is no job", a.Result)
		}
	})
}
