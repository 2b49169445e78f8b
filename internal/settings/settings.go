// Package settings reads and checks the settings of laburnumpointd: command-line flags and, for each flag, an environment
// variable.
package settings

import (
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/config"
	"laburnumpoint/internal/inbound"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	// Listen is the address for callers, operators and the balancer.
	Listen netip.AddrPort
	// PeerListen is the address for the other daemons.
	PeerListen netip.AddrPort
	// Zone is the availability zone of the daemon's VM.
	Zone string
	// Platform is the address of the table service, the object store and the VM list.
	Platform netip.AddrPort
	// LogLevel is the lowest level of the log lines that are written.
	LogLevel log.Level
	// Bootstrap becomes version 1 of the configuration if the cell has none. It may be nil.
	Bootstrap *config.Document

	// DrainDelay is how long the daemon still serves after it reports itself unready.
	DrainDelay time.Duration
	// StopTimeout bounds a whole planned stop, drain delay included.
	StopTimeout time.Duration

	// LeaseTTL is how long a worker keeps its leases without another claim.
	LeaseTTL time.Duration
	// ClaimInterval is the time between two claims of one worker.
	ClaimInterval time.Duration

	// MaxRequests is the maximum number of concurrent requests that run a task.
	MaxRequests int
	// MaxBodyBytes is the maximum size of the body of a request other than a cancellation of tasks.
	MaxBodyBytes int64
	// RequestTimeout is the timeout of a request whose caller sets none; MaxRequestTimeout is the longest that a caller may
	// set.
	RequestTimeout    time.Duration
	MaxRequestTimeout time.Duration

	// Input bounds what the daemon holds of what others send.
	Input inbound.Options
}

// minClaimsPerLease is how many claim intervals a lease must cover, so that one lost claim doesn't end it.
const minClaimsPerLease = 3

// checkCombinations returns the problems of settings that are each valid but contradict each other.
func (s Settings) checkCombinations() []Problem {
	var problems []Problem
	if s.Listen == s.PeerListen && s.Listen.IsValid() && s.Listen.Port() != 0 {
		problems = append(problems, Problem{flagPeerListen, "is the same as --" + flagListen})
	}
	if s.LeaseTTL < minClaimsPerLease*s.ClaimInterval {
		problems = append(problems, Problem{flagLeaseTTL, "is less than three times --" + flagClaimInterval})
	}
	if s.StopTimeout <= s.DrainDelay {
		problems = append(problems, Problem{flagStopTimeout, "is not longer than --" + flagDrainDelay})
	}
	if s.RequestTimeout > s.MaxRequestTimeout {
		problems = append(problems, Problem{flagRequestTimeout, "is longer than --" + flagMaxRequestTimeout})
	}
	if flag, want := inputProblem(s.Input); flag != "" {
		problems = append(problems, Problem{flag, "is not " + want})
	}
	return problems
}
