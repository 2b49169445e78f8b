package graphproto

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/rowstore"
)

// A configuration with organisations and a public queue. The failure is a part of it that does not come into force.
func TestOrganisationsComeIntoForce(t *testing.T) {
	config, err := DecodeQueueConfig([]byte(`{"version":3,
		"queues":[{"name":"q","pool":"p","attempts":1},{"name":"open","pool":"p","attempts":1,"public":true}],
		"organisations":[{"name":"sparks","keys":["k1","k2"],"weight":2.5,"limit":{"milli_cpu":1000,"memory_mb":5,"accelerators":3}},{"name":"costumes","keys":["k3"],"weight":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if config.Routes[0].Public || !config.Routes[1].Public {
		t.Errorf("routes %+v, want the second of two public", config.Routes)
	}
	want := graph.Organisation{Name: "sparks", Weight: 2.5, Limit: graph.Resources{MilliCPU: 1000, MemoryMB: 5, Accelerators: 3}}
	if len(config.Organisations) != 2 || config.Organisations[0] != want {
		t.Errorf("organisations %+v, want two, the first %+v", config.Organisations, want)
	}
	rules := access.Rules{RequireKeys: true, MaxConfigAge: time.Second}
	for key, want := range map[string]string{"k1": "sparks", "k2": "sparks", "k3": "costumes"} {
		if got := rules.Decide(access.Call{Key: access.NewKey(key), Keys: &config.Keys}); got.Organisation != want {
			t.Errorf("key %s: %+v, want organisation %s", key, got, want)
		}
	}
}

// Mistakes in organisations. The failure is a configuration that comes into force with one, or an error, which is logged,
// that shows a key.
func TestInvalidOrganisationsAreRejected(t *testing.T) {
	for name, organisations := range map[string]string{
		"no name":           `{"keys":["secret"],"weight":1}`,
		"name twice":        `{"name":"a","keys":["secret"],"weight":1},{"name":"a","keys":["secret-2"],"weight":1}`,
		"no weight":         `{"name":"a","keys":["secret"]}`,
		"negative weight":   `{"name":"a","keys":["secret"],"weight":-1}`,
		"negative limit":    `{"name":"a","keys":["secret"],"weight":1,"limit":{"memory_mb":-1}}`,
		"shared key":        `{"name":"a","keys":["secret"],"weight":1},{"name":"b","keys":["secret"],"weight":1}`,
		"empty key":         `{"name":"a","keys":[""],"weight":1}`,
		"key with a space":  `{"name":"a","keys":["secret "],"weight":1}`,
		"key not in ASCII":  `{"name":"a","keys":["secr\u00e9t secret"],"weight":1}`,
		"key not a string":  `{"name":"a","keys":[{"secret":1}],"weight":1}`,
		"weight not number": `{"name":"a","keys":["secret"],"weight":"secret"}`,
	} {
		_, err := DecodeQueueConfig([]byte(`{"version":3,"queues":[],"organisations":[` + organisations + `]}`))
		if err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: error %v, want one without the key", name, err)
		}
	}
}

// Guards against numbers of a configuration whose times, shares or sums overflow.
func TestNumbersOutOfRangeAreRejected(t *testing.T) {
	for _, queue := range []string{
		`"stretch":1e300`, `"stretch":-1`, `"target_ms":9223372036854775807`, `"target_ms":9000000000000000`, `"target_ms":-1`, `"priority":9223372036854775807`, `"attempts":9223372036854775807`,
		`"target_ms":99999999999999999999`,
	} {
		if _, err := DecodeQueueConfig([]byte(`{"version":3,"queues":[{"name":"q","pool":"p","attempts":1,` + queue + `}]}`)); err == nil {
			t.Errorf("queue with %s comes into force", queue)
		}
	}
	for _, organisation := range []string{`"weight":1e300`, `"weight":1,"limit":{"milli_cpu":9223372036854775807}`} {
		if _, err := DecodeQueueConfig([]byte(`{"version":3,"queues":[],"organisations":[{"name":"a","keys":["k"],` + organisation + `}]}`)); err == nil {
			t.Errorf("organisation with %s comes into force", organisation)
		}
	}
}

// Guards against entries of the product's own registry that stand for workers although they are out of range.
func TestRegistryEntriesAreChecked(t *testing.T) {
	var changes []owner.RegistryChange
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	store := rowstore.NewMemoryStore()
	const depth = 200_000
	for id, value := range map[string]string{
		"valid":  `{"ID":"valid","Pool":"p","Address":"10.0.0.1:80","Capacity":{"cpu":1}}`,
		"port":   `{"ID":"port","Pool":"p","Address":"10.0.0.1:99999"}`,
		"start":  `{"ID":"start","Pool":"p","Address":"10.0.0.1:80","ProcessStart":9223372036854775807}`,
		"large":  `{"ID":"large","Pool":"p","Address":"10.0.0.1:80","ProcessStart":1e300}`,
		"nested": strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"other":  `{"ID":"valid","Pool":"p","Address":"10.0.0.2:80"}`,
	} {
		row := rowstore.Row{Key: rowstore.Key{Table: workersTable, Name: id}, Value: []byte(value)}
		if _, _, err := store.Apply(ctx, rowstore.Tx{Put: []rowstore.Row{row}}); err != nil && id != "nested" {
			t.Fatal(err)
		}
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	NewWorkerRegistry(store, monotime.BootClock{}, logger).Follow(ctx, func(change owner.RegistryChange) {
		changes = append(changes, change)
		cancel()
	})
	if len(changes) != 1 || len(changes[0].Put) != 1 || changes[0].Put[0].Address != "10.0.0.1:80" {
		t.Errorf("changes %+v, want one with the valid worker", changes)
	}
}
