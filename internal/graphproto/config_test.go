package graphproto

import (
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/graph"
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
