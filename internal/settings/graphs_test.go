package settings

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"laburnumpoint/internal/inbound"
)

func graphArgsWith(more ...string) []string {
	return append([]string{"laburnumpointd", GraphsCommand, "--node", "vm-1", "--zone", "z", "--store", "127.0.0.1:7000"}, more...)
}

func TestGraphSettings(t *testing.T) {
	t.Setenv("LABURNUMPOINT_MAX_LEASE", "7s")
	s, err := ParseGraphSettings(graphArgsWith("--cores", "0.4", "--max-orders", "100", "--run-end-time", "400ms"), &bytes.Buffer{})
	if err != nil {
		t.Fatal(err)
	}
	if s.Node != "vm-1" || s.StoreAddr != "127.0.0.1:7000" || s.Cores != 0.4 || s.MaxLease != 7*time.Second || s.RunEndTime != 400*time.Millisecond || s.Orders.MaxUnderWay != 100 || s.Orders.MinTimeout == 0 {
		t.Errorf("settings %+v", s)
	}
}

// Guards against limits of input that are read and not used, or in another unit.
func TestGraphInputSettings(t *testing.T) {
	t.Setenv("LABURNUMPOINT_MEMORY_MB", "144")
	t.Setenv("LABURNUMPOINT_MAX_DESCRIPTORS", "3075")
	s, err := ParseGraphSettings(graphArgsWith("--max-connections", "100", "--input-memory-mb", "30"), &bytes.Buffer{})
	if err != nil {
		t.Fatal(err)
	}
	if want := (inbound.Options{MemoryBytes: 144 << 20, Descriptors: 3075, MaxConns: 100, BudgetBytes: 30 << 20, MaxHeaderBytes: 64 << 10}); s.Input != want {
		t.Errorf("%+v, want %+v", s.Input, want)
	}
}

func TestGraphSettingsMistakes(t *testing.T) {
	cases := map[string]struct {
		args []string
		want string
	}{
		"nothing":       {[]string{"laburnumpointd", GraphsCommand}, "--node"},
		"store by name": {graphArgsWith("--store", "store:1"), "--store"},
		"no cores":      {graphArgsWith("--cores", "0"), "--cores"},
		"short lease":   {graphArgsWith("--max-lease", "1ms"), "--max-lease"},
		"stop time":     {graphArgsWith("--run-end-time", "-1ms"), "--run-end-time"},
		"no orders":     {graphArgsWith("--min-orders", "0"), "--min-orders"},
		"order bounds":  {graphArgsWith("--min-orders", "9", "--max-orders", "8"), "--max-orders"},
		"repeats":       {graphArgsWith("--order-repeats", "-1"), "--order-repeats"},
		"no delay":      {graphArgsWith("--order-repeat-delay", "0s"), "--order-repeat-delay"},
		"order timeout": {graphArgsWith("--order-timeout", "1ms"), "--order-timeout"},
		"memory":        {graphArgsWith("--memory-mb", "1"), "--memory-mb"},
		"descriptors":   {graphArgsWith("--max-descriptors", "-1"), "--max-descriptors"},
		"connections":   {graphArgsWith("--max-connections", "1"), "--max-connections"},
		"input memory":  {graphArgsWith("--input-memory-mb", "1"), "--input-memory-mb"},
		"input bounds":  {graphArgsWith("--memory-mb", "100", "--input-memory-mb", "101"), "--input-memory-mb"},
		"no headers":    {graphArgsWith("--max-header-bytes", "0"), "--max-header-bytes"},
		"argument":      {graphArgsWith("more"), `"more"`},
		"unknown flag":  {graphArgsWith("--colour", "red"), "colour"},
	}
	for name, c := range cases {
		if _, err := ParseGraphSettings(c.args, &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", name, err, c.want)
		}
	}
	var help bytes.Buffer
	if _, err := ParseGraphSettings([]string{"laburnumpointd", GraphsCommand, "--help"}, &help); !errors.Is(err, ErrHelp) || !strings.Contains(help.String(), "--store") {
		t.Errorf("help: error %v, text %q", err, help.String())
	}
}
