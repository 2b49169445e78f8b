package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/config"
)

// Names of the flags.
const (
	flagListen            = "listen"
	flagPeerListen        = "peer-listen"
	flagZone              = "zone"
	flagPlatform          = "platform"
	flagLogLevel          = "log-level"
	flagBootstrapConfig   = "bootstrap-config"
	flagDrainDelay        = "drain-delay"
	flagStopTimeout       = "stop-timeout"
	flagLeaseTTL          = "lease-ttl"
	flagClaimInterval     = "claim-interval"
	flagMaxRequests       = "max-requests"
	flagMaxBodyBytes      = "max-body-bytes"
	flagRequestTimeout    = "request-timeout"
	flagMaxRequestTimeout = "max-request-timeout"
)

// envPrefix is the prefix of every environment variable's name.
const envPrefix = "LABURNUMPOINT_"

// Option describes one setting. The settings page and the daemon's help are made from the options.
type Option struct {
	// Flag is the flag's name without dashes.
	Flag string
	// Unit is the format or the unit of the value, such as "bytes".
	Unit string
	// Default is the value if none is given; empty if the option is required or has no default.
	Default  string
	Required bool
	Usage    string
	set      func(s *Settings, value string) error
}

// Env returns the name of the option's environment variable.
func (o Option) Env() string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(o.Flag, "-", "_"))
}

const (
	unitAddr     = "IP address and port"
	unitDuration = "Go duration"
)

// Options returns every setting, in the order of the settings page.
func Options() []Option {
	return []Option{
		{flagListen, unitAddr, "", true, "address at which callers, operators and the balancer reach the daemon over HTTP; port 0 takes a free port, which is logged",
			addrSetter(func(s *Settings) *netip.AddrPort { return &s.Listen }, acceptAnyAddr)},
		{flagPeerListen, unitAddr, "", true, "address at which the other daemons reach this one; must not be 0.0.0.0 or ::; port 0 takes a free port",
			addrSetter(func(s *Settings) *netip.AddrPort { return &s.PeerListen }, checkReachableAddr)},
		{flagZone, "name", "", true, "availability zone of the daemon's VM",
			nameSetter(func(s *Settings) *string { return &s.Zone })},
		{flagPlatform, unitAddr, "", true, "address of the table service, the object store and the VM list",
			addrSetter(func(s *Settings) *netip.AddrPort { return &s.Platform }, checkRemoteAddr)},
		{flagLogLevel, "debug, info, warn or error", "info", false, "lowest level of the log lines that are written",
			setLogLevel},
		{flagBootstrapConfig, "path of a JSON file", "", false, "configuration that becomes version 1 if the cell has none yet",
			setBootstrap},
		{flagDrainDelay, unitDuration, "5s", false, "how long the daemon still serves after it reports itself unready, so that the balancer can notice",
			durationSetter(func(s *Settings) *time.Duration { return &s.DrainDelay }, 0, 10*time.Minute)},
		{flagStopTimeout, unitDuration, "2m", false, "maximum duration of a planned stop, drain delay included",
			durationSetter(func(s *Settings) *time.Duration { return &s.StopTimeout }, time.Second, time.Hour)},
		{flagLeaseTTL, unitDuration, "30s", false, "how long a worker keeps its leases without another claim",
			durationSetter(func(s *Settings) *time.Duration { return &s.LeaseTTL }, time.Second, 10*time.Minute)},
		{flagClaimInterval, unitDuration, "5s", false, "time between two claims (heartbeats) of one worker",
			durationSetter(func(s *Settings) *time.Duration { return &s.ClaimInterval }, 100*time.Millisecond, 2*time.Minute)},
		{flagMaxRequests, "count", "2048", false, "maximum number of concurrent requests that run a task; any further one is refused immediately",
			countSetter(func(s *Settings, n int64) { s.MaxRequests = int(n) }, 1, 100_000)},
		{flagMaxBodyBytes, "bytes", "1048576", false, "maximum size of a request's body; 16 MiB for a cancellation of tasks; both at most three eighths of the input memory",
			countSetter(func(s *Settings, n int64) { s.MaxBodyBytes = n }, 1<<10, 64<<20)},
		{flagRequestTimeout, unitDuration, "30s", false, "timeout of a request whose caller gives none",
			durationSetter(func(s *Settings) *time.Duration { return &s.RequestTimeout }, time.Millisecond, time.Hour)},
		{flagMaxRequestTimeout, unitDuration, "10m", false, "longest timeout that a caller may ask for",
			durationSetter(func(s *Settings) *time.Duration { return &s.MaxRequestTimeout }, time.Millisecond, time.Hour)},
		{flagMemory, "MiB", "0", false, usageMemory,
			countSetter(func(s *Settings, n int64) { s.Input.MemoryBytes = n << 20 }, 0, maxMemoryMB)},
		{flagMaxDescriptors, "count", "0", false, usageMaxDescriptors,
			countSetter(func(s *Settings, n int64) { s.Input.Descriptors = int(n) }, 0, maxDescriptors)},
		{flagMaxConnections, "count", "0", false, usageMaxConnections,
			countSetter(func(s *Settings, n int64) { s.Input.MaxConns = int(n) }, 0, maxConnections)},
		{flagInputMemory, "MiB", "0", false, usageInputMemory,
			countSetter(func(s *Settings, n int64) { s.Input.BudgetBytes = n << 20 }, 0, maxMemoryMB)},
		{flagMaxHeaderBytes, "bytes", "16384", false, usageMaxHeaderBytes,
			countSetter(func(s *Settings, n int64) { s.Input.MaxHeaderBytes = int(n) }, minMaxHeaderBytes, maxMaxHeaderBytes)},
	}
}

