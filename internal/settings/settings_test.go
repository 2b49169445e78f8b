package settings

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// requiredArgs are arguments with every required flag.
var requiredArgs = []string{"laburnumpointd", "--listen", "0.0.0.0:8080", "--peer-listen", "10.0.0.1:7000", "--zone", "cardiff", "--platform", "10.0.0.9:7000"}

func argsWith(args ...string) []string {
	return append(slices.Clone(requiredArgs), args...)
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestFlagsGoBeforeTheEnvironment(t *testing.T) {
	t.Setenv("LABURNUMPOINT_LEASE_TTL", "40s")
	t.Setenv("LABURNUMPOINT_CLAIM_INTERVAL", "3s")
	document := `{"packing_weight":1,"max_queued_per_shard":10,"urgent_wait_ms":1,"ageing_step_ms":1,"zones":["a"],"shards_per_zone":1,"teams":{"t":{"weight":1}}}`
	s, err := Parse(argsWith("--lease-ttl", "20s", "--bootstrap-config", writeFile(t, document)), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if s.LeaseTTL != 20*time.Second || s.ClaimInterval != 3*time.Second || s.MaxBodyBytes != 1<<20 {
		t.Errorf("settings %+v", s)
	}
	if s.Bootstrap == nil || s.Bootstrap.PackingWeight != 1 {
		t.Errorf("bootstrap %+v", s.Bootstrap)
	}
}

func TestEveryMistakeIsOneLine(t *testing.T) {
	faulty := writeFile(t, `{"packing_weight":7}`)
	cases := []struct {
		name  string
		args  []string
		flags []string
	}{
		{"nothing given", []string{"laburnumpointd"}, []string{flagListen, flagPeerListen, flagZone, flagPlatform}},
		{"host name instead of IP address", argsWith("--listen", "localhost:80"), []string{flagListen}},
		{"no port", argsWith("--platform", "10.0.0.1:0"), []string{flagPlatform}},
		{"unspecified peer address", argsWith("--peer-listen", "0.0.0.0:7000"), []string{flagPeerListen}},
		{"several invalid values", argsWith("--zone", "a b", "--log-level", "loud", "--drain-delay", "-1s", "--max-requests", "many", "--max-body-bytes", "1"),
			[]string{flagZone, flagLogLevel, flagDrainDelay, flagMaxRequests, flagMaxBodyBytes}},
		{"no such file", argsWith("--bootstrap-config", faulty+".absent"), []string{flagBootstrapConfig}},
		{"faulty document", argsWith("--bootstrap-config", faulty), []string{flagBootstrapConfig}},
		{"same addresses", argsWith("--listen", "10.0.0.1:7000"), []string{flagPeerListen}},
		{"contradicting values", argsWith("--claim-interval", "11s", "--stop-timeout", "5s", "--request-timeout", "11m"),
			[]string{flagLeaseTTL, flagStopTimeout, flagRequestTimeout}},
		{"input out of range", argsWith("--memory-mb", "-1", "--max-header-bytes", "1"), []string{flagMemory, flagMaxHeaderBytes}},
		{"more input than memory", argsWith("--memory-mb", "100", "--input-memory-mb", "101"), []string{flagInputMemory}},
		{"unknown flag", argsWith("--lisen", "10.0.0.1:80"), []string{""}},
		{"unexpected argument", argsWith("start"), []string{""}},
	}
	for _, c := range cases {
		_, err := Parse(c.args, io.Discard)
		var invalid *ValidationError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v", c.name, err)
			continue
		}
		var flags []string
		for _, p := range invalid.Problems {
			flags = append(flags, p.Flag)
		}
		if !slices.Equal(flags, c.flags) || strings.Count(err.Error(), "\n") != len(c.flags)-1 {
			t.Errorf("%s: problems of flags %q:\n%v", c.name, flags, err)
		}
	}
}

func TestHelpNamesEveryFlag(t *testing.T) {
	var help bytes.Buffer
	if _, err := Parse([]string{"laburnumpointd", "--help"}, &help); !errors.Is(err, ErrHelp) {
		t.Fatalf("error %v", err)
	}
	for _, o := range Options() {
		if !strings.Contains(help.String(), "--"+o.Flag) || !strings.Contains(help.String(), o.Env()) {
			t.Errorf("help lacks --%s or %s", o.Flag, o.Env())
		}
	}
}