// addrSetter returns a function that parses an address, checks it and sets the field.
func addrSetter(field func(*Settings) *netip.AddrPort, check func(netip.AddrPort) error) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := netip.ParseAddrPort(value)
		if err != nil {
			return fmt.Errorf("%q is not an IP address and a port such as 10.0.0.1:7000", value)
		}
		if err := check(parsed); err != nil {
			return err
		}
		*field(s) = parsed
		return nil
	}
}

func acceptAnyAddr(netip.AddrPort) error {
	return nil
}

// checkReachableAddr returns an error if other VMs can't connect to the address.
func checkReachableAddr(a netip.AddrPort) error {
	if a.Addr().IsUnspecified() {
		return fmt.Errorf("%q can't be reached from other VMs", a)
	}
	return nil
}

// checkRemoteAddr returns an error if this process can't connect to the address.
func checkRemoteAddr(a netip.AddrPort) error {
	if a.Port() == 0 {
		return fmt.Errorf("%q has no port", a)
	}
	return checkReachableAddr(a)
}

// maxNameBytes is the longest name of an availability zone.
const maxNameBytes = 64

// nameSetter returns a function that checks a name and sets the field.
func nameSetter(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if len(value) > maxNameBytes || strings.ContainsAny(value, " \t\r\n/\"") {
			return fmt.Errorf("%q is longer than %d bytes or has spaces, slashes or quotes", value, maxNameBytes)
		}
		*field(s) = value
		return nil
	}
}

func setLogLevel(s *Settings, value string) error {
	level, ok := map[string]log.Level{
		"debug": log.DebugLevel,
		"info":  log.InfoLevel,
		"warn":  log.WarnLevel,
		"error": log.ErrorLevel,
	}[value]
	if !ok {
		return fmt.Errorf("%q is not debug, info, warn or error", value)
	}
	s.LogLevel = level
	return nil
}

// setBootstrap reads the bootstrap configuration from the file at path.
func setBootstrap(s *Settings, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	document, err := config.Parse(data)
	if err != nil {
		return fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	s.Bootstrap = &document
	return nil
}

// durationSetter returns a function that parses a duration, checks its range and sets the field.
func durationSetter(field func(*Settings) *time.Duration, lowest, highest time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 1.5s", value)
		}
		if parsed < lowest || parsed > highest {
			return fmt.Errorf("%s is not between %s and %s", parsed, lowest, highest)
		}
		*field(s) = parsed
		return nil
	}
}

// countSetter returns a function that parses a number, checks its range and passes it to set.
func countSetter(set func(*Settings, int64), lowest, highest int64) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		parsed, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", value)
		}
		if parsed < lowest || parsed > highest {
			return fmt.Errorf("%d is not between %d and %d", parsed, lowest, highest)
		}
		set(s, parsed)
		return nil
	}
}
